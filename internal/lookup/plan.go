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

// plan is one view prepared for choosing replicas. It is immutable; the states it points to outlive it.
type plan struct {
	table  *routing.Table
	groups map[fleet.ServiceID]*group
	// all are the members of all groups, and remote those in other zones.
	all, remote []*member
}

// group is the replicas of one service.
type group struct {
	service routing.Service
	members []member
	extra   *budget
}

// member is one replica that may get new requests.
type member struct {
	directory.Replica
	local bool
	// coldLimit is how many requests a second this instance may send to the replica while it is cold; below 0 without a limit.
	coldLimit int
	load      *load
}

// Update replaces the view. Replicas that it does not have get no new send once it returns. One goroutine at a time
// calls it.
func (e *Engine) Update(view *directory.View) {
	e.updating.Lock()
	defer e.updating.Unlock()
	now, instances := time.Now(), e.population.Load()
	next := &plan{table: view.Table, groups: make(map[fleet.ServiceID]*group, len(view.Replicas))}
	loads := make(map[fleet.ServerID]known, len(e.loads))
	for id, replicas := range view.Replicas {
		g := &group{service: view.Table.Service(id), extra: e.budgetOf(id)}
		for _, replica := range replicas {
			state := e.loads[replica.ID]
			if state.load == nil || !state.replica.SameProcess(replica) {
				state = known{load: &load{id: replica.ID, contact: e.contactWith(replica.Zone)}}
			}
			state.replica, state.absent = replica, time.Time{}
			loads[replica.ID] = state
			m := member{Replica: replica, local: replica.Zone == e.zone, coldLimit: -1, load: state.load}
			if g.service.ColdRate > 0 && now.Before(replica.ColdUntil) {
				m.coldLimit = instances.coldLimit(replica, g.service.ColdRate)
			}
			g.members = append(g.members, m)
		}
		next.add(id, g)
	}
	for id, state := range e.loads {
		if _, listed := loads[id]; listed {
			continue
		}
		if state.absent.IsZero() {
			state.absent = now
			e.forget(id)
		}
		if !state.load.currentNotice().takes(now) && now.Sub(state.absent) < longestNotice {
			loads[id] = state
		}
	}
	e.loads = loads
	e.dropContacts()
	e.plan.Store(next)
	e.dropUnused(next)
	e.gates.Range(func(shard, known any) bool {
		known.(*gate).setSlots(e.slotsOf(next, shard.(fleet.ServiceID)))
		return true
	})
}

// add takes the group of a service, whose members are complete. The configuration may not describe the service.
func (p *plan) add(id fleet.ServiceID, g *group) {
	p.groups[id] = g
	for i := range g.members {
		m := &g.members[i]
		p.all = append(p.all, m)
		if !m.local {
			p.remote = append(p.remote, m)
		}
	}
}

// dropUnused forgets what belongs to routes and services that the configuration no longer has. Their names are new in
// many versions, so that these states would grow for ever.
func (e *Engine) dropUnused(next *plan) {
	routes, firsts, services := make(map[any]bool), make(map[any]bool), make(map[fleet.ServiceID]bool)
	for _, route := range next.table.Routes() {
		routes[route.Name] = true
		if len(route.Shards) > 0 {
			firsts[route.Shards[0]] = true
		}
	}
	for _, service := range next.table.Services() {
		services[service.ID] = true
	}
	for id := range next.groups {
		services[id] = true
	}
	for _, states := range []struct {
		all  *sync.Map
		used map[any]bool
	}{{&e.paces, routes}, {&e.gates, firsts}} {
		states.all.Range(func(key, _ any) bool {
			if !states.used[key] {
				states.all.Delete(key)
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

// known is the state of a replica with the entry that it belongs to.
type known struct {
	replica directory.Replica
	load    *load
	// absent is since when the entry is not in the view; zero while it is.
	absent time.Time
}

// contactWith returns what is known of the contact to a zone, which outlives the plan.
func (e *Engine) contactWith(zone fleet.ZoneID) *contact {
	found := e.contacts[zone]
	if found == nil {
		found = &contact{}
		e.contacts[zone] = found
	}
	return found
}

// dropContacts forgets zones without replicas.
func (e *Engine) dropContacts() {
	used := make(map[fleet.ZoneID]bool, len(e.contacts))
	for _, state := range e.loads {
		used[state.replica.Zone] = true
	}
	maps.DeleteFunc(e.contacts, func(zone fleet.ZoneID, _ *contact) bool { return !used[zone] })
}

func (e *Engine) budgetOf(id fleet.ServiceID) *budget {
	known, ok := e.budgets[id]
	if !ok {
		known = &budget{}
		e.budgets[id] = known
	}
	return known
}

// serves tells whether the group has a replica that the route allows; the group may be nil.
func (g *group) serves(route *routing.Route) bool {
	return g != nil && slices.ContainsFunc(g.members, func(m member) bool { return route.Allows(m.Region) })
}

// choose returns the replica of the service that costs least, or nil, and its group, or nil if no replica may serve the
// route. Replicas in tried and in regions that the route does not allow are left out. With likely only a replica that is
// expected to answer is returned. A cold replica is taken only within its rate.
func (e *Engine) choose(route *routing.Route, id fleet.ServiceID, tried []*load, likely bool, expected time.Duration, now time.Time) (*member, *group) {
	g := e.plan.Load().groups[id]
	if !g.serves(route) {
		return nil, nil
	}
	for {
		best := e.cheapest(route, g, tried, likely, expected, now)
		if best == nil {
			return nil, g
		}
		if best.coldLimit < 0 || !now.Before(best.ColdUntil) || best.load.admitCold(now, best.coldLimit) {
			return best, g
		}
		tried = append(tried[:len(tried):len(tried)], best.load) // a copy: the caller keeps its own
	}
}

func (e *Engine) cheapest(route *routing.Route, g *group, tried []*load, likely bool, expected time.Duration, now time.Time) *member {
	var best *member
	var least time.Duration
	connections := e.connections(g)
	start := int(e.draw.Add(1) * 0x9e3779b97f4a7c15 >> 33 % uint64(len(g.members)))
	for i := range g.members {
		m := &g.members[(start+i)%len(g.members)]
		if slices.Contains(tried, m.load) || !route.Allows(m.Region) {
			continue
		}
		may, expectedToAnswer := m.load.usable(now, connections)
		if !may || likely && !expectedToAnswer {
			continue
		}
		if cost := m.load.cost(now, expected, m.local, now.Before(m.ColdUntil), m.Slots); best == nil || cost < least {
			best, least = m, cost
		}
	}
	return best
}

// connections returns how many connections to one replica of the service this instance may hold. The instances are
// assumed to grow by a quarter before each of them has heard of it.
func (e *Engine) connections(g *group) int {
	if g.service.Connections <= 0 {
		return leastConnections
	}
	return max(leastConnections, g.service.Connections*4/(5*e.Instances()))
}

// worthWaiting tells whether a request should wait for a connection to the group's replicas: this instance has too few of
// them for the replicas' slots. With more, their queues are full of its own requests, and waiting gains nothing.
func (e *Engine) worthWaiting(g *group) bool {
	slots := 0
	for i := range g.members {
		slots = max(slots, g.members[i].Slots)
	}
	return e.connections(g) < queueFactor*slots
}

// queueFactor is the number of requests for each slot of a replica from which a further one waits for longer than it runs.
const queueFactor = 2

// leastConnections is the least number of connections to a replica.
const leastConnections = 2
