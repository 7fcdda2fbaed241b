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
	searchApplication     = "marshal-search"
	settlementApplication = "corral-ledger"
)

// answeredCompletely sends one query, checks its answer and reports whether every shard answered.
func answeredCompletely(t *testing.T, c *cluster.Cluster, n int, number uint64) bool {
	t.Helper()
	query := api.Query{ID: "q", DeadlineMillis: 1000, Query: c.Application(searchApplication).Data.Query(number)}
	answer, refusal, err := c.Query(context.Background(), n, searchApplication, query)
	if err != nil || refusal != nil {
		return false
	}
	is.New(t).NoErr(c.Check(searchApplication, query, answer))
	return answer.Coverage.Answered == answer.Coverage.Asked
}

// requireCompleteAnswers waits until the entry instance answers 20 queries in a row completely, and fails the test if
// that takes longer than the timeout.
func requireCompleteAnswers(t *testing.T, c *cluster.Cluster, n int, timeout time.Duration) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for consecutive, number := 0, uint64(0); consecutive < 20; number++ {
		if time.Now().After(deadline) {
			t.Fatalf("entry instance %d did not answer 20 queries in a row completely within %s", n+1, timeout)
		}
		if answeredCompletely(t, c, n, number) {
			consecutive++
		} else {
			consecutive = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkServerLimits checks that no backend server had more requests or connections than its limits allow, and that no
// key took effect twice.
func checkServerLimits(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	check := is.New(t)
	report, err := c.Observed(context.Background())
	check.NoErr(err)
	for id, seen := range report.Servers {
		if seen.PeakInFlight > seen.Slots || seen.PeakConnections > seen.ConnectionLimit {
			t.Errorf("%s: %d requests in flight of %d slots, %d connections of %d", id, seen.PeakInFlight, seen.Slots, seen.PeakConnections, seen.ConnectionLimit)
		}
	}
	check.Equal(len(report.Effects.Duplicates), 0)
}

// TestEntryKilled guards against servers that stay without an owner after their owner was killed, and against a
// restarted instance that does not serve again.
func TestEntryKilled(t *testing.T) {
	check := is.New(t)
	c := start(t, searchApplication)
	requireCompleteAnswers(t, c, 0, 5*time.Second)
	check.NoErr(c.Signal(1, syscall.SIGKILL))
	_ = c.Wait(1, 5*time.Second)
	requireCompleteAnswers(t, c, 0, 8*time.Second)
	requireCompleteAnswers(t, c, 3, 8*time.Second)
	check.NoErr(c.StartEntry(1))
	check.NoErr(c.WaitReady(context.Background()))
	requireCompleteAnswers(t, c, 1, 8*time.Second)
	checkServerLimits(t, c)
}

// TestEntryPaused guards against an owner that was paused and continues to send after other instances have claimed its
// servers, so that the slots of a server are used twice.
func TestEntryPaused(t *testing.T) {
	check := is.New(t)
	c := start(t, searchApplication)
	requireCompleteAnswers(t, c, 0, 5*time.Second)
	var group sync.WaitGroup
	ctx, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	generator, err := c.NewGenerator()
	check.NoErr(err)
	group.Go(func() {
		generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 50}, Seconds: 6})
	})
	time.Sleep(time.Second)
	check.NoErr(c.Signal(1, syscall.SIGSTOP))
	time.Sleep(2500 * time.Millisecond)
	check.NoErr(c.Signal(1, syscall.SIGCONT))
	group.Wait()
	requireCompleteAnswers(t, c, 1, 8*time.Second)
	checkServerLimits(t, c)
}

// TestStoreOutage guards against queries that fail while the store is down, and against a configuration that is lost or
// reverts to an older revision when the store is back.
func TestStoreOutage(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, searchApplication)
	requireCompleteAnswers(t, c, 0, 5*time.Second)
	check.NoErr(c.SetStoreFaults(ctx, `{"down":true}`))
	time.Sleep(1500 * time.Millisecond)
	for n := range c.Entries {
		requireCompleteAnswers(t, c, n, 5*time.Second)
		check.True(c.Ready(ctx, n))
	}
	check.NoErr(c.SetStoreFaults(ctx, `{}`))
	revision, err := c.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue {
		return current.WithZoneOutOfService("zone-c", true)
	})
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

// TestGracefulShutdown guards against a shutdown that interrupts requests. The callers learn of readiness late, as
// through a load balancer, and must get a response to every query while two instances stop.
func TestGracefulShutdown(t *testing.T) {
	check := is.New(t)
	c := start(t, searchApplication, settlementApplication)
	requireCompleteAnswers(t, c, 0, 5*time.Second)
	generator, err := c.NewGenerator()
	check.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
	defer stop()
	go generator.PollReady(ctx)
	var group sync.WaitGroup
	var outcomes map[string]*cluster.Outcome
	group.Go(func() {
		outcomes = generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 60, settlementApplication: 20}, Seconds: 5})
	})
	time.Sleep(time.Second)
	check.NoErr(c.Signal(1, syscall.SIGTERM))
	time.Sleep(1500 * time.Millisecond)
	check.NoErr(c.Signal(3, syscall.SIGTERM))
	check.NoErr(c.Wait(1, 10*time.Second))
	check.NoErr(c.Wait(3, 10*time.Second))
	group.Wait()
	for name, outcome := range outcomes {
		t.Logf("%s: %d queries, %d complete, %d partial, %d refused, %d failed, %v, shards missing %v", name,
			outcome.Queries, outcome.Complete, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Reasons, outcome.Missing)
		check.Equal(len(outcome.Mismatches), 0)
		check.Equal(outcome.Failed, 0) // no request was interrupted
	}
	checkServerLimits(t, c)
}
