package ownership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// fleetSizes are numbers of servers, each with the number of entry instances for it at the ratio of the target size.
var fleetSizes = [][2]int{{1000, 118}, {5000, 590}, {15000, 1770}, {44000, 5200}}

func largeFleet(servers, entries int) (*fleet.View, []fleet.Server, []fleet.Entry) {
	place := func(i int) (fleet.ZoneID, fleet.RegionID) {
		return fleet.ZoneID(fmt.Sprint("zone-", i%12)), fleet.RegionID(fmt.Sprint("region-", i%4))
	}
	allServers, allEntries := make([]fleet.Server, servers), make([]fleet.Entry, entries)
	for i := range allServers {
		zone, region := place(i)
		allServers[i] = fleet.Server{ID: fleet.ServerID(fmt.Sprint("server-", i)), Service: fleet.ServiceID(fmt.Sprint("service-", i/2)), Zone: zone, Region: region, Address: fmt.Sprint("10.0.0.1:", i)}
	}
	for i := range allEntries {
		zone, region := place(i)
		allEntries[i] = fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Zone: zone, Region: region}
	}
	return fleet.NewView(allEntries, allServers), allServers, allEntries
}

func heapAfterGC() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func fullReach(view *fleet.View, self fleet.Entry) *fleet.Reachability {
	return fleet.NewReachability(self, view, nil, nil, time.Time{})
}

// BenchmarkRouteAndClaim measures looking up the owner of a server and the claim to it, and the memory of the view and
// of the table for each server.
func BenchmarkRouteAndClaim(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			_, servers, entries := largeFleet(size[0], size[1])
			bare := heapAfterGC()
			view := fleet.NewView(entries, servers)
			before := heapAfterGC()
			table := NewTable(fullReach(view, entries[0]), simLimits)
			after := heapAfterGC()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id := servers[i].ID
				table.Owner(id)
				table.Claim(id)
				i = (i + 7919) % len(servers)
			}
			b.ReportMetric(float64(before-bare)/float64(size[0]), "view-B/server")
			b.ReportMetric(float64(after-before)/float64(size[0]), "table-B/server")
			runtime.KeepAlive(view)
			runtime.KeepAlive(entries)
		})
	}
}

// BenchmarkUpdate measures replacing the view and the table after a change of one server or one entry instance, and
// computing the full table.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range fleetSizes {
		view, servers, entries := largeFleet(size[0], size[1])
		table := NewTable(fullReach(view, entries[0]), simLimits)
		b.Run(fmt.Sprint("server/", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				server := servers[i%len(servers)]
				server.Leaving = i%2 == 0
				next := view.WithServer(server)
				table.With(fullReach(next, entries[0]), fleet.Change{Servers: []fleet.ServerID{server.ID}}, simLimits)
				i++
			}
		})
		b.Run(fmt.Sprint("entry-gone/", size[0]), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id := entries[1+i%(len(entries)-1)].ID
				table.With(fullReach(view.WithoutEntry(id), entries[0]), fleet.Change{Entries: []fleet.InstanceID{id}}, simLimits)
				i++
			}
		})
		b.Run(fmt.Sprint("full/", size[0]), func(b *testing.B) {
			for b.Loop() {
				NewTable(fullReach(view, entries[0]), simLimits)
			}
		})
	}
}
