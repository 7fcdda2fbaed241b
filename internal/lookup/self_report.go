package lookup

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// maxSelfReportTTL bounds how long a replica's statement about itself is kept. A longer pause is considered a mistake
// of the replica, and a process that announced so long ago that it is leaving has ended.
const maxSelfReportTTL = time.Hour

// selfReport is what a replica has stated about itself in its answers: that it is leaving, or until when it wants no
// request from this instance. It is always obeyed, unlike measurements of a replica, and it is kept when the replica's
// entry disappears: a zone that is taken out and returned, or an entry that expires and is registered again, must not
// make a process that is leaving eligible again.
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

// currentSelfReport returns what the replica has stated about itself.
func (h *replicaHealth) currentSelfReport() selfReport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.selfReport
}

// availableAt returns the earliest time at which a replica of the group that the route allows accepts requests,
// according to the replicas' own statements: now, or the end of the shortest pause. ok is false if no allowed replica
// exists or all of them are leaving. Silent replicas are treated like others. The group may be nil.
func (g *replicaGroup) availableAt(route *routing.Route, now time.Time) (at time.Time, ok bool) {
	if g == nil {
		return at, false
	}
	for i := range g.members {
		if !route.Allows(g.members[i].Region) {
			continue
		}
		report := g.members[i].health.currentSelfReport()
		if report.leaving {
			continue
		}
		from := latest(report.pausedUntil, now)
		if !ok || from.Before(at) {
			at, ok = from, true
		}
	}
	return at, ok
}

// floorAvailableAt returns the earliest time at which enough shards of the route to meet its coverage floor have a
// replica that accepts requests, according to the replicas' own statements. ok is false if too many shards have none.
// It covers the case in which all replicas of an index ask for a pause at the same time, so that nothing can be sent
// before the pause ends.
func (v *replicaView) floorAvailableAt(route *routing.Route, required int, now time.Time) (at time.Time, ok bool) {
	times := make([]time.Time, 0, len(route.Shards))
	for _, service := range route.Shards {
		if from, ok := v.groups[service].availableAt(route, now); ok {
			times = append(times, from)
		}
	}
	if len(times) < required {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[required-1], true
}
