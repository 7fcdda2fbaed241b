package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// WatchersPerZone is the number of entry instances of a zone that watch the store: one can be lost or
// be listed after its end without delaying a change, and the store's calls grow with the zones only.
const WatchersPerZone = 2

// Plan says how documents travel, as one entry instance sees the fleet.
type Plan struct {
	// Watch is set if this instance watches the store.
	Watch bool
	// Near are the watchers of the own zone and Far those of the other zones, without this instance;
	// they are asked for newer documents.
	Near, Far []fleet.InstanceID
	// Audience are the instances that this one tells about a change.
	Audience []fleet.InstanceID
}

// NewPlan returns the plan of the instance self. live tells whether an entry instance counts; leaving
// and unreachable ones should not. The instance itself always counts. It is called in every round, so that only
// the instances of the own zone are listed, and only for a watcher.
func NewPlan(view *fleet.View, self fleet.Entry, live func(fleet.Entry) bool) Plan {
	var plan Plan
	for _, zone := range view.Zones() {
		if zone != self.Zone {
			plan.Far = append(plan.Far, watchersOf(view, zone, self, live)...)
		}
	}
	slices.Sort(plan.Far)
	watchers := watchersOf(view, self.Zone, self, live)
	plan.Watch = slices.Contains(watchers, self.ID)
	plan.Near = without(watchers, self.ID)
	if plan.Watch {
		for _, id := range view.EntriesOf(self.Zone) {
			if entry, ok := view.Entry(id); ok && id != self.ID && live(entry) {
				plan.Audience = append(plan.Audience, id)
			}
		}
		// Watchers of a zone that is cut off from the store only are told by those of the other zones.
		plan.Audience = append(plan.Audience, plan.Far...)
	}
	return plan
}

// watchersOf returns the first WatchersPerZone live entry instances of a zone by rendezvous order.
func watchersOf(view *fleet.View, zone fleet.ZoneID, self fleet.Entry, live func(fleet.Entry) bool) []fleet.InstanceID {
	watchers := make([]fleet.InstanceID, 0, WatchersPerZone+1)
	weights := make([]uint64, 0, WatchersPerZone+1)
	name := append(make([]byte, 0, 128), zone...)
	name = append(name, '/')
	offer := func(id fleet.InstanceID) {
		weight := xxhash.Sum64(append(name, id...))
		at := len(watchers)
		for at > 0 && cmp.Or(cmp.Compare(weights[at-1], weight), cmp.Compare(id, watchers[at-1])) < 0 {
			at--
		}
		if at == WatchersPerZone {
			return
		}
		if entry, _ := view.Entry(id); id != self.ID && !live(entry) {
			return
		}
		watchers, weights = slices.Insert(watchers, at, id), slices.Insert(weights, at, weight)
		watchers, weights = watchers[:min(len(watchers), WatchersPerZone)], weights[:min(len(weights), WatchersPerZone)]
	}
	if zone == self.Zone {
		offer(self.ID)
	}
	for _, id := range view.EntriesOf(zone) {
		if id != self.ID {
			offer(id)
		}
	}
	return watchers
}

func without(members []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.InstanceID) bool { return member == id })
}
