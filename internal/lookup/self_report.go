package lookup

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// maxSelfReportTTL bounds how long a replica's statement about itself is kept. A longer pause is considered a mistake
// of the replica, and a process that announced so long ago that it is leaving has ended.
const maxSelfReportTTL = time.Hour

// selfReport is what a replica has stated about itself in its answers, besides its request limit: that it is leaving, or
// until when it wants no request from this instance. It is always obeyed, unlike measurements of a replica, and it is
// kept when the replica's entry disappears: a zone that is taken out and returned, or an entry that expires and is
// registered again, must not make a process that is leaving eligible again.
type selfReport struct {
	leaving bool
	// pausedUntil is the end of the pause that the replica has asked for.
	pausedUntil time.Time
}

// acceptsRequests reports whether the replica wants requests.
func (r selfReport) acceptsRequests(now time.Time) bool {
	return !r.leaving && !now.Before(r.pausedUntil)
}

// recordSelfReport records what an answer states about the replica. A shorter pause does not end a longer one that was
// requested before.
func (h *replicaHealth) recordSelfReport(now time.Time, outcome *Outcome) {
	if outcome.Leaving && !h.selfReport.leaving {
		klog.InfoS("Replica announced that it is leaving", "replica", h.id)
		h.selfReport.leaving = true
	}
	if outcome.RetryAfter <= 0 {
		return
	}
	until := now.Add(min(outcome.RetryAfter, maxSelfReportTTL))
	if until.After(h.selfReport.pausedUntil) {
		klog.InfoS("Replica requested a pause", "replica", h.id, "for", outcome.RetryAfter, "reason", outcome.Reason)
		h.selfReport.pausedUntil = until
	}
}

// hasSelfReport reports whether a statement of the replica about itself is in force.
func (h *replicaHealth) hasSelfReport(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requestLimit.named || !h.selfReport.acceptsRequests(now)
}

// acceptsAtLocked returns the earliest time at which the replica accepts a request of this instance, according to its
// own statements. ok is false if the replica is leaving. The caller holds the lock.
func (h *replicaHealth) acceptsAtLocked(now time.Time) (at time.Time, ok bool) {
	if h.selfReport.leaving {
		return at, false
	}
	return latest(h.selfReport.pausedUntil, h.requestLimit.nextAt(h.instances.Load(), now)), true
}

// acceptsAt is like acceptsAtLocked but takes the lock.
func (h *replicaHealth) acceptsAt(now time.Time) (at time.Time, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.acceptsAtLocked(now)
}

// acceptsNowLocked reports whether the replica accepts a request of this instance now, according to its own statements.
// The caller holds the lock.
func (h *replicaHealth) acceptsNowLocked(now time.Time) bool {
	at, ok := h.acceptsAtLocked(now)
	return ok && !at.After(now)
}

// availableAt returns the earliest time at which a replica of the group that the route allows accepts requests,
// according to the replicas' own statements: now, the end of the shortest pause, or when a request limit permits a
// request of this instance. ok is false if no allowed replica exists or all of them are leaving. Silent replicas are
// treated like others. The group may be nil.
func (g *replicaGroup) availableAt(route *routing.Route, now time.Time) (at time.Time, ok bool) {
	if g == nil {
		return at, false
	}
	for i := range g.members {
		if !route.Allows(g.members[i].Region) {
			continue
		}
		if from, accepts := g.members[i].health.acceptsAt(now); accepts && (!ok || from.Before(at)) {
			at, ok = from, true
		}
	}
	return at, ok
}

// postponed reports whether the replicas' own statements keep all replicas of the group that the route allows from
// getting a request now, but not for good.
func (g *replicaGroup) postponed(route *routing.Route, now time.Time) bool {
	at, ok := g.availableAt(route, now)
	return ok && at.After(now)
}

// floorAvailableAt returns the earliest time at which enough shards of the route to meet its coverage floor have a
// replica that accepts requests, according to the replicas' own statements. ok is false if too many shards have none.
// It covers the case in which all replicas of an index ask for a pause or name a request limit at the same time, so that
// too little can be sent before.
func (v *replicaView) floorAvailableAt(route *routing.Route, required int, now time.Time) (at time.Time, ok bool) {
	return floorAt(route, required, func(service fleet.ServiceID) (time.Time, bool) { return v.groups[service].availableAt(route, now) })
}
