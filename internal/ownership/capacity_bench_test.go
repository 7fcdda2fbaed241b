package ownership

import (
	"fmt"
	"testing"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// BenchmarkSpread counts the owners that the 170 parts of one query are sent to. Each shard is a service with two
// replicas; a replica in the coordinator's zone is chosen if there is one, otherwise either. "by-group" models an
// alternative in which the replicas of one application and zone are assigned to owners in groups of 9, and a greedy
// choice of replicas uses as few groups as it finds.
func BenchmarkSpread(b *testing.B) {
	const parts = 170
	for _, size := range fleetSizes {
		view, servers, entries := largeFleet(size[0], size[1])
		table := NewTable(fullReach(view, entries[0]), simLimits)
		byServer := func(server fleet.Server, _ int) string {
			owner, _ := table.Owner(server.ID)
			return string(owner)
		}
		byGroup := func(server fleet.Server, shard int) string { return fmt.Sprint(server.Zone, "/", shard/9/6) }
		queries := size[0] / 2 / parts
		for _, assignment := range []struct {
			name  string
			owner func(fleet.Server, int) string
		}{{"by-server", byServer}, {"by-group", byGroup}} {
			b.Run(fmt.Sprint(assignment.name, "/", size[0]), func(b *testing.B) {
				total := 0
				for b.Loop() {
					total = 0
					for q := range queries {
						owners := make(map[string]bool)
						for shard := range parts {
							pair := servers[2*(q*parts+shard):][:2]
							chosen := pair[(shard+q)%2]
							for _, one := range pair {
								if one.Zone == entries[0].Zone || assignment.name == "by-group" && owners[assignment.owner(one, shard)] {
									chosen = one
								}
							}
							owners[assignment.owner(chosen, shard)] = true
						}
						total += len(owners)
					}
				}
				b.ReportMetric(float64(total)/float64(queries), "owners/query")
				b.ReportMetric(float64(parts*queries)/float64(total), "parts/owner")
			})
		}
	}
}

// BenchmarkClaimed measures listing the servers that an instance has claimed, which happens every second and after
// every change.
func BenchmarkClaimed(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			view, _, entries := largeFleet(size[0], size[1])
			table := NewTable(fullReach(view, entries[0]), simLimits)
			b.ReportAllocs()
			claimed := 0
			for b.Loop() {
				claimed = len(table.Claimed())
			}
			b.ReportMetric(float64(claimed), "claimed")
		})
	}
}

// BenchmarkZoneLost measures updating the table when all entry instances of a zone disappear at once.
func BenchmarkZoneLost(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			view, _, entries := largeFleet(size[0], size[1])
			table := NewTable(fullReach(view, entries[0]), simLimits)
			removed := view.EntriesOf("zone-4")
			without := view.With(nil, removed, nil, nil)
			for b.Loop() {
				table.With(fullReach(without, entries[0]), fleet.Change{Entries: removed}, simLimits)
			}
		})
	}
}
