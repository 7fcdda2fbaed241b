package lookup

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// availability is whether a replica, or a shard by the best of its replicas, can be sent a request by this instance.
type availability int

const (
	// unavailable replicas are not expected to answer: they are unresponsive, leaving or paused.
	unavailable availability = iota
	// exhausted replicas are expected to answer, but their request limit does not permit this instance to send now.
	exhausted
	// limited replicas have a request limit, which permits this instance to send now.
	limited
	// available replicas can be sent requests without a limit.
	available
	availabilities = iota
)

// availability returns whether the replica can be sent a request now. A replica that is only stalled can.
func (h *replicaHealth) availability(now time.Time) availability {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !h.selfReport.acceptsRequests(now) || h.unresponsiveLocked(now):
		return unavailable
	case !h.requestLimit.named:
		return available
	case h.acceptsNowLocked(now):
		return limited
	}
	return exhausted
}

// availability returns the best availability of the group's replicas that the route allows. The group may be nil.
func (g *replicaGroup) availability(route *routing.Route, now time.Time) availability {
	best := unavailable
	if g == nil {
		return best
	}
	for i := range g.members {
		if route.Allows(g.members[i].Region) {
			best = max(best, g.members[i].health.availability(now))
		}
		if best == available {
			break
		}
	}
	return best
}

// isDoubtful reports whether no replica of the group that the route allows is certain enough to answer a request that
// another instance may serve.
func (g *replicaGroup) isDoubtful(route *routing.Route, now time.Time) bool {
	for i := range g.members {
		if route.Allows(g.members[i].Region) && !g.members[i].health.isDoubtful(now) {
			return false
		}
	}
	return true
}

// isUnresponsive reports whether no replica of the group that the route allows has answered lately.
func (g *replicaGroup) isUnresponsive(route *routing.Route, now time.Time) bool {
	for i := range g.members {
		if route.Allows(g.members[i].Region) && !g.members[i].health.isUnresponsive(now) {
			return false
		}
	}
	return true
}

// shardCounts is the number of a route's shards with each availability.
type shardCounts [availabilities]int

// shardCounts returns the availability of the route's shards.
func (v *replicaView) shardCounts(route *routing.Route, now time.Time) (counts shardCounts) {
	for _, service := range route.Shards {
		counts[v.groups[service].availability(route, now)]++
	}
	return counts
}

// expected returns the number of shards with a replica that is expected to answer.
func (c shardCounts) expected() int { return c[exhausted] + c[limited] + c[available] }

// permitted returns the number of shards with a replica that can be sent a request now.
func (c shardCounts) permitted() int { return c[limited] + c[available] }

// limited reports whether a request needs the request limit of a replica.
func (c shardCounts) limited() bool { return c[exhausted]+c[limited] > 0 }

// permittedAt returns the earliest time at which a replica of the group that the route allows, and that is expected to
// answer, can be sent a request. ok is false if there is none. The group may be nil.
func (g *replicaGroup) permittedAt(route *routing.Route, now time.Time) (at time.Time, ok bool) {
	if g == nil {
		return at, false
	}
	for i := range g.members {
		health := g.members[i].health
		if !route.Allows(g.members[i].Region) || health.availability(now) == unavailable {
			continue
		}
		if from, accepts := health.acceptsAt(now); accepts && (!ok || from.Before(at)) {
			at, ok = from, true
		}
	}
	return at, ok
}

// floorPermittedAt returns the earliest time at which enough shards of the route to meet its coverage floor have a
// replica that is expected to answer and can be sent a request. ok is false if too many shards have none.
func (v *replicaView) floorPermittedAt(route *routing.Route, required int, now time.Time) (at time.Time, ok bool) {
	return floorAt(route, required, func(service fleet.ServiceID) (time.Time, bool) { return v.groups[service].permittedAt(route, now) })
}

// floorAt returns the earliest time at which a number of the route's shards are available, given the time of each; ok is
// false if too many shards have none.
func floorAt(route *routing.Route, required int, shardAt func(fleet.ServiceID) (time.Time, bool)) (at time.Time, ok bool) {
	times := make([]time.Time, 0, len(route.Shards))
	for _, service := range route.Shards {
		if at, ok := shardAt(service); ok {
			times = append(times, at)
		}
	}
	if len(times) < required {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[required-1], true
}
