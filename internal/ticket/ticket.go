// Package ticket runs each ticketed request at most once: it issues tickets, keeps the window of the
// tickets of this incarnation in memory, and decides which verdict a repeat gets.
//
// The state belongs to one incarnation of one entry instance and is lost with it. The package never
// opens a connection; tickets of other instances leave through a Forwarder.
package ticket

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Incarnation is random for each start of an entry instance's process.
type Incarnation [16]byte

// String returns the incarnation in hexadecimal digits.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// MarshalText encodes the incarnation in hexadecimal digits.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText accepts what MarshalText writes.
func (i *Incarnation) UnmarshalText(text []byte) error { return unmarshalHex(i[:], text) }

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of what a repeat of a request has to repeat: everything but the ticket
// and the deadline, which shrinks from attempt to attempt.
func DigestOf(application string, request api.Query) Digest {
	hash := sha256.New()
	write := func(field string) { fmt.Fprintf(hash, "%d:%s", len(field), field) }
	write(application)
	write(request.ID)
	write(string(request.Query))
	for _, shard := range request.Shards {
		write(shard)
	}
	return Digest(hash.Sum(nil))
}

// MarshalText encodes the digest in hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText accepts what MarshalText writes.
func (d *Digest) UnmarshalText(text []byte) error { return unmarshalHex(d[:], text) }

func unmarshalHex(to, text []byte) error {
	if hex.DecodedLen(len(text)) != len(to) {
		return fmt.Errorf("%d hexadecimal digits instead of %d", len(text), hex.EncodedLen(len(to)))
	}
	_, err := hex.Decode(to, text)
	return err
}

// Call is a ticketed request on its way to the instance that issued the ticket.
type Call struct {
	// Ticket is the text form of the ticket.
	Ticket string
	// Digest is taken by the instance that received the request from the caller.
	Digest      Digest
	Application string
	// Body is the caller's request, unchanged.
	Body json.RawMessage
	// Deadline is when the outcome is of no use any more.
	Deadline time.Time
}

// Outcome is what a ticketed request came to. Err is nil for a complete answer.
type Outcome struct {
	Answer json.RawMessage
	Err    *verdict.Error
	// Field and Coverage are the rest of the refusal next to Err, if the execution gave them.
	Field    string
	Coverage *api.Coverage
}

// Refused returns the outcome of a refusal.
func Refused(refusal *api.Refusal) Outcome {
	failure := verdict.New(refusal.Verdict, refusal.Reason, "%s", refusal.Detail)
	return Outcome{
		Err:   failure.WithRetryAfter(time.Duration(refusal.RetryAfterMillis) * time.Millisecond),
		Field: refusal.Field, Coverage: refusal.Coverage,
	}
}

// Refusal returns the refusal of a request with this id, or nil for a complete answer.
func (o Outcome) Refusal(id string) *api.Refusal {
	if o.Err == nil {
		return nil
	}
	return &api.Refusal{
		ID: id, Verdict: o.Err.Verdict, Reason: o.Err.Reason, Detail: o.Err.Detail, Field: o.Field,
		RetryAfterMillis: o.Err.RetryAfter.Milliseconds(), Coverage: o.Coverage,
	}
}

// missingBytes is about what a missing shard takes in memory beside its name.
const missingBytes = 32

// size is what the outcome takes beside a refusal's fixed fields.
func (o Outcome) size() int {
	bytes := len(o.Answer)
	if o.Coverage != nil {
		for _, missing := range o.Coverage.Missing {
			bytes += missingBytes + len(missing.Shard)
		}
	}
	return bytes
}

// reduced is the outcome without what can take much memory; its verdict stays true.
func (o Outcome) reduced() Outcome {
	if o.Err == nil {
		return Outcome{Err: verdict.New(verdict.Ran, verdict.ResultDropped, "the request ran; its answer is no longer held")}
	}
	return Outcome{Err: o.Err, Field: o.Field}
}

// Forwarder carries a call to the instance that issued its ticket. The outcome is the issuer's. An
// error means that there is none; its verdict speaks of this call alone.
type Forwarder interface {
	ForwardTicket(ctx context.Context, to fleet.InstanceID, call Call) (Outcome, *verdict.Error)
}
