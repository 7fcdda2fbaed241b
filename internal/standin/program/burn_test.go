package program

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// TestBurnCountsEveryQuery guards against queries that the burn report misses or counts twice over four entry
// instances, and against blame on a shard that was answered: the only shard without a replica that answers spends
// the most.
func TestBurnCountsEveryQuery(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, search, "corral-ledger")
	for _, server := range []string{"marshal-search-03-a", "marshal-search-03-b"} {
		check.NoErr(c.Fault(ctx, server, `{"frozen":true}`))
	}
	generator, err := c.NewGenerator()
	check.NoErr(err)
	outcomes := generator.Run(ctx, cluster.Load{PerSecond: map[string]int{search: 60, "corral-ledger": 10}, Seconds: 2})
	var snapshots []burn.Snapshot
	for n := range c.Entries {
		snapshot, err := c.Burn(ctx, n)
		check.NoErr(err)
		snapshots = append(snapshots, snapshot)
	}
	lines := make(map[burn.Key]burn.Line)
	for _, line := range burn.Merge(time.Now(), snapshots, nil).Objectives {
		lines[line.Key] = line
	}
	for _, name := range []string{search, "corral-ledger"} {
		line, seen := lines[burn.Key{Application: name}], outcomes[name]
		counted := line.Good() + line.Bad()
		// The client sends a settlement again under a new ticket after "not run", which counts as another query.
		check.True(counted == int64(seen.Queries) || name != search && counted > int64(seen.Queries))
		check.True(line.Bad() >= int64(seen.Partial+seen.Refused))
		check.True(line.Good() <= int64(seen.Whole))
	}
	frozen := lines[burn.Key{Application: search, Service: "marshal-search-03"}]
	check.Equal(frozen.Good(), int64(0))
	check.True(len(lines[burn.Key{Application: search}].Spenders) > 0)
	check.Equal(lines[burn.Key{Application: search}].Spenders[0].Shard, frozen.Spenders[0].Shard)
}
