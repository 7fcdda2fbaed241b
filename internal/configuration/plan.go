package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// WatchersPerZone is the number of entry instances in each zone that watch the store. With two, a change is not delayed
// if one is lost or is still listed after it has ended, and the number of calls to the store grows only with the number
// of zones.
const WatchersPerZone = 2

// Plan describes how documents are distributed, as one entry instance sees the fleet.
type Plan struct {
	// WatchesStore is set if this instance watches the store.
	WatchesStore bool
	// SameZoneWatchers are the watchers in this instance's zone and OtherZoneWatchers those in the other zones, without
	// this instance. They are asked for newer documents.
	SameZoneWatchers, OtherZoneWatchers []fleet.InstanceID
	// Recipients are the instances that this one notifies of a change. Only a watcher has any.
	Recipients []fleet.InstanceID
}

// NewPlan returns the plan of the instance self. isLive reports whether another entry instance can take part; it should
// be false for instances that are leaving or unreachable. self always takes part. NewPlan is called in every round, so
// it lists only the instances of self's zone, and those only if self is a watcher.
func NewPlan(view *fleet.View, self fleet.Entry, isLive func(fleet.Entry) bool) Plan {
	var plan Plan
	for _, zone := range view.Zones() {
		if zone != self.Zone {
			plan.OtherZoneWatchers = append(plan.OtherZoneWatchers, watchersOf(view, zone, self, isLive)...)
		}
	}
	slices.Sort(plan.OtherZoneWatchers)
	watchers := watchersOf(view, self.Zone, self, isLive)
	plan.WatchesStore = slices.Contains(watchers, self.ID)
	plan.SameZoneWatchers = without(watchers, self.ID)
	if plan.WatchesStore {
		for _, id := range view.EntriesOf(self.Zone) {
			if entry, ok := view.Entry(id); ok && id != self.ID && isLive(entry) {
				plan.Recipients = append(plan.Recipients, id)
			}
		}
		// If only the store is unreachable from a zone, its watchers learn of a change from the watchers of the other
		// zones.
		plan.Recipients = append(plan.Recipients, plan.OtherZoneWatchers...)
	}
	return plan
}

// watchersOf returns the WatchersPerZone live entry instances of a zone that come first in rendezvous hashing order.
func watchersOf(view *fleet.View, zone fleet.ZoneID, self fleet.Entry, isLive func(fleet.Entry) bool) []fleet.InstanceID {
	watchers := make([]fleet.InstanceID, 0, WatchersPerZone+1)
	weights := make([]uint64, 0, WatchersPerZone+1)
	hashInput := append(make([]byte, 0, 128), zone...)
	hashInput = append(hashInput, '/')
	consider := func(id fleet.InstanceID) {
		weight := xxhash.Sum64(append(hashInput, id...))
		position := len(watchers)
		for position > 0 && cmp.Or(cmp.Compare(weights[position-1], weight), cmp.Compare(id, watchers[position-1])) < 0 {
			position--
		}
		if position == WatchersPerZone {
			return
		}
		if entry, _ := view.Entry(id); id != self.ID && !isLive(entry) {
			return
		}
		watchers, weights = slices.Insert(watchers, position, id), slices.Insert(weights, position, weight)
		watchers, weights = watchers[:min(len(watchers), WatchersPerZone)], weights[:min(len(weights), WatchersPerZone)]
	}
	if zone == self.Zone {
		consider(self.ID)
	}
	for _, id := range view.EntriesOf(zone) {
		if id != self.ID {
			consider(id)
		}
	}
	return watchers
}

// without returns a copy of members that leaves out id.
func without(members []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.InstanceID) bool { return member == id })
}
