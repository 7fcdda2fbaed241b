package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// BenchmarkParse measures the cost of parsing a catalogue at the size of current deployments and near the maximum size
// of a value in the store.
func BenchmarkParse(b *testing.B) {
	for _, count := range []int{52, 3600} {
		services := make([]Service, count)
		for i := range services {
			services[i] = Service{
				ID: fleet.ServiceID(fmt.Sprintf("bib-index-%05d", i)), Owner: "race-control", Application: "marshal-search", Class: Interactive, Idempotent: true,
				Slots: 3, MaxConnections: 30, ConnectCost: 6 * time.Millisecond, Deadline: 140 * time.Millisecond,
				MinCoverage: 0.95, LatencyObjective: 100 * time.Millisecond, ObjectivePercent: 99,
			}
		}
		text := New(services).Format()
		b.Run(fmt.Sprintf("%d-services", count), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := Parse("f", text); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}
