package program

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// TestBurnCountsEveryQuery guards against queries that the burn report misses or counts twice when the counts of four
// entry instances are merged, and against bad queries that are attributed to the wrong shard: the only shard whose
// replicas do not answer must be reported as the largest spender of the error budget.
func TestBurnCountsEveryQuery(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, searchApplication, "corral-ledger")
	for _, server := range []string{"marshal-search-03-a", "marshal-search-03-b"} {
		check.NoErr(c.SetServerFaults(ctx, server, `{"frozen":true}`))
	}
	generator, err := c.NewGenerator()
	check.NoErr(err)
	outcomes := generator.Run(ctx, cluster.Load{PerSecond: map[string]int{searchApplication: 60, "corral-ledger": 10}, Seconds: 2})
	var snapshots []burn.Snapshot
	for n := range c.Entries {
		snapshot, err := c.Burn(ctx, n)
		check.NoErr(err)
		snapshots = append(snapshots, snapshot)
	}
	lines := make(map[burn.Key]burn.ObjectiveReport)
	for _, line := range burn.Merge(time.Now(), snapshots, nil).Objectives {
		lines[line.Key] = line
	}
	for _, name := range []string{searchApplication, "corral-ledger"} {
		line, outcome := lines[burn.Key{Application: name}], outcomes[name]
		counted := line.Good() + line.Bad()
		// After a "not run" refusal the client sends a settlement again with a new ticket, which counts as another
		// query.
		check.True(counted == int64(outcome.Queries) || name != searchApplication && counted > int64(outcome.Queries))
		check.True(line.Bad() >= int64(outcome.Partial+outcome.Refused))
		check.True(line.Good() <= int64(outcome.Complete))
	}
	frozen := lines[burn.Key{Application: searchApplication, Service: "marshal-search-03"}]
	check.Equal(frozen.Good(), int64(0))
	check.True(len(lines[burn.Key{Application: searchApplication}].Spenders) > 0)
	check.Equal(lines[burn.Key{Application: searchApplication}].Spenders[0].Shard, frozen.Spenders[0].Shard)
}
