package program

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// runLoad sends queries for the given number of seconds and checks that no answer is wrong.
func runLoad(t *testing.T, c *cluster.Cluster, seconds float64) *cluster.Outcome {
	t.Helper()
	check := is.New(t)
	generator, err := c.NewGenerator()
	check.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	outcome := generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 60}, Seconds: seconds})[searchApplication]
	t.Logf("%d queries, %d complete, %d partial, %d refused, %d failed, %v, shards missing %v",
		outcome.Queries, outcome.Complete, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Reasons, outcome.Missing)
	check.Equal(len(outcome.Mismatches), 0)
	return outcome
}

// TestServerColdAgain guards against full load on a cold server that was restarted while no requests were sent to it.
func TestServerColdAgain(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, searchApplication)
	runLoad(t, c, 1)
	check.NoErr(c.SetServerFaults(ctx, "marshal-search-04-a", `{"cold":true,"cold-crash":true}`))
	time.Sleep(2 * time.Second)
	runLoad(t, c, 2)
	report, err := c.Observed(ctx)
	check.NoErr(err)
	check.Equal(report.Servers["marshal-search-04-a"].ColdOverloads, int64(0))
	check.True(report.Servers["marshal-search-04-a"].Executed > 0)
	checkServerLimits(t, c)
}

// TestServerLeaves guards against requests to a server later than 3 s after it first reported that it is leaving.
func TestServerLeaves(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, searchApplication)
	runLoad(t, c, 1)
	check.NoErr(c.SetServerFaults(ctx, "marshal-search-04-a", `{"leaving":true}`))
	outcome := runLoad(t, c, 5)
	report, err := c.Observed(ctx)
	check.NoErr(err)
	check.Equal(report.Servers["marshal-search-04-a"].AfterLeaving, int64(0))
	check.Equal(outcome.Failed, 0)
}

// TestConnectionsGoSilent guards against a connection pool that keeps using connections on which no answers arrive.
// They must be replaced within one deadline, and no answer may be wrong.
func TestConnectionsGoSilent(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := startWithDeadline(t, 3*time.Second, searchApplication)
	runLoad(t, c, 1)
	for _, server := range []string{"marshal-search-01-a", "marshal-search-02-a", "marshal-search-03-b"} {
		check.NoErr(c.SetServerFaults(ctx, server, `{"silent-connections":30}`))
	}
	runLoad(t, c, 1)
	outcome := runLoad(t, c, 2)
	check.Equal(outcome.Complete, outcome.Queries)
	checkServerLimits(t, c)
}
