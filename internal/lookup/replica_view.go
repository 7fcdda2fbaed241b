package lookup

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// replicaView is a directory view prepared for the selection of replicas. It is immutable; the per-replica state that
// it points to outlives it.
type replicaView struct {
	table  *routing.Table
	groups map[fleet.ServiceID]*replicaGroup
	// all holds the members of all groups, remote those in other zones.
	all, remote []*member
}

// replicaGroup holds the replicas of one service.
type replicaGroup struct {
	service routing.Service
	members []member
	budget  *retryBudget
	// trial holds the replicas of a version that is being rolled out; nil if there are none. They get only the requests
	// that RollOuts admits, and no hedges or retries.
	trial *replicaGroup
	// preferred is the replica for trial that these requests are sent to while it is responding.
	preferred fleet.ServerID
	// subset is set if this instance keeps connections to a subset of the replicas, because they accept too few for all
	// instances to keep some to each.
	subset bool
}

// member is one replica of a group that may get new requests.
type member struct {
	directory.Replica
	local bool
	// coldLimit is how many requests a second this instance may send to the replica while it is cold; negative means no
	// limit.
	coldLimit int
	// kept is the number of idle connections that this instance may keep to the replica, if its group is a subset.
	kept   int
	health *replicaHealth
}

// Update replaces the directory view. Once it returns, replicas that are not in the view get no new sends. It must not
// be called concurrently.
func (e *Engine) Update(view *directory.View) {
	e.updateMutex.Lock()
	defer e.updateMutex.Unlock()
	now, instances := time.Now(), e.instances.Load()
	next := &replicaView{table: view.Table, groups: make(map[fleet.ServiceID]*replicaGroup, len(view.Replicas))}
	tracked := make(map[fleet.ServerID]trackedReplica, len(e.replicas))
	for id, replicas := range view.Replicas {
		g := &replicaGroup{service: view.Table.Service(id), budget: e.budgetOf(id)}
		uses := g.applyRollOut(e.rollOuts, id, replicas)
		for i, replica := range replicas {
			state := e.replicas[replica.ID]
			if state.health == nil || !state.replica.SameProcess(replica) {
				state = trackedReplica{health: &replicaHealth{id: replica.ID, instances: &e.instances, zone: e.reachabilityOf(replica.Zone), byWork: e.costs != nil}}
			}
			state.health.setLimitPosition(float64(i) / float64(len(replicas)))
			state.replica, state.absentSince = replica, time.Time{}
			tracked[replica.ID] = state
			m := member{Replica: replica, local: replica.Zone == e.zone, coldLimit: -1, health: state.health}
			if g.service.ColdRate > 0 && now.Before(replica.ColdUntil) {
				m.coldLimit = instances.coldLimit(replica, g.service.ColdRate)
			}
			g.add(m, uses)
		}
		e.setKept(g, replicas)
		next.addGroup(id, g)
	}
	for id, state := range e.replicas {
		if _, listed := tracked[id]; listed {
			continue
		}
		if state.absentSince.IsZero() {
			state.absentSince = now
			e.notifyRemoved(id)
		}
		if state.health.hasSelfReport(now) && now.Sub(state.absentSince) < maxSelfReportTTL {
			tracked[id] = state
		}
	}
	e.replicas = tracked
	e.confirmLosses(view, now)
	e.dropUnusedZones()
	e.view.Store(next)
	e.dropUnused(next)
	e.limiters.Range(func(shard, value any) bool {
		value.(*limiter).setSlots(e.slotShare(next, shard.(fleet.ServiceID)))
		return true
	})
}

// setKept sets how many connections are kept to the members of a group, which has the given replicas.
func (e *Engine) setKept(g *replicaGroup, replicas []directory.Replica) {
	if e.connections == nil {
		return
	}
	kept := e.connections.Kept(g.service.ID, replicas, g.service.MaxConnections)
	g.subset = kept != nil
	if g.trial != nil {
		g.trial.subset = g.subset
	}
	for i := range kept {
		if m := g.member(replicas[i].ID); m != nil {
			m.kept = kept[i]
		}
	}
}

// member returns the member with the ID, which may be on trial; nil if the group does not use the replica.
func (g *replicaGroup) member(id fleet.ServerID) *member {
	at := func(m member) bool { return m.ID == id }
	if i := slices.IndexFunc(g.members, at); i >= 0 {
		return &g.members[i]
	}
	if g.trial != nil {
		return g.trial.member(id)
	}
	return nil
}

// needsConnection reports whether a send to the member probably has to open a connection that other members of its
// subset do not need.
func (e *Engine) needsConnection(g *replicaGroup, m *member) bool {
	return g.subset && !e.connections.HasIdle(m.ID)
}

// addGroup adds the group of a service, whose members must be complete. The configuration may not describe the service.
func (v *replicaView) addGroup(id fleet.ServiceID, g *replicaGroup) {
	v.groups[id] = g
	if g.trial != nil {
		v.addMembers(g.trial)
	}
	v.addMembers(g)
}

func (v *replicaView) addMembers(g *replicaGroup) {
	for i := range g.members {
		m := &g.members[i]
		v.all = append(v.all, m)
		if !m.local {
			v.remote = append(v.remote, m)
		}
	}
}

