package query

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// noHedges refuses every hedge, as an owner without hedge budget does.
type noHedges struct{ *fakeSender }

func (s noHedges) Send(ctx context.Context, to fleet.InstanceID, parts []Part, deliver func(Result)) {
	for _, part := range parts {
		if !part.Hedge {
			s.fakeSender.Send(ctx, to, []Part{part}, deliver)
			continue
		}
		deliver(Result{
			Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Warm: true,
			Err: verdict.New(verdict.NotRun, verdict.HedgeRefused, "no budget"),
		})
	}
}

// TestStragglerIsKnownWhileItsPartRuns guards against queries that go on choosing a replica that has become slow
// until its first slow part ends: without hedge budget each of them was as slow as the straggler.
func TestStragglerIsKnownWhileItsPartRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, catalogue.Service{Idempotent: true, Deadline: 5 * time.Second, CoverageFloor: 1})
		fake := newFakeSender(3)
		var slow atomic.Bool
		var toSlow atomic.Int64
		fake.latency = func(server fleet.ServerID, _ uint64) time.Duration {
			switch {
			case server != w.servers[0].ID:
				return 45 * time.Millisecond
			case slow.Load():
				toSlow.Add(1)
				return time.Second
			default:
				return 10 * time.Millisecond
			}
		}
		fake.hold(w.ids(), 1)
		engine := New("zone-a", noHedges{fake}, oneOwner{}, snapshot.NewHoldings(), 5)
		engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 1)))
		for n := range 80 {
			slow.Store(n >= 60)
			go engine.Run(context.Background(), Request{Application: "race", ID: "q", Deadline: time.Now().Add(5 * time.Second)})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		t.Logf("%d of 20 parts went to the straggler", toSlow.Load())
		is.New(t).True(toSlow.Load() <= 2)
	})
}
