package verdict

import "fmt"

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the code of a refusal, a failure or a change of state. Answers, logs, metrics, the status report and the
// operators' documentation use the same codes.
type Reason int

// The reasons. Their texts are part of the public interface; add new ones at the end.
const (
	None               Reason = iota // none
	InvalidRequest                   // invalid-request
	UnknownApplication               // unknown-application
	UnknownShard                     // unknown-shard
	DeadlineTooShort                 // deadline-too-short
	DeadlinePassed                   // deadline-passed
	Overloaded                       // overloaded
	Shedding                         // shedding
	NoReplica                        // no-replica
	VersionNotHeld                   // version-not-held
	NoSnapshot                       // no-snapshot
	CoverageBelowFloor               // coverage-below-floor
	ConnectFailed                    // connect-failed
	ConnectionLost                   // connection-lost
	SilentConnection                 // silent-connection
	BadAnswer                        // bad-answer
	NotOwner                         // not-owner
	Fenced                           // fenced
	PeerUnreachable                  // peer-unreachable
	HedgeRefused                     // hedge-refused
	Cold                             // cold
	Leaving                          // leaving
	ZoneOut                          // zone-out
	InstanceOut                      // instance-out
	NotReady                         // not-ready
	TicketUnknown                    // ticket-unknown
	TicketReused                     // ticket-reused
	TicketExpired                    // ticket-expired
	Cancelled                        // cancelled
	Unauthorised                     // unauthorised
	ServerError                      // server-error
	ResultDropped                    // result-dropped
	Misdirected                      // misdirected
	NoConfiguration                  // no-configuration
	UnknownRoute                     // unknown-route
	RequestTooLarge                  // request-too-large
	Quarantined                      // quarantined
	RateLimited                      // rate-limited
	StaleConfiguration               // stale-configuration

	reasonCount = iota
)

// Reasons returns every reason in ascending order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// MarshalText encodes the reason as its text.
func (r Reason) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText accepts the texts that MarshalText writes.
func (r *Reason) UnmarshalText(text []byte) error {
	for _, known := range Reasons() {
		if known.String() == string(text) {
			*r = known
			return nil
		}
	}
	return fmt.Errorf("unknown reason %q", text)
}
