package lookup

import (
	"slices"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// instanceSet is the set of entry instances among which global bounds are divided.
type instanceSet struct {
	self fleet.InstanceID
	ids  []fleet.InstanceID
	// count is the number of instances; it is an estimate until they are known.
	count int
	// rank is the position of this instance in an order that all instances agree on.
	rank int
}

// newInstanceSet returns the set of the given instances, which include self.
func newInstanceSet(self fleet.InstanceID, all []fleet.InstanceID) *instanceSet {
	ranked := slices.Clone(all)
	fleet.SortByWeight("request-limits", ranked)
	return &instanceSet{self: self, ids: all, count: max(len(all), 1), rank: max(slices.Index(ranked, self), 0)}
}

// SetInstances sets the ids of all entry instances, including this one, which is self.
func (e *Engine) SetInstances(self fleet.InstanceID, all []fleet.InstanceID) {
	e.instances.Store(newInstanceSet(self, all))
}

// Instances returns the number of entry instances among which global bounds are divided.
func (e *Engine) Instances() int { return e.instances.Load().count }

// coldLimit returns how many requests a second this instance may send to a cold replica that tolerates rate of them in
// all. If there are more instances than that, only the first ones in rendezvous order send to the replica, one request
// a second each: one from every instance would exceed the rate.
func (s *instanceSet) coldLimit(replica directory.Replica, rate float64) int {
	each := int(rate / float64(s.count))
	if each > 0 || len(s.ids) == 0 {
		return max(each, 1)
	}
	ranked := slices.Clone(s.ids)
	fleet.SortByWeight("cold/"+string(replica.ID), ranked)
	if slices.Contains(ranked[:min(max(int(rate), 1), len(ranked))], s.self) {
		return 1
	}
	return 0
}
