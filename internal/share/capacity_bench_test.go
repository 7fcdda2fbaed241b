package share

import (
	"fmt"
	"testing"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// BenchmarkSpread counts the owners that the 170 parts of one query go to. Each shard is a service of two replicas;
// a replica in the coordinator's zone is chosen where there is one, else either. "by-group" stands for an ownership
// that gives the replicas of one application and zone to owners in groups of 9, with the replicas chosen from as
// few groups as a greedy choice finds.
func BenchmarkSpread(b *testing.B) {
	const parts = 170
	for _, size := range sizes {
		view, servers, entries := largeFleet(size[0], size[1])
		table := NewTable(reachOf(view, entries[0]), simLimits)
		byServer := func(server fleet.Server, _ int) string {
			owner, _ := table.Route(server.ID)
			return string(owner)
		}
		byGroup := func(server fleet.Server, shard int) string { return fmt.Sprint(server.Zone, "/", shard/9/6) }
		queries := size[0] / 2 / parts
		for _, way := range []struct {
			name  string
			owner func(fleet.Server, int) string
		}{{"by-server", byServer}, {"by-group", byGroup}} {
			b.Run(fmt.Sprint(way.name, "/", size[0]), func(b *testing.B) {
				total := 0
				for b.Loop() {
					total = 0
					for q := range queries {
						owners := make(map[string]bool)
						for shard := range parts {
							pair := servers[2*(q*parts+shard):][:2]
							chosen := pair[(shard+q)%2]
							for _, one := range pair {
								if one.Zone == entries[0].Zone || way.name == "by-group" && owners[way.owner(one, shard)] {
									chosen = one
								}
							}
							owners[way.owner(chosen, shard)] = true
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

// BenchmarkClaimed measures the list of the own servers, which is made each second and after every change.
func BenchmarkClaimed(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			view, _, entries := largeFleet(size[0], size[1])
			table := NewTable(reachOf(view, entries[0]), simLimits)
			b.ReportAllocs()
			claimed := 0
			for b.Loop() {
				claimed = len(table.Claimed())
			}
			b.ReportMetric(float64(claimed), "claimed")
		})
	}
}

// BenchmarkZoneLost replaces the table when all entry instances of a zone go at once.
func BenchmarkZoneLost(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			view, _, entries := largeFleet(size[0], size[1])
			table := NewTable(reachOf(view, entries[0]), simLimits)
			gone := view.EntriesOf("zone-4")
			without := view.With(nil, gone, nil, nil)
			for b.Loop() {
				table.With(reachOf(without, entries[0]), fleet.Change{Entries: gone}, simLimits)
			}
		})
	}
}
