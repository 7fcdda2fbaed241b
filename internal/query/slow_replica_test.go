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

// hedgeRefusingSender refuses every hedge, as an owner without hedge budget does.
type hedgeRefusingSender struct{ *fakeSender }

func (s hedgeRefusingSender) Send(ctx context.Context, to fleet.InstanceID, parts []Part, deliver func(Result)) {
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

// TestSlowReplicaIsAvoidedWhileItsPartRuns guards against queries that keep choosing a replica which has become slow
// until its first slow part ends. Without hedge budget, each of these queries was as slow as the replica.
func TestSlowReplicaIsAvoidedWhileItsPartRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(1, catalogue.Service{Idempotent: true, Deadline: 5 * time.Second, MinCoverage: 1})
		sender := newFakeSender(3)
		var slow atomic.Bool
		var toSlow atomic.Int64
		sender.latency = func(server fleet.ServerID, _ uint64) time.Duration {
			switch {
			case server != tf.servers[0].ID:
				return 45 * time.Millisecond
			case slow.Load():
				toSlow.Add(1)
				return time.Second
			default:
				return 10 * time.Millisecond
			}
		}
		sender.setHeld(tf.serverIDs(), 1)
		engine := New("zone-a", hedgeRefusingSender{sender}, singleOwnerLookup{}, snapshot.NewHoldings(), 5)
		engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 1)))
		for n := range 80 {
			slow.Store(n >= 60)
			go engine.Run(context.Background(), Request{Application: "race", ID: "q", Deadline: time.Now().Add(5 * time.Second)})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		t.Logf("%d of 20 parts went to the slow replica", toSlow.Load())
		is.New(t).True(toSlow.Load() <= 2)
	})
}
