package query

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

// BenchmarkEngineUpdate measures the update of the plan after a change of one backend server, and the memory that the
// plan and the statistics take.
func BenchmarkEngineUpdate(b *testing.B) {
	for _, servers := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			tf := newTestFleet(servers/2, catalogue.Service{Idempotent: true, Deadline: time.Minute, MinCoverage: 1})
			view, entries, index := tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 170))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			engine := New("zone-a", echoSender{}, singleOwnerLookup{}, snapshot.NewHoldings(), 1)
			engine.Update(view, entries, index)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				server := tf.servers[i%len(tf.servers)]
				server.Leaving = i%2 == 0
				engine.Update(view.WithServer(server), entries, index)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			runtime.KeepAlive(engine)
			runtime.KeepAlive(tf)
		})
	}
}
