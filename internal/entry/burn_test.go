package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestTrace guards against error budget that is attributed to the wrong server: to the hedge that answered instead of
// the slow first attempt, to an attempt of a version that the query moved away from, or because of a result that
// arrived after the query had ended.
func TestTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tr := is.New(t), &trace{started: time.Now()}
		deliver := make(map[uint64]func(query.Result))
		send := func(version snapshot.Version, number uint64, shard snapshot.ShardID, server fleet.ServerID) {
			part := query.Part{Attempt: number, Service: "one", Shard: shard, Server: server, Version: version}
			deliver[number] = tr.recordSent([]query.Part{part}, func(query.Result) {})
		}
		end := func(number uint64, reason verdict.Reason) {
			result := query.Result{Attempt: number}
			if reason != verdict.None {
				result.Err = verdict.New(verdict.NotRun, reason, "")
			}
			deliver[number](result)
		}
		send(1, 1, "straggler", "one-c")
		end(1, verdict.None)
		send(2, 2, "straggler", "one-a")
		send(2, 3, "failed", "one-a")
		send(2, 4, "in-flight", "one-a")
		time.Sleep(time.Second)
		send(2, 5, "straggler", "one-b")
		end(5, verdict.None)
		end(3, verdict.Overloaded)
		send(2, 6, "failed", "one-b")
		end(6, verdict.ServerError)
		coverage := &api.Coverage{Asked: 4, Answered: 1, Missing: []api.Missing{
			{Shard: "failed", Reason: verdict.ServerError},
			{Shard: "in-flight", Reason: verdict.DeadlinePassed},
			{Shard: "not-sent", Reason: verdict.NoReplica},
		}}
		zoneOf := func(id fleet.ServerID) string { return "zone-of-" + string(id) }
		parts := tr.shardOutcomes(coverage, zoneOf, func(string) string { return "two" })
		end(4, verdict.None)
		is.Equal(parts, []burn.Part{
			{Service: "one", Shard: "failed", Server: "one-b", Zone: "zone-of-one-b", Reason: verdict.ServerError},
			{Service: "one", Shard: "in-flight", Server: "one-a", Zone: "zone-of-one-a", Reason: verdict.DeadlinePassed},
			{Service: "one", Shard: "straggler", Server: "one-a", Zone: "zone-of-one-a", Answered: true, Latency: time.Second},
			{Service: "two", Shard: "not-sent", Reason: verdict.NoReplica},
		})
	})
}
