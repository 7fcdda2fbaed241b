package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"strings"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// The text of a ticket is a prefix with the version of the format, followed in lower-case base32 by the incarnation,
// the sequence number, the issuing instance's name and a truncated HMAC-SHA256 of these fields under the peer key.
const (
	textPrefix       = "t1-"
	macBytes         = 16
	fixedFieldBytes  = len(Incarnation{}) + 8
	maxTextBytes     = 256
	maxInstanceBytes = 100
)

var textEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ticketID is the decoded content of a ticket's text.
type ticketID struct {
	instance    fleet.InstanceID
	incarnation Incarnation
	sequence    uint64
}

// computeMAC returns the truncated HMAC of a ticket's content.
func computeMAC(key, content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("medlarlatch ticket 1 "))
	mac.Write(content)
	return mac.Sum(nil)[:macBytes]
}

// encode returns the text of the ticket, authenticated with the key.
func (id ticketID) encode(key []byte) string {
	content := append([]byte(nil), id.incarnation[:]...)
	content = binary.BigEndian.AppendUint64(content, id.sequence)
	content = append(content, id.instance...)
	return textPrefix + textEncoding.EncodeToString(append(content, computeMAC(key, content)...))
}

// parse decodes and authenticates a ticket's text. Text with this format's prefix that no issuer can have produced is
// refused with NotRun. Text with another prefix or with a MAC that does not match may have been issued before the
// format or the key changed, so it is refused with MayHaveRun.
func parse(key []byte, text string) (ticketID, *verdict.Error) {
	encoded, ok := strings.CutPrefix(text, textPrefix)
	if !ok {
		return ticketID{}, unknownTicket("the ticket does not have the format prefix \"t1-\"")
	}
	if len(text) > maxTextBytes {
		return ticketID{}, malformedTicket()
	}
	content, err := textEncoding.DecodeString(encoded)
	// Encoding the content again rejects text with unused bits set after the last byte, so that each ticket has exactly
	// one text.
	if err != nil || len(content) <= fixedFieldBytes+macBytes || textEncoding.EncodeToString(content) != encoded {
		return ticketID{}, malformedTicket()
	}
	content, mac := content[:len(content)-macBytes], content[len(content)-macBytes:]
	if !hmac.Equal(mac, computeMAC(key, content)) {
		return ticketID{}, unknownTicket("the ticket was not issued with the current peer key")
	}
	return ticketID{
		instance:    fleet.InstanceID(content[fixedFieldBytes:]),
		incarnation: Incarnation(content[:len(Incarnation{})]),
		sequence:    binary.BigEndian.Uint64(content[len(Incarnation{}):fixedFieldBytes]),
	}, nil
}

func malformedTicket() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.InvalidRequest, "the ticket is malformed")
}

func unknownTicket(detail string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%s", detail)
}
