package replica

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/query"
)

// BenchmarkOwned measures the memory that an Owner holds for the servers that it has sent to, and the duration of
// Refresh, which runs after every change of the fleet. At the target size an instance owns 8.5 servers.
func BenchmarkOwned(b *testing.B) {
	for _, count := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			owner, _, servers := benchOwner(count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			done := make(chan query.Result, 1)
			for i, server := range servers {
				part := query.Part{Attempt: uint64(i), Service: server.Service, Server: server.ID, Deadline: time.Now().Add(time.Second)}
				owner.Run(context.Background(), "c", []query.Part{part}, func(r query.Result) { done <- r })
				<-done
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				owner.Refresh()
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-B")
			runtime.KeepAlive(owner)
		})
	}
}
