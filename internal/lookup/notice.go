package lookup

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// longestNotice bounds how long a replica's own word about itself counts. A longer pause is taken for a mistake of the replica,
// and a process that said so long ago that it leaves has ended.
const longestNotice = time.Hour

// notice is what a replica has said of itself in its answers: that it leaves, or until when it wants no request from this
// instance. It binds, unlike what is observed of a replica, and it outlives the replica's entry: a zone that is taken out and
// back, or an entry that lapses and returns, must not bring back a process that leaves.
type notice struct {
	leaving bool
	// pausedUntil is the end of the pause that the replica has asked for.
	pausedUntil time.Time
}

// takes tells whether the replica wants requests.
func (n notice) takes(now time.Time) bool { return !n.leaving && !now.Before(n.pausedUntil) }

// recordNotice records what an answer says. A shorter pause does not end a longer one that was asked for before.
func (l *load) recordNotice(now time.Time, outcome *Outcome) {
	if outcome.Leaving && !l.notice.leaving {
		klog.InfoS("Replica leaves by its own word", "replica", l.id)
		l.notice.leaving = true
	}
	if outcome.RetryAfter <= 0 {
		return
	}
	until := now.Add(min(outcome.RetryAfter, longestNotice))
	if until.After(l.notice.pausedUntil) {
		klog.InfoS("Replica asked for a pause", "replica", l.id, "for", outcome.RetryAfter, "reason", outcome.Reason)
		l.notice.pausedUntil = until
	}
}

// currentNotice returns what the replica has said of itself.
func (l *load) currentNotice() notice {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.notice
}

// takesRequests returns when a replica of the group that the route allows takes requests, by their own word: now, or the end of
// the shortest pause. It returns false if there is none or all of them are leaving; the group may be nil. Replicas that are silent count like others.
func (g *group) takesRequests(route *routing.Route, now time.Time) (at time.Time, ok bool) {
	if g == nil {
		return at, false
	}
	for i := range g.members {
		if !route.Allows(g.members[i].Region) {
			continue
		}
		said := g.members[i].load.currentNotice()
		if said.leaving {
			continue
		}
		from := latest(said.pausedUntil, now)
		if !ok || from.Before(at) {
			at, ok = from, true
		}
	}
	return at, ok
}

// floorTakesRequests returns when enough shards of the route have a replica that takes requests, by their own word; false if too
// many have none. It answers an index whose replicas have asked for a pause at the same time: nothing can be sent before its end.
func (p *plan) floorTakesRequests(route *routing.Route, floor int, now time.Time) (at time.Time, ok bool) {
	times := make([]time.Time, 0, len(route.Shards))
	for _, service := range route.Shards {
		if from, ok := p.groups[service].takesRequests(route, now); ok {
			times = append(times, from)
		}
	}
	if len(times) < floor {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[floor-1], true
}
