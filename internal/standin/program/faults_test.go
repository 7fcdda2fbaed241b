package program

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/api"
)

const (
	search     = "marshal-search"
	settlement = "corral-ledger"
)

// ask sends one query and checks the answer; it returns whether every shard answered.
func ask(t *testing.T, c *cluster.Cluster, n int, number uint64) bool {
	t.Helper()
	query := api.Query{ID: "q", DeadlineMillis: 1000, Query: c.Application(search).Data.Query(number)}
	answer, refusal, err := c.Query(context.Background(), n, search, query)
	if err != nil || refusal != nil {
		return false
	}
	is.New(t).NoErr(c.Check(search, query, answer))
	return answer.Coverage.Answered == answer.Coverage.Asked
}

// wholeWithin waits until a run of queries to the entry instance is answered whole.
func wholeWithin(t *testing.T, c *cluster.Cluster, n int, patience time.Duration) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for run, number := 0, uint64(0); run < 20; number++ {
		if time.Now().After(deadline) {
			t.Fatalf("entry instance %d did not answer 20 queries in a row whole within %s", n+1, patience)
		}
		if ask(t, c, n, number) {
			run++
		} else {
			run = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// withinLimits checks what the backend servers saw.
func withinLimits(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	check := is.New(t)
	report, err := c.Observed(context.Background())
	check.NoErr(err)
	for id, seen := range report.Servers {
		if seen.PeakInFlight > seen.Slots || seen.PeakConnections > seen.Limit {
			t.Errorf("%s: %d requests in flight of %d slots, %d connections of %d", id, seen.PeakInFlight, seen.Slots, seen.PeakConnections, seen.Limit)
		}
	}
	check.Equal(len(report.Effects.Duplicates), 0)
}

// TestEntryKilled guards against servers that stay without an owner after their owner was killed, and against a
// restarted instance that does not come back.
func TestEntryKilled(t *testing.T) {
	check := is.New(t)
	c := start(t, search)
	wholeWithin(t, c, 0, 5*time.Second)
	check.NoErr(c.Signal(1, syscall.SIGKILL))
	_ = c.Wait(1, 5*time.Second)
	wholeWithin(t, c, 0, 8*time.Second)
	wholeWithin(t, c, 3, 8*time.Second)
	check.NoErr(c.StartEntry(1))
	check.NoErr(c.WaitReady(context.Background()))
	wholeWithin(t, c, 1, 8*time.Second)
	withinLimits(t, c)
}

// TestEntryPaused guards against an owner that goes on sending when it resumes after others have claimed its
// servers: the slots of a server would be used twice.
func TestEntryPaused(t *testing.T) {
	check := is.New(t)
	c := start(t, search)
	wholeWithin(t, c, 0, 5*time.Second)
	var group sync.WaitGroup
	ctx, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	generator, err := c.NewGenerator()
	check.NoErr(err)
	group.Go(func() {
		generator.Run(ctx, cluster.Load{PerSecond: map[string]int{search: 50}, Seconds: 6})
	})
	time.Sleep(time.Second)
	check.NoErr(c.Signal(1, syscall.SIGSTOP))
	time.Sleep(2500 * time.Millisecond)
	check.NoErr(c.Signal(1, syscall.SIGCONT))
	group.Wait()
	wholeWithin(t, c, 1, 8*time.Second)
	withinLimits(t, c)
}

// TestStoreOutage guards against a query path that needs the store, and against a configuration that is lost or
// goes back when the store returns.
func TestStoreOutage(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, search)
	wholeWithin(t, c, 0, 5*time.Second)
	check.NoErr(c.StoreFaults(ctx, `{"down":true}`))
	time.Sleep(1500 * time.Millisecond)
	for n := range c.Entries {
		wholeWithin(t, c, n, 5*time.Second)
		check.True(c.Ready(ctx, n))
	}
	check.NoErr(c.StoreFaults(ctx, `{}`))
	revision, err := c.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue { return current.WithZoneOut("zone-c", true) })
	check.NoErr(err)
	deadline := time.Now().Add(5 * time.Second)
	for n := range c.Entries {
		for {
			status, err := c.Status(ctx, n)
			check.NoErr(err)
			if status.Configuration.Revision >= revision {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("entry instance %d has revision %d, not %d, 5 s after the change", n+1, status.Configuration.Revision, revision)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	check.True(!c.Ready(ctx, 3)) // the instance of zone-c
}

// TestGracefulShutdown guards against a shutdown that cuts a request: callers that follow readiness, late as a
// balancer does, get an answer to every query while two instances stop.
func TestGracefulShutdown(t *testing.T) {
	check := is.New(t)
	c := start(t, search, settlement)
	wholeWithin(t, c, 0, 5*time.Second)
	generator, err := c.NewGenerator()
	check.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
	defer stop()
	go generator.Follow(ctx)
	var group sync.WaitGroup
	var outcomes map[string]*cluster.Outcome
	group.Go(func() {
		outcomes = generator.Run(ctx, cluster.Load{PerSecond: map[string]int{search: 60, settlement: 20}, Seconds: 5})
	})
	time.Sleep(time.Second)
	check.NoErr(c.Signal(1, syscall.SIGTERM))
	time.Sleep(1500 * time.Millisecond)
	check.NoErr(c.Signal(3, syscall.SIGTERM))
	check.NoErr(c.Wait(1, 10*time.Second))
	check.NoErr(c.Wait(3, 10*time.Second))
	group.Wait()
	for name, outcome := range outcomes {
		t.Logf("%s: %d queries, %d whole, %d partial, %d refused, %d failed, %v, shards missing %v", name,
			outcome.Queries, outcome.Whole, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Reasons, outcome.Missing)
		check.Equal(len(outcome.Wrong), 0)
		check.Equal(outcome.Failed, 0) // no request was cut
	}
	withinLimits(t, c)
}
