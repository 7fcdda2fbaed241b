package query

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

// BenchmarkEngineUpdate measures the engine's new plan after a change of one server, and the memory that its
// plan and states hold.
func BenchmarkEngineUpdate(b *testing.B) {
	for _, servers := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			w := newWorld(servers/2, catalogue.Service{Idempotent: true, Deadline: time.Minute, CoverageFloor: 1})
			view, inForce, index := w.view(), w.catalogue(), w.index(w.shardMap(1, 170))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			engine := New("zone-a", echoSender{}, oneOwner{}, snapshot.NewHoldings(), 1)
			engine.Update(view, inForce, index)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				server := w.servers[i%len(w.servers)]
				server.Leaving = i%2 == 0
				engine.Update(view.WithServer(server), inForce, index)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			runtime.KeepAlive(engine)
			runtime.KeepAlive(w)
		})
	}
}
