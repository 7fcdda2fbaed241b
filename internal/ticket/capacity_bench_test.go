package ticket

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkWindow measures the processor time of issuing and executing a ticket, and as held-B the memory of a window
// that holds the given number of executed tickets with answers of 200 bytes.
func BenchmarkWindow(b *testing.B) {
	for _, count := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			answer := json.RawMessage(make([]byte, 200))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			runner, err := New(Settings{Instance: "entry-1000", Key: make([]byte, 32)}, rand.Reader)
			if err != nil {
				b.Fatal(err)
			}
			run := func() {
				texts, _, err := runner.Issue(1)
				if err != nil {
					b.Fatal(err)
				}
				runner.Run(context.Background(), texts[0], Digest{}, func(context.Context) Outcome {
					return Outcome{Answer: append(json.RawMessage(nil), answer...)}
				})
			}
			for range count {
				run()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
			b.ReportMetric(held, "held-B")
			runtime.KeepAlive(runner)
		})
	}
}
