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
// and unreachable ones should not. The instance itself always counts.
func NewPlan(view *fleet.View, self fleet.Entry, live func(fleet.Entry) bool) Plan {
	zones := map[fleet.ZoneID][]fleet.InstanceID{self.Zone: {self.ID}}
	for _, entry := range view.Entries() {
		if entry.ID != self.ID && live(entry) {
			zones[entry.Zone] = append(zones[entry.Zone], entry.ID)
		}
	}
	var plan Plan
	for zone, members := range zones {
		rankByRendezvous(zone, members)
		watchers := members[:min(len(members), WatchersPerZone)]
		if zone != self.Zone {
			plan.Far = append(plan.Far, watchers...)
			continue
		}
		plan.Watch = slices.Contains(watchers, self.ID)
		plan.Near = without(watchers, self.ID)
		if plan.Watch {
			plan.Audience = without(members, self.ID)
		}
	}
	slices.Sort(plan.Far)
	if plan.Watch {
		// Watchers of a zone that is cut off from the store only are told by those of the other zones.
		plan.Audience = append(plan.Audience, plan.Far...)
	}
	return plan
}

func rankByRendezvous(zone fleet.ZoneID, members []fleet.InstanceID) {
	weight := func(id fleet.InstanceID) uint64 { return xxhash.Sum64String(string(zone) + "/" + string(id)) }
	slices.SortFunc(members, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}

func without(members []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.InstanceID) bool { return member == id })
}
