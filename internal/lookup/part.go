package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// part is the state of the sub-request to one shard.
type part struct {
	service        fleet.ServiceID
	sends          []*replicaSend
	tried          []*replicaHealth
	possibleRuns   int  // sends that a replica may have run
	reachedReplica bool // a send may have reached a replica, so that a further one is an extra send
	answer         *Outcome
	failed         bool
	retryAt        time.Time
	reason         verdict.Reason
	budgetDenied   bool
	shed           bool // a replica rejected it to shed load
	suspected      bool // a replica of the shard has crashed under the request, which is then at one of them at a time
	// Most parts need one or two sends; these arrays avoid allocations for them.
	sendBuffer  [2]*replicaSend
	triedBuffer [2]*replicaHealth
}

// inFlight reports whether a send of the part has no outcome yet.
func (p *part) inFlight() bool {
	for _, send := range p.sends {
		if !send.ended {
			return true
		}
	}
	return false
}

// overloaded reports whether the part has no answer because its replicas are overloaded.
func (p *part) overloaded(now time.Time) bool {
	if p.answer != nil || p.shed {
		return p.answer == nil
	}
	for _, send := range p.sends {
		if send.to.health.rejectShare(now) >= overloadedThreshold {
			return true
		}
	}
	return false
}

// hasResponsiveReplica reports whether the part waits for a replica that is not unresponsive, or has waited for only a
// short time: its send may be the one that shows that the replica answers again.
func (p *part) hasResponsiveReplica(now time.Time) bool {
	for _, send := range p.sends {
		if !send.ended && (now.Sub(send.sent) < stallAfter(send.expected) || !send.to.health.isUnresponsive(now)) {
			return true
		}
	}
	return false
}
