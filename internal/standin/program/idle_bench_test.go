package program

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// BenchmarkIdle reports the processor time that entry instances without queries spend on control, for each
// instance, as a share of one core. It takes some seconds; b.N does not change it.
func BenchmarkIdle(b *testing.B) {
	const period = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		Program: os.Args[0], Environment: []string{runVariable + "=1"}, Seed: 1, Applications: []string{search},
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerLag: time.Second,
	})
	defer c.Close()
	if err != nil {
		b.Fatal(err)
	}
	used := func() (processor time.Duration) {
		for n := range c.Entries {
			usage, err := c.Usage(n)
			if err != nil {
				b.Fatal(err)
			}
			processor += usage.Processor
		}
		return processor
	}
	time.Sleep(time.Second) // the first reads and connections are over
	before, started := used(), time.Now()
	time.Sleep(period)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(used()-before).Seconds()/time.Since(started).Seconds()/float64(len(c.Entries)), "%core/instance")
}