// dropUnused removes the state of routes and services that are no longer in the configuration. Many versions introduce
// new names, so this state would otherwise grow without bound.
func (e *Engine) dropUnused(next *replicaView) {
	routes, firstShards, services := make(map[any]bool), make(map[any]bool), make(map[fleet.ServiceID]bool)
	for _, route := range next.table.Routes() {
		routes[route.Name] = true
		if len(route.Shards) > 0 {
			firstShards[route.Shards[0]] = true
		}
	}
	for _, service := range next.table.Services() {
		services[service.ID] = true
	}
	for id := range next.groups {
		services[id] = true
	}
	if e.costs != nil {
		e.costs.Retain(routes)
	}
	for _, group := range []struct {
		all  *sync.Map
		used map[any]bool
	}{{&e.routeStats, routes}, {&e.limiters, firstShards}} {
		group.all.Range(func(key, _ any) bool {
			if !group.used[key] {
				group.all.Delete(key)
			}
			return true
		})
	}
	for id := range e.budgets {
		if !services[id] {
			delete(e.budgets, id)
		}
	}
}

// trackedReplica is a replica's directory entry together with this instance's state of the replica.
type trackedReplica struct {
	replica directory.Replica
	health  *replicaHealth
	// absentSince is when the entry left the directory view; zero while it is in the view.
	absentSince time.Time
}

// reachabilityOf returns the reachability of a zone, which outlives the view.
func (e *Engine) reachabilityOf(zone fleet.ZoneID) *zoneReachability {
	found := e.zones[zone]
	if found == nil {
		found = &zoneReachability{}
		e.zones[zone] = found
	}
	return found
}

// dropUnusedZones removes the reachability of zones without replicas.
func (e *Engine) dropUnusedZones() {
	used := make(map[fleet.ZoneID]bool, len(e.zones))
	for _, state := range e.replicas {
		used[state.replica.Zone] = true
	}
	maps.DeleteFunc(e.zones, func(zone fleet.ZoneID, _ *zoneReachability) bool { return !used[zone] })
}

func (e *Engine) budgetOf(id fleet.ServiceID) *retryBudget {
	found, ok := e.budgets[id]
	if !ok {
		found = &retryBudget{}
		e.budgets[id] = found
	}
	return found
}

// hasReplicaFor reports whether the group has a replica that the route allows; the group may be nil.
func (g *replicaGroup) hasReplicaFor(route *routing.Route) bool {
	return g != nil && slices.ContainsFunc(g.members, func(m member) bool { return route.Allows(m.Region) })
}

// choose returns the replica of the service with the lowest cost and its group. The replica is nil if none can be used
// now, and the group is nil if no replica of the service may serve the route. Replicas in tried and in regions that the
// route does not allow are skipped. With onlyResponding, so are replicas that are suspected of being silent or are
// stalled. A cold replica is chosen only within its rate limit.
func (e *Engine) choose(route *routing.Route, id fleet.ServiceID, tried []*replicaHealth, onlyResponding bool, expected time.Duration, now time.Time) (*member, *replicaGroup) {
	g := e.view.Load().groups[id]
	if to := e.chooseTrial(route, g, tried, expected, now); to != nil {
		return to, g
	}
	if !g.hasReplicaFor(route) {
		return nil, nil
	}
	for {
		best := e.cheapest(route, g, tried, onlyResponding, expected, now)
		if best == nil {
			return nil, g
		}
		if best.coldLimit < 0 || !now.Before(best.ColdUntil) || best.health.admitCold(now, best.coldLimit) {
			return best, g
		}
		tried = append(tried[:len(tried):len(tried)], best.health) // a copy, so that the caller's slice stays unchanged
	}
}

// cheapest returns the usable replica of the group with the lowest cost, or nil if there is none. Of replicas with
// equal costs it does not always return the same one.
func (e *Engine) cheapest(route *routing.Route, g *replicaGroup, tried []*replicaHealth, onlyResponding bool, expected time.Duration, now time.Time) *member {
	var best *member
	var lowest time.Duration
	maxConnections := e.maxConnections(g)
	// Fibonacci hashing, so that consecutive selections begin at unrelated members.
	start := int(e.selections.Add(1) * 0x9e3779b97f4a7c15 >> 33 % uint64(len(g.members)))
	for i := range g.members {
		m := &g.members[(start+i)%len(g.members)]
		if slices.Contains(tried, m.health) || !route.Allows(m.Region) {
			continue
		}
		usable, responding := m.health.usable(now, maxConnections)
		if !usable || onlyResponding && !responding {
			continue
		}
		cost := m.health.cost(now, expected, m.local, now.Before(m.ColdUntil), m.Slots)
		if e.needsConnection(g, m) {
			cost += connectCost(expected, m.kept > 0)
		}
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// maxConnections returns how many connections this instance may hold to one replica of the service. It leaves room for
// the number of instances to grow by a quarter before each of them has learnt of the new ones.
func (e *Engine) maxConnections(g *replicaGroup) int {
	if g.service.MaxConnections <= 0 {
		return minConnections
	}
	return max(minConnections, g.service.MaxConnections*4/(5*e.Instances()))
}

// worthWaiting reports whether a request should wait for a free connection to the group's replicas. It should if this
// instance may hold fewer connections than it takes to fill the replicas' queues. Otherwise the queues are full of its
// own requests, and waiting gains nothing.
func (e *Engine) worthWaiting(g *replicaGroup) bool {
	slots := 0
	for i := range g.members {
		slots = max(slots, g.members[i].Slots)
	}
	return e.maxConnections(g) < queueFactor*slots
}

// queueFactor is the number of requests per slot of a replica above which another request waits longer than it runs.
const queueFactor = 2

// minConnections is the minimum number of connections that an instance may hold to a replica.
const minConnections = 2
