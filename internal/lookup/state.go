package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the health of a replica as this instance sees it, mainly from its own sends.
type State int

const (
	// Healthy replicas answer within the expected time, or have not been sent a request for a while.
	Healthy State = iota // sound
	// Cold replicas started a short time ago and get requests at a limited rate.
	Cold // cold
	// Slow replicas take at least twice the expected time.
	Slow // slow
	// Stalled replicas have not answered the requests in progress for longer than expected, most likely because their
	// process does not run for a moment.
	Stalled // stalled
	// Failing replicas reject or fail a considerable share of their requests.
	Failing // failing
	// Silent replicas did not answer recently, or their zone is unreachable.
	Silent // silent
	// Misdirected replicas have lost their address to another process.
	Misdirected // misdirected
	// Leaving replicas have announced in an answer that they are leaving, before their entry says that they are
	// draining.
	Leaving // leaving
	// Paused replicas have requested, by Retry-After, a pause that has not ended.
	Paused // paused
	// Limited replicas name a request limit in their answers and have none of the other troubles.
	Limited // limited
)

const (
	// slowThreshold and failingThreshold are the smoothed slowness and share of rejections from which a replica is
	// reported as slow or failing. The choice of replicas uses the values themselves.
	slowThreshold    = 1
	failingThreshold = 0.3
	// overloadedThreshold is the share of rejections from which a pending part is considered to wait because its
	// replica is overloaded: one rejection in the last half second.
	overloadedThreshold = 0.1
)

func (h *replicaHealth) state(now time.Time, cold bool) State {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case h.misdirected:
		return Misdirected
	case h.selfReport.leaving:
		return Leaving
	case now.Before(h.selfReport.pausedUntil):
		return Paused
	case now.Before(h.suspectUntil) || h.unansweredSends > 0:
		return Silent
	case h.stalledLocked(now):
		return Stalled
	case h.rejects.valueAt(now, rejectDecay) >= failingThreshold:
		return Failing
	case h.slowness.valueAt(now, slownessDecay) >= slowThreshold:
		return Slow
	case cold:
		return Cold
	case h.requestLimit.named:
		return Limited
	}
	return Healthy
}

// ZoneState is a zone together with a state of replicas, as the key of a count.
type ZoneState struct {
	Zone  fleet.ZoneID
	State State
}

// States returns the number of replicas that may get requests, by zone and state.
func (e *Engine) States(now time.Time) map[ZoneState]int {
	states := make(map[ZoneState]int)
	for _, g := range e.view.Load().groups {
		for i := range g.members {
			m := &g.members[i]
			states[ZoneState{m.Zone, m.health.state(now, now.Before(m.ColdUntil))}]++
		}
	}
	return states
}

// RefusedShares returns the share of requests that are refused on arrival, by the first shard of their routes.
func (e *Engine) RefusedShares() map[fleet.ServiceID]float64 {
	shares := make(map[fleet.ServiceID]float64)
	e.limiters.Range(func(shard, known any) bool {
		shares[shard.(fleet.ServiceID)] = known.(*limiter).throttle.currentRefusedShare()
		return true
	})
	return shares
}

// ExtraSends describes this instance's share of the bound on extra sends to one service.
type ExtraSends struct {
	Service fleet.ServiceID
	// Spent is the number of extra sends in the window that ends now. Remaining is how many more are allowed.
	Spent, Remaining float64
}

// ExtraSends returns the state of the bound on extra sends for each service with replicas.
func (e *Engine) ExtraSends(now time.Time) []ExtraSends {
	allowed := e.allowance(now)
	var all []ExtraSends
	for id, g := range e.view.Load().groups {
		spent, remaining := g.budget.usage(now, allowed)
		all = append(all, ExtraSends{id, spent, remaining})
	}
	return all
}
