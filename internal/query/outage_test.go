package query

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// interactive returns a service with the deadline of interactive queries.
func interactive(floor float64) catalogue.Service {
	return catalogue.Service{Idempotent: true, Deadline: 140 * time.Millisecond, MinCoverage: floor}
}

// runQuery runs query number i with the given remaining time.
func runQuery(engine *Engine, i int, deadline time.Duration) outcome {
	id := fmt.Sprintf("q%d", i)
	request := Request{
		Application: "race", ID: id, Deadline: time.Now().Add(deadline), Query: json.RawMessage(`"` + id + `"`),
	}
	answer, refusal := engine.Run(context.Background(), request)
	return outcome{request: request, answer: answer, refusal: refusal, at: time.Now()}
}

// TestTotalOutage guards against retries that multiply the load in a total outage, and against refusals that are
// delayed until the deadline.
func TestTotalOutage(t *testing.T) {
	outages := map[string]*verdict.Error{
		"refused connections": verdict.New(verdict.NotRun, verdict.ConnectFailed, "outage"),
		"lost connections":    verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "outage"),
		"shedding":            verdict.New(verdict.NotRun, verdict.Shedding, "outage").WithRetryAfter(3 * time.Second),
	}
	for name, outage := range outages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := newFakeSender(7)
				sender.injectedError = outage
				tf := newTestFleet(5, interactive(0.8))
				engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 7)
				engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 20)))
				for i := range 300 {
					result := runQuery(engine, i, 100*time.Millisecond)
					is.True(result.refusal != nil)
					is.True(result.request.Deadline.Sub(result.at) > 50*time.Millisecond) // refused as soon as it is certain
					is.True(result.refusal.RetryAfterMillis >= outage.RetryAfter.Milliseconds())
					is.True(result.refusal.RetryAfterMillis > 0)
				}
				time.Sleep(time.Second)
				firsts := engine.Counters().FirstAttempts.Load()
				maxSent := firsts + firsts/10 + 5*budgetBurst/1000
				t.Logf("%d first attempts, %d sent, %d allowed", firsts, sender.sent, maxSent)
				is.Equal(firsts, int64(300*20))
				is.True(int64(sender.sent) <= maxSent)
			})
		})
	}
}

// TestRefusedOnceCertain guards against a refusal that waits for slow parts although one shard has no replica left that
// could answer it.
func TestRefusedOnceCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(5)
		tf := newTestFleet(5, interactive(1))
		sender.latency = func(server fleet.ServerID, _ uint64) time.Duration {
			if strings.HasPrefix(string(server), string(serviceName(0))) {
				return time.Millisecond
			}
			return 80 * time.Millisecond
		}
		sender.setHeld(tf.serverIDs()[2:], 1) // the replicas of the first service hold no version
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 5)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 5)))
		result := runQuery(engine, 0, 100*time.Millisecond)
		sent := sender.sent
		second := runQuery(engine, 1, 100*time.Millisecond)
		time.Sleep(time.Second)
		is.True(result.refusal != nil)
		is.Equal(result.refusal.Reason, verdict.VersionNotHeld)
		is.True(result.request.Deadline.Sub(result.at) > 90*time.Millisecond)
		is.Equal(sender.sent, sent) // the second query is refused before anything is sent
		is.Equal(second.refusal.Verdict, verdict.NotRun)
	})
}

// TestHedgesAreLimitedWhenServiceSlows guards against hedging most parts when all replicas of a service become slow at
// the same time.
func TestHedgesAreLimitedWhenServiceSlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(5)
		latency := 2 * time.Millisecond
		sender.latency = func(_ fleet.ServerID, draw uint64) time.Duration { return latency + time.Duration(draw%1000) }
		tf := newTestFleet(1, interactive(1))
		sender.setHeld(tf.serverIDs(), 1)
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 5)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 100)))
		for i := range 20 {
			is.True(runQuery(engine, i, 100*time.Millisecond).refusal == nil)
		}
		latency = 40 * time.Millisecond
		before := engine.Counters().Hedges.Load()
		is.True(runQuery(engine, 20, 120*time.Millisecond).refusal == nil)
		time.Sleep(time.Second)
		hedges := engine.Counters().Hedges.Load() - before
		t.Logf("%d hedges of 100 parts", hedges)
		is.True(hedges <= 100/20+budgetBurst/1000)
	})
}

