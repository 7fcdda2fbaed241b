package program

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/api"
)

// BenchmarkCallers reports the answers per second for 1 to 1,000 concurrent callers. Each caller sends its next query
// at once after an answer, and after the retry-after time of a refusal. Each load lasts 3 s; b.N does not change it.
func BenchmarkCallers(b *testing.B) {
	const period = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		Program: os.Args[0], Environment: []string{runEnvironmentVariable + "=1"}, Seed: 1, Applications: []string{searchApplication},
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerDelay: time.Second,
	})
	defer c.Close()
	if err != nil {
		b.Fatal(err)
	}
	generator, err := c.NewGenerator()
	if err != nil {
		b.Fatal(err)
	}
	generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 100}, Seconds: 3})
	application := c.Application(searchApplication)
	for _, callers := range []int{1, 10, 100, 1000} {
		var answered, refused, failed atomic.Int64
		end := time.Now().Add(period)
		var group sync.WaitGroup
		for n := range callers {
			group.Go(func() {
				for time.Now().Before(end) {
					query := api.Query{ID: "q", DeadlineMillis: int64(application.DeadlineMillis), Query: application.Data.Query(uint64(n))}
					_, refusal, err := c.Query(ctx, n%len(c.Entries), searchApplication, query)
					switch {
					case err != nil:
						failed.Add(1)
						return
					case refusal != nil:
						refused.Add(1)
						time.Sleep(time.Duration(refusal.RetryAfterMillis) * time.Millisecond)
					default:
						answered.Add(1)
					}
				}
			})
		}
		group.Wait()
		b.ReportMetric(float64(answered.Load())/period.Seconds(), fmt.Sprintf("answers/s@%d", callers))
		b.Logf("%d callers: %d answered, %d refused, %d failed", callers, answered.Load(), refused.Load(), failed.Load())
	}
	b.ReportMetric(0, "ns/op")
}
