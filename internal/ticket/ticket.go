// Package ticket executes each ticketed request at most once. It issues tickets, keeps a window of the tickets of this
// incarnation in memory, and decides the verdict for each retry under the same ticket.
//
// The state belongs to one incarnation of one entry instance and is lost when its process ends. The package opens no
// connections; requests with tickets of other instances are sent through a Forwarder.
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

// Incarnation identifies one process of an entry instance. It is drawn at random at each start.
type Incarnation [16]byte

// String returns the incarnation in hexadecimal digits.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// MarshalText implements encoding.TextMarshaler with hexadecimal digits.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Incarnation) UnmarshalText(text []byte) error { return unmarshalHex(i[:], text) }

// Digest identifies the content of a request, as returned by DigestOf.
type Digest [sha256.Size]byte

// DigestOf returns the digest of everything that a retry must leave unchanged: the whole request except its ticket and
// its deadline, because the remaining time gets shorter with each attempt.
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

// MarshalText implements encoding.TextMarshaler with hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error { return unmarshalHex(d[:], text) }

func unmarshalHex(to, text []byte) error {
	if hex.DecodedLen(len(text)) != len(to) {
		return fmt.Errorf("got %d hexadecimal digits, want %d", len(text), hex.EncodedLen(len(to)))
	}
	_, err := hex.Decode(to, text)
	return err
}

// Call is a ticketed request that is sent to the instance that issued the ticket.
type Call struct {
	// Ticket is the ticket as the caller sent it, in its text form.
	Ticket string
	// Digest is computed by the instance that received the request from the caller.
	Digest      Digest
	Application string
	// Body is the caller's request, unchanged.
	Body json.RawMessage
	// Deadline is the time after which the caller has no use for the outcome.
	Deadline time.Time
}

// Outcome is the outcome of a ticketed request: a complete answer if Err is nil, otherwise a refusal or a failure.
type Outcome struct {
	Answer json.RawMessage
	Err    *verdict.Error
	// Field and Coverage are further parts of the refusal in Err; they are empty if the execution did not set them.
	Field    string
	Coverage *api.Coverage
}

// Refused returns the Outcome that holds a refusal.
func Refused(refusal *api.Refusal) Outcome {
	failure := verdict.New(refusal.Verdict, refusal.Reason, "%s", refusal.Detail)
	return Outcome{
		Err:   failure.WithRetryAfter(time.Duration(refusal.RetryAfterMillis) * time.Millisecond),
		Field: refusal.Field, Coverage: refusal.Coverage,
	}
}

// Refusal returns the outcome as the refusal of the request with this id, or nil for a complete answer.
func (o Outcome) Refusal(id string) *api.Refusal {
	if o.Err == nil {
		return nil
	}
	return &api.Refusal{
		ID: id, Verdict: o.Err.Verdict, Reason: o.Err.Reason, Detail: o.Err.Detail, Field: o.Field,
		RetryAfterMillis: o.Err.RetryAfter.Milliseconds(), Coverage: o.Coverage,
	}
}

// missingShardBytes is the approximate memory of an entry of Coverage.Missing without the shard's name.
const missingShardBytes = 32

// size returns the approximate memory in bytes of the parts that withoutResult drops: the answer and the coverage.
func (o Outcome) size() int {
	bytes := len(o.Answer)
	if o.Coverage != nil {
		for _, missing := range o.Coverage.Missing {
			bytes += missingShardBytes + len(missing.Shard)
		}
	}
	return bytes
}

// withoutResult returns the outcome without its answer or coverage, which can take much memory. Its verdict remains
// correct.
func (o Outcome) withoutResult() Outcome {
	if o.Err == nil {
		return Outcome{Err: verdict.New(verdict.Ran, verdict.ResultDropped, "the request ran; its answer is no longer held")}
	}
	return Outcome{Err: o.Err, Field: o.Field}
}

// Forwarder sends a call to the instance that issued its ticket and returns that instance's outcome. An error means
// that no outcome was received; its verdict is about this call alone, not about earlier ones with the same ticket.
type Forwarder interface {
	ForwardTicket(ctx context.Context, to fleet.InstanceID, call Call) (Outcome, *verdict.Error)
}
