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

// A ticket's text is a prefix with the version of the form, and in lower-case base32 the incarnation,
// the sequence number, the issuer's name and a code that only holders of the peer key can make.
const (
	textPrefix  = "t1-"
	sumBytes    = 16
	fixedBytes  = len(Incarnation{}) + 8
	mostText    = 256
	maxInstance = 100
)

var textEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// name is what a ticket's text says.
type name struct {
	instance    fleet.InstanceID
	incarnation Incarnation
	sequence    uint64
}

func sum(key, content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("medlarlatch ticket 1 "))
	mac.Write(content)
	return mac.Sum(nil)[:sumBytes]
}

func (n name) text(key []byte) string {
	content := append([]byte(nil), n.incarnation[:]...)
	content = binary.BigEndian.AppendUint64(content, n.sequence)
	content = append(content, n.instance...)
	return textPrefix + textEncoding.EncodeToString(append(content, sum(key, content)...))
}

// parse reads a ticket's text. Text of this form that no issuer can have made was never run. Text with
// another form's prefix or another key's code may come from an issuer before a change of either.
func parse(key []byte, text string) (name, *verdict.Error) {
	encoded, ok := strings.CutPrefix(text, textPrefix)
	if !ok {
		return name{}, unknown("the ticket has another form")
	}
	if len(text) > mostText {
		return name{}, malformed()
	}
	content, err := textEncoding.DecodeString(encoded)
	// The second comparison refuses stray bits after the last byte, so that each ticket has one text.
	if err != nil || len(content) <= fixedBytes+sumBytes || textEncoding.EncodeToString(content) != encoded {
		return name{}, malformed()
	}
	content, code := content[:len(content)-sumBytes], content[len(content)-sumBytes:]
	if !hmac.Equal(code, sum(key, content)) {
		return name{}, unknown("the ticket was not issued under the key in use")
	}
	return name{
		instance:    fleet.InstanceID(content[fixedBytes:]),
		incarnation: Incarnation(content[:len(Incarnation{})]),
		sequence:    binary.BigEndian.Uint64(content[len(Incarnation{}):fixedBytes]),
	}, nil
}

func malformed() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.InvalidRequest, "the ticket is malformed")
}

func unknown(detail string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%s", detail)
}
