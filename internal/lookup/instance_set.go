package lookup

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

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

const (
	// vanishWindow is the time within which the registrations of instances vanish that were lost together: those of
	// processes that renewed them at different times before a fault.
	vanishWindow = 10 * time.Second
	// minVanished is the number of other instances that must vanish together for their registrations to count as lost. A
	// single instance leaves by itself often enough.
	minVanished = 2
	// vanishRetention is how long instances that vanished together still count. One that runs and reaches the store
	// registers again within seconds. The bound matters only where all others were taken away for good: their parts of
	// the bounds stay unused for that long.
	vanishRetention = 5 * time.Minute
)

// newInstanceSet returns the set of the given instances, which include self. The count is at least least.
func newInstanceSet(self fleet.InstanceID, all []fleet.InstanceID, least int) *instanceSet {
	ranked := slices.Clone(all)
	fleet.SortByWeight("request-limits", ranked)
	return &instanceSet{self: self, ids: all, count: max(len(all), least, 1), rank: max(slices.Index(ranked, self), 0)}
}

// instanceHistory decides which instances count. Registrations may be lost while their instances run, and each instance
// that took itself for the only one would use the global bounds alone. Its mutex guards all its fields.
type instanceHistory struct {
	mutex sync.Mutex
	self  fleet.InstanceID
	// registered are the instances of the last call of update; nil before the first.
	registered []fleet.InstanceID
	// counted are the instances that counted when the registrations were last plausible; nil if they never were.
	counted []fleet.InstanceID
	// leftAt has when instances vanished, for vanishWindow.
	leftAt map[fleet.InstanceID]time.Time
	// keepUntil is until when the counted instances count although only this one is registered.
	keepUntil time.Time
}

// update returns the set of instances that count, given those that are registered now. The registrations are implausible
// if this instance is not among them, or if it is the only one after at least minVanished others vanished within
// vanishWindow; the instances that counted before count then as well.
func (h *instanceHistory) update(self fleet.InstanceID, registered []fleet.InstanceID, now time.Time) *instanceSet {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.recordVanished(registered, now)
	h.self, h.registered = self, registered
	if len(registered) == 1 && len(h.leftAt) >= minVanished {
		h.keepUntil = now.Add(vanishRetention)
		for id := range h.leftAt {
			h.counted = appendMissing(h.counted, id)
		}
	}
	switch {
	case !slices.Contains(registered, self):
		least := 0
		if h.counted == nil {
			least = defaultInstances
		}
		all := appendMissing(slices.Clone(registered), h.counted...)
		return newInstanceSet(self, appendMissing(all, self), least)
	case len(registered) == 1 && now.Before(h.keepUntil):
		return newInstanceSet(self, appendMissing(slices.Clone(registered), h.counted...), 0)
	}
	h.counted, h.keepUntil = slices.Clone(registered), time.Time{}
	return newInstanceSet(self, registered, 0)
}

// recordVanished records which instances are no longer registered. The caller holds the mutex.
func (h *instanceHistory) recordVanished(registered []fleet.InstanceID, now time.Time) {
	if h.leftAt == nil {
		h.leftAt = make(map[fleet.InstanceID]time.Time)
	}
	for _, id := range h.registered {
		if _, known := h.leftAt[id]; !known {
			h.leftAt[id] = now
		}
	}
	maps.DeleteFunc(h.leftAt, func(id fleet.InstanceID, at time.Time) bool {
		return slices.Contains(registered, id) || now.Sub(at) > vanishWindow
	})
}

// expire returns the set of instances that count once those that vanished together no longer do; nil if nothing changes.
func (h *instanceHistory) expire(now time.Time) *instanceSet {
	h.mutex.Lock()
	due := !h.keepUntil.IsZero() && !now.Before(h.keepUntil)
	self, registered := h.self, h.registered
	h.mutex.Unlock()
	if !due {
		return nil
	}
	return h.update(self, registered, now)
}

// appendMissing appends the IDs that the list lacks.
func appendMissing(list []fleet.InstanceID, ids ...fleet.InstanceID) []fleet.InstanceID {
	for _, id := range ids {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// SetInstances sets the IDs of the entry instances that are registered. self is the ID of this one, which may be missing
// among them.
func (e *Engine) SetInstances(self fleet.InstanceID, registered []fleet.InstanceID) {
	set := e.instanceHistory.update(self, registered, time.Now())
	if former := e.instances.Swap(set); former.count != set.count {
		klog.InfoS("Number of entry instances changed", "former", former.count, "instances", set.count, "registered", len(registered))
	}
}

// expireInstances ends the time in which instances count that vanished together.
func (e *Engine) expireInstances(now time.Time) {
	if set := e.instanceHistory.expire(now); set != nil {
		klog.InfoS("Instances that vanished together no longer count", "former", e.instances.Load().count, "instances", set.count)
		e.instances.Store(set)
	}
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
