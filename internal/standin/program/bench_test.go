package program

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// idleTime is how long the instances run without queries before they are measured.
const idleTime = 10 * time.Second

// BenchmarkSubrequest reports the processor time of all entry instances for each subrequest, with the parse of the
// caller's request, the peers' messages and the answer, and what an idle instance uses. The load is
// bounded to some seconds; b.N does not change it.
func BenchmarkSubrequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		// The built program has less code in memory than the test binary.
		Serve:   os.Getenv("MEDLARLATCH_SERVE"),
		Program: os.Args[0], Environment: []string{runVariable + "=1"}, Seed: 1, Applications: []string{search},
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerLag: time.Second,
	})
	defer c.Close()
	if err != nil {
		b.Fatal(err)
	}
	generator, err := c.NewGenerator()
	if err != nil {
		b.Fatal(err)
	}

	used := func() (processor, system time.Duration, parts, resident int64) {
		for n := range c.Entries {
			usage, err := c.Usage(n)
			if err != nil {
				b.Fatal(err)
			}
			status, err := c.Status(ctx, n)
			if err != nil {
				b.Fatal(err)
			}
			processor += usage.Processor
			system += usage.System
			parts += status.Load.Firsts + status.Load.Hedges + status.Load.Retries
			resident = max(resident, usage.Resident)
		}
		return processor, system, parts, resident
	}
	idleFrom, _, _, _ := used()
	time.Sleep(idleTime)
	idleTo, _, _, idle := used()
	generator.Run(ctx, cluster.Load{PerSecond: map[string]int{search: 50}, Seconds: 1})
	before, systemBefore, partsBefore, _ := used()
	started := time.Now()
	outcome := generator.Run(ctx, cluster.Load{PerSecond: map[string]int{search: 250}, Seconds: 5})[search]
	after, systemAfter, partsAfter, loaded := used()
	parts := float64(partsAfter - partsBefore)
	if os.Getenv("MEDLARLATCH_PROFILE") != "" {
		// A profile is written when the process ends by itself.
		for n := range c.Entries {
			if c.Signal(n, syscall.SIGTERM) != nil || c.Wait(n, 10*time.Second) != nil {
				b.Fatal("an entry instance did not end")
			}
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((after-before).Microseconds())/parts, "cpu-µs/subrequest")
	b.ReportMetric(float64((systemAfter-systemBefore).Microseconds())/parts, "system-µs/subrequest")
	b.ReportMetric(parts/time.Since(started).Seconds(), "subrequests/s")
	b.ReportMetric(100*float64(idleTo-idleFrom)/float64(idleTime)/float64(len(c.Entries)), "idle-cpu-%")
	b.ReportMetric(float64(idle)/1e6, "idle-MB")
	b.ReportMetric(float64(loaded)/1e6, "loaded-MB")
	b.ReportMetric(float64(outcome.Latencies.Percentile(50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(outcome.Latencies.Percentile(99).Microseconds())/1000, "p99-ms")
	b.Logf("%d queries, %d whole, %d partial, %d refused, %d failed, %v, shards missing %v",
		outcome.Queries, outcome.Whole, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Reasons, outcome.Missing)
}
