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

func interactive(floor float64) catalogue.Service {
	return catalogue.Service{Idempotent: true, Deadline: 140 * time.Millisecond, CoverageFloor: floor}
}

func ask(engine *Engine, i int, deadline time.Duration) outcome {
	id := fmt.Sprintf("q%d", i)
	request := Request{
		Application: "race", ID: id, Deadline: time.Now().Add(deadline), Query: json.RawMessage(`"` + id + `"`),
	}
	answer, refusal := engine.Run(context.Background(), request)
	return outcome{request: request, answer: answer, refusal: refusal, at: time.Now()}
}

// Guards against retries that amplify a total outage, and against refusals held until the deadline.
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
				fake := newFakeSender(7)
				fake.outage = outage
				w := newWorld(5, interactive(0.8))
				engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 7)
				engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 20)))
				for i := range 300 {
					o := ask(engine, i, 100*time.Millisecond)
					is.True(o.refusal != nil)
					is.True(o.request.Deadline.Sub(o.at) > 50*time.Millisecond) // refused once it is certain
					is.True(o.refusal.RetryAfterMillis >= outage.RetryAfter.Milliseconds())
					is.True(o.refusal.RetryAfterMillis > 0)
				}
				time.Sleep(time.Second)
				firsts := engine.Counters().Firsts.Load()
				allowed := firsts + firsts/10 + 5*budgetBurst/1000
				t.Logf("%d first attempts, %d sent, %d allowed", firsts, fake.total, allowed)
				is.Equal(firsts, int64(300*20))
				is.True(int64(fake.total) <= allowed)
			})
		})
	}
}

// Guards against a refusal that waits for slow parts after one shard has lost all its replicas.
func TestRefusedOnceCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(5)
		w := newWorld(5, interactive(1))
		fake.latency = func(server fleet.ServerID, _ uint64) time.Duration {
			if strings.HasPrefix(string(server), string(serviceName(0))) {
				return time.Millisecond
			}
			return 80 * time.Millisecond
		}
		fake.hold(w.ids()[2:], 1) // the first service holds nothing
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 5)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 5)))
		o := ask(engine, 0, 100*time.Millisecond)
		sent := fake.total
		second := ask(engine, 1, 100*time.Millisecond)
		time.Sleep(time.Second)
		is.True(o.refusal != nil)
		is.Equal(o.refusal.Reason, verdict.VersionNotHeld)
		is.True(o.request.Deadline.Sub(o.at) > 90*time.Millisecond)
		is.Equal(fake.total, sent) // the second query is refused before anything is sent
		is.Equal(second.refusal.Verdict, verdict.NotRun)
	})
}

// Guards against a storm of hedges when every replica of a service turns slow at once.
func TestSlowServiceIsNotHedgedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(5)
		took := 2 * time.Millisecond
		fake.latency = func(_ fleet.ServerID, draw uint64) time.Duration { return took + time.Duration(draw%1000) }
		w := newWorld(1, interactive(1))
		fake.hold(w.ids(), 1)
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 5)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 100)))
		for i := range 20 {
			is.True(ask(engine, i, 100*time.Millisecond).refusal == nil)
		}
		took = 40 * time.Millisecond
		before := engine.Counters().Hedges.Load()
		is.True(ask(engine, 20, 120*time.Millisecond).refusal == nil)
		time.Sleep(time.Second)
		hedges := engine.Counters().Hedges.Load() - before
		t.Logf("%d hedges of 100 parts", hedges)
		is.True(hedges <= 100/20+budgetBurst/1000)
	})
}

// Guards against a cold replica that stays cold because no part is ever sent to it, and against one
// that gets a full share while the other is warm.
func TestColdReplicaGetsATrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(5)
		w := newWorld(1, interactive(1))
		fake.hold(w.ids(), 1)
		fake.cold = map[fleet.ServerID]bool{w.servers[0].ID: true}
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 5)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 1)))
		for i := range 1000 {
			is.True(ask(engine, i, 100*time.Millisecond).refusal == nil)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		t.Logf("%d of 1000 parts in %v", fake.toCold, 1000*10*time.Millisecond)
		is.True(fake.toCold >= 10)
		is.True(fake.toCold <= 100)
	})
}

// Guards against a lost replica that costs coverage or keeps drawing hedges: the other one takes over.
func TestLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(9)
		w := newWorld(5, interactive(1))
		fake.hold(w.ids(), 1)
		fake.lost[w.servers[0].ID] = true
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 9)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 20)))
		refused := 0
		for i := range 200 {
			if ask(engine, i, 100*time.Millisecond).refusal != nil {
				refused++
			}
		}
		time.Sleep(time.Second)
		t.Logf("%d of 200 refused, %d hedges, %d first attempts", refused, engine.Counters().Hedges.Load(), engine.Counters().Firsts.Load())
		is.Equal(refused, 0)
		is.True(engine.Counters().Hedges.Load() <= engine.Counters().Firsts.Load()/20+5*budgetBurst/1000)
	})
}

// Guards against a refusal, or an answer of mixed versions, where the replicas dropped a version
// while another can be answered whole. One shard may find out before the others have told anything.
func TestMoveToAnotherVersion(t *testing.T) {
	for seed := range uint64(50) {
		testMove(t, seed)
	}
}

func testMove(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(seed)
		w := newWorld(3, interactive(1))
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), seed)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 6), w.shardMap(2, 9)))
		fake.hold(w.ids(), 1)
		is.Equal(ask(engine, 0, 100*time.Millisecond).answer.Snapshot, uint64(1)) // moved back from the trial of 2
		fake.hold(w.ids(), 2)
		o := ask(engine, 1, 100*time.Millisecond)
		time.Sleep(time.Second)
		is.True(o.refusal == nil)
		is.Equal(o.answer.Snapshot, uint64(2))
		is.Equal(o.answer.Coverage.Asked, 9)
	})
}

// Guards against a new version that waits for ever because only it uses a service without traffic.
func TestNewVersionIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := newFakeSender(3)
		w := newWorld(3, interactive(1))
		first := snapshot.ShardMap{Version: 1, Shards: map[snapshot.ShardID]fleet.ServiceID{"a": serviceName(0)}}
		second := snapshot.ShardMap{Version: 2, Shards: map[snapshot.ShardID]fleet.ServiceID{"a": serviceName(1), "b": serviceName(2)}}
		engine := New("zone-a", fake, oneOwner{}, snapshot.NewHoldings(), 3)
		engine.Update(w.view(), w.catalogue(), w.index(first, second))
		fake.hold(w.ids(), 1)
		refused, last := 0, outcome{}
		for i := range 200 {
			if i == 20 {
				fake.hold(w.ids(), 1, 2)
			}
			if last = ask(engine, i, 100*time.Millisecond); last.refusal != nil {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(refused, 0)
		is.Equal(last.answer.Snapshot, uint64(2))
	})
}
