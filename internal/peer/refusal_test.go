package peer

import (
	"context"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestForwardedRefusalKeepsAllFields guards against a refusal that loses its field or its coverage on the way from the
// issuer of a ticket to the instance that the caller asked.
func TestForwardedRefusalKeepsAllFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		want := api.Refusal{
			ID: "q", Verdict: verdict.MayHaveRun, Reason: verdict.CoverageBelowFloor, Detail: "18 of 20", Field: "shards",
			RetryAfterMillis: 1000, Coverage: &api.Coverage{Asked: 2, Answered: 1, Missing: []api.Missing{
				{Shard: "a", Reason: verdict.DeadlinePassed, Verdict: verdict.MayHaveRun},
			}},
		}
		issuer, err := ticket.New(ticket.Settings{Instance: "b", Key: []byte(testKey)}, rand.New(rand.NewSource(1)))
		is.NoErr(err)
		other, err := ticket.New(ticket.Settings{Instance: "a", Key: []byte(testKey)}, rand.New(rand.NewSource(2)))
		is.NoErr(err)
		execute := func(context.Context, ticket.Call) ticket.Outcome { return ticket.Refused(&want) }
		a := n.startNode(t, "a", testKey, Handlers{})
		defer a.Close()
		b := n.startNode(t, "b", testKey, Handlers{Tickets: ticket.NewRouter(issuer, nil, execute)})
		defer b.Close()
		texts, _, err := issuer.Issue(1)
		is.NoErr(err)
		outcome := ticket.NewRouter(other, a, nil).Route(t.Context(), ticket.Call{
			Ticket: texts[0], Body: []byte(`{}`), Deadline: time.Now().Add(time.Second),
		})
		is.Equal(outcome.Refusal("q"), &want)
	})
}
