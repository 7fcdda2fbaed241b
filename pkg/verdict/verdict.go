// Package verdict says whether a failed request may have run.
//
// Every refusal and every failure inside the system carries a Verdict and a Reason. The verdict tells a caller whether
// it can safely send a request again: a non-idempotent request may only be repeated after NotRun. Values are immutable
// and safe for concurrent use.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

//go:generate go tool stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says whether a request may have taken effect at a backend server.
type Verdict int

const (
	// NotRun means that no byte of the request can have reached a server that may act on it, or that the server itself
	// reported that it did not act.
	NotRun Verdict = iota // not-run
	// MayHaveRun means that the request may or may not have taken effect.
	MayHaveRun // may-have-run
	// Ran means that the request took effect.
	Ran // ran
)

// MarshalText encodes the verdict as its text.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText accepts the texts that MarshalText writes.
func (v *Verdict) UnmarshalText(text []byte) error {
	for known := NotRun; known <= Ran; known++ {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Error is a failure with its verdict and reason.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the code that logs, metrics and answers use.
	Reason Reason
	// Detail describes the failure in words; it may be empty.
	Detail string
	// RetryAfter is the time after which it makes sense to send the request again; zero if unknown.
	RetryAfter time.Duration
}

// New returns an error with a verdict, a reason and a formatted detail.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with the time after which the caller may send the request again.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	changed := *e
	changed.RetryAfter = after
	return &changed
}

// WithVerdict returns a copy with another verdict.
func (e *Error) WithVerdict(v Verdict) *Error {
	changed := *e
	changed.Verdict = v
	return &changed
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// Of returns the verdict of err. It is MayHaveRun if err carries none, because nothing is known about the request then.
func Of(err error) Verdict {
	if known, ok := errors.AsType[*Error](err); ok {
		return known.Verdict
	}
	return MayHaveRun
}
