package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// part is the state of one shard of a request.
type part struct {
	service  fleet.ServiceID
	attempts []*attempt
	tried    []*load
	mayRun   int  // sends that the replica may have run
	arrived  bool // a send may have reached a replica, so that another one is extra
	answer   *Outcome
	failed   bool
	retryAt  time.Time
	reason   verdict.Reason
	starved  bool
	shed     bool // a replica rejected it
	// Most parts take one or two sends; room for them here spares allocations.
	attemptRoom [2]*attempt
	triedRoom   [2]*load
}

func (p *part) live() bool {
	for _, a := range p.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

// overloaded tells whether the part has no answer because its replicas have too much to do.
func (p *part) overloaded(now time.Time) bool {
	if p.answer != nil || p.shed {
		return p.answer == nil
	}
	for _, a := range p.attempts {
		if a.to.load.rejecting(now) >= strainedState {
			return true
		}
	}
	return false
}

// sound tells whether the part waits at a replica that is not silent, or has not waited for long: its send may be the one
// that shows that the replica answers again.
func (p *part) sound(now time.Time) bool {
	for _, a := range p.attempts {
		if !a.ended && (now.Sub(a.sent) < stallAfter(a.expected) || !a.to.load.silentNow(now)) {
			return true
		}
	}
	return false
}
