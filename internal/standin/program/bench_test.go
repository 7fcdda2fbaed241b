package program

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// idlePeriod is how long the entry instances run without queries to measure what they use when idle.
const idlePeriod = 10 * time.Second

// BenchmarkSubrequest reports the processor time of all entry instances per subrequest, which includes parsing the
// caller's request, the messages between instances and the answer. It also reports what an idle instance uses. The load
// lasts a fixed number of seconds; b.N does not change it.
func BenchmarkSubrequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		// If the variable is set, the built program that it names runs the entry instances. It has less code in memory
		// than the test binary.
		ServeProgram: os.Getenv("MEDLARLATCH_SERVE"),
		Program:      os.Args[0], Environment: []string{runEnvironmentVariable + "=1"}, Seed: 1, Applications: []string{searchApplication},
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

	readUsage := func() (processor, system time.Duration, parts, resident int64) {
		for n := range c.Entries {
			usage, err := c.Usage(n)
			if err != nil {
				b.Fatal(err)
			}
			status, err := c.Status(ctx, n)
			if err != nil {
				b.Fatal(err)
			}
			processor += usage.CPU
			system += usage.System
			parts += status.Load.FirstAttempts + status.Load.Hedges + status.Load.Retries
			resident = max(resident, usage.ResidentBytes)
		}
		return processor, system, parts, resident
	}
	idleProcessorBefore, _, _, _ := readUsage()
	time.Sleep(idlePeriod)
	idleProcessorAfter, _, _, idleResident := readUsage()
	generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 50}, Seconds: 1})
	processorBefore, systemBefore, partsBefore, _ := readUsage()
	started := time.Now()
	outcome := generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 250}, Seconds: 5})[searchApplication]
	processorAfter, systemAfter, partsAfter, loadedResident := readUsage()
	parts := float64(partsAfter - partsBefore)
	if os.Getenv("MEDLARLATCH_PROFILE") != "" {
		// A process writes its profile only when it exits by itself.
		for n := range c.Entries {
			if c.Signal(n, syscall.SIGTERM) != nil || c.Wait(n, 10*time.Second) != nil {
				b.Fatal("an entry instance did not stop within 10 s of SIGTERM")
			}
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((processorAfter-processorBefore).Microseconds())/parts, "cpu-µs/subrequest")
	b.ReportMetric(float64((systemAfter-systemBefore).Microseconds())/parts, "system-µs/subrequest")
	b.ReportMetric(parts/time.Since(started).Seconds(), "subrequests/s")
	b.ReportMetric(100*float64(idleProcessorAfter-idleProcessorBefore)/float64(idlePeriod)/float64(len(c.Entries)), "idle-cpu-%")
	b.ReportMetric(float64(idleResident)/1e6, "idle-MB")
	b.ReportMetric(float64(loadedResident)/1e6, "loaded-MB")
	b.ReportMetric(float64(outcome.Latencies.Percentile(50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(outcome.Latencies.Percentile(99).Microseconds())/1000, "p99-ms")
	b.Logf("%d queries, %d complete, %d partial, %d refused, %d failed, %v, shards missing %v",
		outcome.Queries, outcome.Complete, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Reasons, outcome.Missing)
}
