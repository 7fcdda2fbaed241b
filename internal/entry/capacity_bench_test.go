package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// newBenchmarkFleet returns the given number of replicas over 12 zones and 4 regions, with entry instances in the ratio
// of the target deployment, 5200 to 44000 replicas.
func newBenchmarkFleet(replicas int) ([]fleet.Entry, []fleet.Server) {
	servers, entries := make([]fleet.Server, replicas), make([]fleet.Entry, replicas*5200/44000)
	place := func(i int) (fleet.ZoneID, fleet.RegionID) {
		return fleet.ZoneID(fmt.Sprint("zone-", i%12)), fleet.RegionID(fmt.Sprint("region-", i%4))
	}
	for i := range servers {
		zone, region := place(i)
		servers[i] = fleet.Server{ID: fleet.ServerID(fmt.Sprint("server-", i)), Service: fleet.ServiceID(fmt.Sprint("service-", i/2)), Zone: zone, Region: region, Address: "10.0.0.1:1"}
	}
	for i := range entries {
		zone, region := place(i)
		entries[i] = fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Zone: zone, Region: region, PeerAddress: "10.0.0.1:2", OperatorAddress: "10.0.0.1:3"}
	}
	return entries, servers
}

// BenchmarkAdoption measures the update of the membership and the ownership table when a configuration is adopted that
// changes the limits of one service.
func BenchmarkAdoption(b *testing.B) {
	for _, replicas := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			entries, servers := newBenchmarkFleet(replicas)
			services := make([]catalogue.Service, replicas/2)
			for i := range services {
				services[i] = catalogue.Service{ID: fleet.ServiceID(fmt.Sprint("service-", i)), Slots: 3, MaxConnections: 30}
			}
			initial := catalogue.New(services)
			services[0].Slots = 2
			changed := catalogue.New(services)
			m := newMembers(entries[0])
			m.adoptCatalogue(initial)
			m.applyEvent(func(membership *fleet.Membership, now time.Time) fleet.Change {
				return membership.ApplyInstanceList(now, entries, servers)
			})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.adoptCatalogue([]catalogue.Catalogue{changed, initial}[i%2])
			}
		})
	}
}
