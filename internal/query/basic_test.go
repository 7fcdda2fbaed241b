package query

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

// singleOwnerLookup gives every backend server the same reachable owner.
type singleOwnerLookup struct{}

func (singleOwnerLookup) Owner(fleet.ServerID) (fleet.InstanceID, bool) { return "entry-1", true }

// echoSender answers every part at once with the name of its shard.
type echoSender struct{}

func (echoSender) Send(_ context.Context, _ fleet.InstanceID, parts []Part, deliver func(Result)) {
	for _, part := range parts {
		deliver(Result{
			Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version,
			Rows: json.RawMessage(`"` + string(part.Shard) + `"`), HeldVersions: []snapshot.Version{part.Version}, Warm: true,
		})
	}
}

func (echoSender) Cancel(fleet.InstanceID, uint64) {}

// TestWholeAnswer guards against a wrong version, a wrong coverage or missing rows in the basic case: one index
// version, and every shard is answered.
func TestWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := catalogue.New([]catalogue.Service{{
			ID: "bibs", Application: "race", Idempotent: true, Deadline: time.Second, MinCoverage: 1,
		}})
		view := fleet.NewView(nil, []fleet.Server{{ID: "s1", Service: "bibs"}, {ID: "s2", Service: "bibs"}})
		index, err := snapshot.NewIndex("race", snapshot.ShardMap{
			Version: 3, Shards: map[snapshot.ShardID]fleet.ServiceID{"a": "bibs", "b": "bibs"},
		})
		is.NoErr(err)
		engine := New("zone-a", echoSender{}, singleOwnerLookup{}, snapshot.NewHoldings(), 1)
		engine.Update(view, entries, map[catalogue.ApplicationID]*snapshot.Index{"race": index})
		answer, refusal := engine.Run(t.Context(), Request{Application: "race", ID: "q", Deadline: time.Now().Add(time.Second)})
		is.True(refusal == nil)
		is.Equal(answer.Snapshot, uint64(3))
		is.Equal(answer.Coverage.Answered, 2)
		is.Equal(string(answer.Rows["b"]), `"b"`)
	})
}
