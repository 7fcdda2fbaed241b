package lookup

import (
	"slices"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// population is the entry instances among which bounds are divided.
type population struct {
	self fleet.InstanceID
	all  []fleet.InstanceID
	// count is the number of instances; an estimate until they are known.
	count int
}

// SetInstances says which entry instances there may be; this one is among them.
func (e *Engine) SetInstances(self fleet.InstanceID, all []fleet.InstanceID) {
	e.population.Store(&population{self: self, all: all, count: max(len(all), 1)})
}

// Instances returns the number of entry instances that bounds are divided among.
func (e *Engine) Instances() int { return e.population.Load().count }

// coldLimit returns how many requests a second this instance may send to a cold replica that bears rate of them. With more
// instances than that, only the first ones by rendezvous order send to the replica, one a second each: a part for every
// instance would exceed the rate by as much as there are instances.
func (p *population) coldLimit(replica directory.Replica, rate float64) int {
	each := int(rate / float64(p.count))
	if each > 0 || len(p.all) == 0 {
		return max(each, 1)
	}
	ranked := slices.Clone(p.all)
	fleet.SortByWeight("cold/"+string(replica.ID), ranked)
	if slices.Contains(ranked[:min(max(int(rate), 1), len(ranked))], p.self) {
		return 1
	}
	return 0
}