// TestColdReplicaGetsFewParts guards against a cold replica that stays cold because no part is ever sent to it, and
// against one that gets a full share of the parts while the other replica is warm.
func TestColdReplicaGetsFewParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(5)
		tf := newTestFleet(1, interactive(1))
		sender.setHeld(tf.serverIDs(), 1)
		sender.cold = map[fleet.ServerID]bool{tf.servers[0].ID: true}
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 5)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 1)))
		for i := range 1000 {
			is.True(runQuery(engine, i, 100*time.Millisecond).refusal == nil)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		t.Logf("%d of 1000 parts in %v were sent to the cold replica", sender.sentToCold, 1000*10*time.Millisecond)
		is.True(sender.sentToCold >= 10)
		is.True(sender.sentToCold <= 100)
	})
}

// TestLostReplica guards against a replica that stops answering and costs coverage or keeps causing hedges: the other
// replica must take over.
func TestLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(9)
		tf := newTestFleet(5, interactive(1))
		sender.setHeld(tf.serverIDs(), 1)
		sender.silent[tf.servers[0].ID] = true
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 9)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 20)))
		refused := 0
		for i := range 200 {
			if runQuery(engine, i, 100*time.Millisecond).refusal != nil {
				refused++
			}
		}
		time.Sleep(time.Second)
		t.Logf("%d of 200 refused, %d hedges, %d first attempts", refused, engine.Counters().Hedges.Load(), engine.Counters().FirstAttempts.Load())
		is.Equal(refused, 0)
		is.True(engine.Counters().Hedges.Load() <= engine.Counters().FirstAttempts.Load()/20+5*budgetBurst/1000)
	})
}

// TestMoveToAnotherVersion guards against a refusal, or an answer of mixed versions, when the replicas have dropped a
// version while another one can be answered completely. One shard may fail before the answers of others have shown
// which versions are held.
func TestMoveToAnotherVersion(t *testing.T) {
	for seed := range uint64(50) {
		testVersionSwitch(t, seed)
	}
}

func testVersionSwitch(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(seed)
		tf := newTestFleet(3, interactive(1))
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), seed)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 6), tf.shardMap(2, 9)))
		sender.setHeld(tf.serverIDs(), 1)
		is.Equal(runQuery(engine, 0, 100*time.Millisecond).answer.Snapshot, uint64(1)) // switched back from the trial of version 2
		sender.setHeld(tf.serverIDs(), 2)
		result := runQuery(engine, 1, 100*time.Millisecond)
		time.Sleep(time.Second)
		is.True(result.refusal == nil)
		is.Equal(result.answer.Snapshot, uint64(2))
		is.Equal(result.answer.Coverage.Asked, 9)
	})
}

// TestNewVersionIsAdopted guards against a new version that is never used because its services get no parts from older
// versions, so that it stays unknown whether their replicas hold it.
func TestNewVersionIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := newFakeSender(3)
		tf := newTestFleet(3, interactive(1))
		first := snapshot.ShardMap{Version: 1, Shards: map[snapshot.ShardID]fleet.ServiceID{"a": serviceName(0)}}
		second := snapshot.ShardMap{Version: 2, Shards: map[snapshot.ShardID]fleet.ServiceID{"a": serviceName(1), "b": serviceName(2)}}
		engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 3)
		engine.Update(tf.view(), tf.catalogue(), tf.index(first, second))
		sender.setHeld(tf.serverIDs(), 1)
		refused, lastOutcome := 0, outcome{}
		for i := range 200 {
			if i == 20 {
				sender.setHeld(tf.serverIDs(), 1, 2)
			}
			if lastOutcome = runQuery(engine, i, 100*time.Millisecond); lastOutcome.refusal != nil {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(refused, 0)
		is.Equal(lastOutcome.answer.Snapshot, uint64(2))
	})
}
