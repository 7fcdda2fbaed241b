package ticket

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Guards against a refusal that loses what tells the caller which field or which shards are at fault, at the first
// attempt or at a repeat, and against refusals that take memory without a bound.
func TestWholeRefusal(t *testing.T) {
	coverage := func(shards ...string) *api.Coverage {
		c := &api.Coverage{Asked: len(shards)}
		for _, shard := range shards {
			c.Missing = append(c.Missing, api.Missing{Shard: shard, Reason: verdict.Shedding})
		}
		return c
	}
	cases := map[string]struct {
		refusal api.Refusal
		held    bool
	}{
		"field":         {api.Refusal{Verdict: verdict.NotRun, Reason: verdict.UnknownShard, Field: "shards"}, true},
		"coverage":      {api.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.Shedding, RetryAfterMillis: 7, Coverage: coverage("a")}, true},
		"long coverage": {api.Refusal{Verdict: verdict.NotRun, Reason: verdict.Shedding, Coverage: coverage("a", "b", "c")}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings := testSettings
			settings.OutcomeBytes = 2 * missingBytes
			r := newRunner(t, settings, 1)
			text := issue(t, r, 1)[0]
			c.refusal.ID, c.refusal.Detail = "q", "100% of them"
			router := NewRouter(r, nil, func(context.Context, Call) Outcome { return Refused(&c.refusal) })
			call := Call{Ticket: text, Deadline: time.Now().Add(time.Minute)}
			is.Equal(router.Route(t.Context(), call).Refusal("q"), &c.refusal)
			if !c.held {
				c.refusal.Coverage = nil // the verdict stays
			}
			is.Equal(router.Route(t.Context(), call).Refusal("q"), &c.refusal)
			is.True(r.window.bytes <= settings.OutcomeBytes)
		})
	}
}
