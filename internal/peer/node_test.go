package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestPartsArriveUnchanged guards against changes to the query or the rows in transit, such as by a decoder that sorts
// keys or an encoder that escapes characters.
func TestPartsArriveUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote := &stubRunner{}
		n := newNetwork()
		a, b := n.startNode(t, "a", testKey, Handlers{}), n.startNode(t, "b", testKey, Handlers{Parts: remote})
		defer a.Close()
		defer b.Close()
		parts := testParts(20, time.Second)
		results := sendAndCollect(t.Context(), t, a, "b", parts)
		is.Equal(len(results), 20)
		for _, part := range parts {
			is.Equal(results[part.Attempt], resultFor(part))
		}
		is.Equal(len(remote.received), 20)
		is.Equal(remote.received[3], parts[3]) // with its query and deadline
		is.Equal(n.dials, 1)
	})
}

// TestPartVerdicts guards against the verdict "not run" for a part that may have run, and against parts without any
// result.
func TestPartVerdicts(t *testing.T) {
	cases := map[string]struct {
		key     string
		to      string
		answer  func(query.Part) *query.Result
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		"nobody listens":      {testKey, "c", nil, verdict.NotRun, verdict.PeerUnreachable},
		"wrong key":           {"another key, also 32 bytes long..", "b", nil, verdict.NotRun, verdict.PeerUnreachable},
		"no answer from peer": {testKey, "b", func(query.Part) *query.Result { return nil }, verdict.MayHaveRun, verdict.DeadlinePassed},
		"peer refuses": {testKey, "b", func(part query.Part) *query.Result {
			result := resultFor(part)
			result.Rows, result.Err = nil, verdict.New(verdict.NotRun, verdict.NotOwner, "")
			return &result
		}, verdict.NotRun, verdict.NotOwner},
		"result of another shard": {testKey, "b", func(part query.Part) *query.Result {
			result := resultFor(part)
			result.Shard = "shard-2"
			return &result
		}, verdict.MayHaveRun, verdict.BadAnswer},
		"result of an unknown attempt": {testKey, "b", func(part query.Part) *query.Result {
			result := resultFor(part)
			result.Attempt += 100
			return &result
		}, verdict.MayHaveRun, verdict.DeadlinePassed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				a := n.startNode(t, "a", c.key, Handlers{})
				b := n.startNode(t, "b", testKey, Handlers{Parts: &stubRunner{answer: c.answer}})
				requireVerdict(t, sendAndCollect(t.Context(), t, a, instanceID(c.to), testParts(5, time.Second)), 5, c.verdict, c.reason)
				a.Close()
				b.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestHeartbeat guards against a heartbeat with the identity that the sender claims instead of the one that the
// handshake proved.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, b := n.startNode(t, "a", testKey, Handlers{}), n.startNode(t, "b", testKey, Handlers{Heartbeats: incrementingHeartbeats{}})
		defer a.Close()
		defer b.Close()
		other, err := a.Heartbeat(context.Background(), "b", Heartbeat{Instance: "c", Acknowledged: true, Revision: 4})
		is.NoErr(err)
		is.Equal(other, Heartbeat{Instance: "b", Incarnation: b.settings.Incarnation, Zone: "zone-a", Acknowledged: true, Released: true, Revision: 5})
	})
}
