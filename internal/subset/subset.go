// Package subset decides to which replicas of a service an entry instance keeps connections. A replica accepts a limited
// number of connections from all instances together. With many instances, not each of them can keep connections to each
// replica, so each keeps them to a subset. All instances compute the same assignment from the directory; they exchange
// no messages about it.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// perReplica is the number of connections that an instance keeps to a replica at most.
	perReplica = 2
	// roomDivisor is the reciprocal of the share of a replica's connections that is assigned. When all instances restart
	// at once, a replica still counts the connections of the former processes until their idle timeout, beside those of
	// the new ones. The other half also has room for connections that are opened by need, and for instances that do not
	// know all others yet.
	roomDivisor = 2
)

// Planner computes the subsets of one instance. It is not safe for concurrent use.
type Planner struct {
	self      directory.Instance
	instances []instance
	plans     map[fleet.ServiceID]*plan
	// turn counts the calls of SetInstances; plans that were not used in the last turn are dropped.
	turn int
}

// instance is an entry instance with the hash of its ID.
type instance struct {
	id   fleet.InstanceID
	zone fleet.ZoneID
	hash uint64
}

// plan is the subset of a service's replicas.
type plan struct {
	replicas       []replica
	maxConnections int
	kept           []int
	turn           int
}

// replica is what the assignment depends on.
type replica struct {
	id   fleet.ServerID
	zone fleet.ZoneID
}

// New returns a planner for the instance, which is the only one until SetInstances is called.
func New(self directory.Instance) *Planner {
	p := &Planner{self: self, plans: make(map[fleet.ServiceID]*plan)}
	p.instances = []instance{newInstance(self)}
	return p
}

func newInstance(from directory.Instance) instance {
	return instance{id: from.ID, zone: from.Zone, hash: xxhash.Sum64String(string(from.ID))}
}

// SetInstances sets the entry instances that share the connections. It must be called before the replicas of a new view
// of the directory are planned. This instance is counted also if it is missing among them.
func (p *Planner) SetInstances(instances []directory.Instance) {
	for service, plan := range p.plans {
		if plan.turn != p.turn {
			delete(p.plans, service)
		}
	}
	p.turn++
	if !slices.ContainsFunc(instances, func(i directory.Instance) bool { return i.ID == p.self.ID }) {
		instances = append(slices.Clip(instances), p.self)
	}
	same := slices.EqualFunc(p.instances, instances, func(known instance, i directory.Instance) bool {
		return known.id == i.ID && known.zone == i.Zone
	})
	if same {
		return
	}
	p.instances = p.instances[:0]
	for _, i := range instances {
		p.instances = append(p.instances, newInstance(i))
	}
	clear(p.plans)
}

// Kept returns for each replica how many idle connections this instance keeps to it; zero means that connections to it
// are opened by need and closed after use. It returns nil if there is no need for subsets: all instances may keep
// connections to all replicas, or the number of connections, maxConnections for each replica, is not bounded. The caller
// must not change the result.
func (p *Planner) Kept(service fleet.ServiceID, replicas []directory.Replica, maxConnections int) []int {
	if maxConnections <= 0 || perReplica*len(p.instances) <= maxConnections {
		return nil
	}
	known := p.plans[service]
	if known == nil || known.maxConnections != maxConnections || !slices.EqualFunc(known.replicas, replicas, func(a replica, b directory.Replica) bool {
		return a.id == b.ID && a.zone == b.Zone
	}) {
		known = &plan{maxConnections: maxConnections}
		for _, r := range replicas {
			known.replicas = append(known.replicas, replica{r.ID, r.Zone})
		}
		known.kept = p.assign(service, known.replicas, maxConnections/roomDivisor)
		p.plans[service] = known
	}
	known.turn = p.turn
	return known.kept
}

// candidate is an instance during the assignment for one service.
type candidate struct {
	id     fleet.InstanceID
	weight uint64
	// local is set if a replica is in the instance's zone.
	local bool
	// preferred holds the indices of the replicas, those in the own zone first and then by rendezvous weight.
	preferred []int
	kept      []int
}

// assign gives each instance connections to the replicas, at most room of them at each replica, and returns those of the
// planner's own instance. It gives one connection in each round, to the most preferred replica that has room and to
// which the instance has the fewest connections. In the first round, which decides where most requests of an instance
// go, each replica has room for its equal share of the instances, and instances with a replica in their own zone choose
// first: an instance of a zone without replicas has no near one to lose.
func (p *Planner) assign(service fleet.ServiceID, replicas []replica, room int) []int {
	if len(replicas) == 0 {
		return []int{}
	}
	candidates := p.newCandidates(service, replicas)
	share := min(room, (len(candidates)+len(replicas)-1)/len(replicas))
	free := make([]int, len(replicas))
	for i := range free {
		free[i] = share
	}
	for round := range perReplica * len(replicas) {
		for _, c := range candidates {
			c.take(free, round/len(replicas))
		}
		if round == 0 {
			for i := range free {
				free[i] += room - share
			}
		}
	}
	own := slices.IndexFunc(candidates, func(c *candidate) bool { return c.id == p.self.ID })
	return slices.Clone(candidates[own].kept)
}

// take gives the instance one connection to the first replica by preference that has room and to which it has at most
// limit connections.
func (c *candidate) take(free []int, limit int) {
	for _, r := range c.preferred {
		if free[r] > 0 && c.kept[r] <= limit {
			c.kept[r]++
			free[r]--
			return
		}
	}
}

// newCandidates returns the instances in the order in which they choose.
func (p *Planner) newCandidates(service fleet.ServiceID, replicas []replica) []*candidate {
	key := xxhash.Sum64String(string(service))
	keys, weights := make([]uint64, len(replicas)), make([]uint64, len(replicas))
	for i := range replicas {
		keys[i] = xxhash.Sum64String(string(replicas[i].id))
	}
	counts := make([]int, 2*len(p.instances)*len(replicas))
	takeCounts := func() (taken []int) {
		taken, counts = counts[:len(replicas):len(replicas)], counts[len(replicas):]
		return taken
	}
	all, candidates := make([]candidate, len(p.instances)), make([]*candidate, len(p.instances))
	for i, from := range p.instances {
		c := &all[i]
		*c = candidate{id: from.id, weight: fleet.Weight(key, from.hash), preferred: takeCounts(), kept: takeCounts()}
		for r := range replicas {
			c.preferred[r], weights[r] = r, fleet.Weight(keys[r], from.hash)
			c.local = c.local || replicas[r].zone == from.zone
		}
		slices.SortFunc(c.preferred, func(a, b int) int {
			if order := nearFirst(replicas[a].zone == from.zone, replicas[b].zone == from.zone); order != 0 {
				return order
			}
			return fleet.CompareWeights(weights[a], weights[b], fleet.InstanceID(replicas[a].id), fleet.InstanceID(replicas[b].id))
		})
		candidates[i] = c
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		if order := nearFirst(a.local, b.local); order != 0 {
			return order
		}
		return fleet.CompareWeights(a.weight, b.weight, a.id, b.id)
	})
	return candidates
}

// nearFirst orders what is near before what is not.
func nearFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
