package configuration_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestPlanMatchesFullSort guards against instances that choose different watchers from the same view, which could leave
// a zone without any. The reference implementation sorts all instances of each zone.
func TestPlanMatchesFullSort(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		draw := rand.New(rand.NewPCG(seed, 1))
		var entries []fleet.Entry
		zones := make(map[fleet.ZoneID][]fleet.InstanceID)
		self := fleet.Entry{ID: "entry-00", Zone: "zone-0"}
		for i := range 1 + draw.IntN(40) {
			entry := fleet.Entry{
				ID: fleet.InstanceID(fmt.Sprintf("entry-%02d", i)), Zone: fleet.ZoneID(fmt.Sprint("zone-", draw.IntN(4))), Leaving: draw.IntN(4) == 0,
			}
			if entry.ID == self.ID {
				entry.Zone = self.Zone
			}
			if draw.IntN(20) > 0 { // the view may not have the instance yet
				entries = append(entries, entry)
				if !entry.Leaving && entry.ID != self.ID {
					zones[entry.Zone] = append(zones[entry.Zone], entry.ID)
				}
			}
		}
		zones[self.Zone] = append(zones[self.Zone], self.ID)
		var sameZone, otherZones []fleet.InstanceID
		for zone, members := range zones {
			weight := func(id fleet.InstanceID) uint64 { return xxhash.Sum64String(string(zone) + "/" + string(id)) }
			slices.SortFunc(members, func(a, b fleet.InstanceID) int { return cmp.Compare(weight(b), weight(a)) })
			if first := members[:min(2, len(members))]; zone == self.Zone {
				sameZone = first
			} else {
				otherZones = append(otherZones, first...)
			}
		}
		slices.Sort(otherZones)
		plan := configuration.NewPlan(fleet.NewView(entries, nil), self, func(entry fleet.Entry) bool { return !entry.Leaving })
		is.True(slices.Equal(plan.OtherZoneWatchers, otherZones))
		is.Equal(plan.WatchesStore, slices.Contains(sameZone, self.ID))
		is.True(slices.Equal(plan.SameZoneWatchers, without(sameZone, self.ID)))
		if plan.WatchesStore {
			recipients := append(without(zones[self.Zone], self.ID), otherZones...)
			slices.Sort(recipients)
			slices.Sort(plan.Recipients)
			is.True(slices.Equal(plan.Recipients, recipients))
		} else {
			is.Equal(len(plan.Recipients), 0)
		}
	}
}

func without(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(ids), func(other fleet.InstanceID) bool { return other == id })
}
