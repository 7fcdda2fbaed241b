package ticket

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestWholeRefusal guards against a refusal that loses its field or its coverage, which tell the caller which field is
// invalid or which shards are missing, at the first attempt or at a retry, and against unbounded memory for retained
// refusals.
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
			settings.MaxOutcomeBytes = 2 * missingShardBytes
			r := newRunner(t, settings, 1)
			text := issue(t, r, 1)[0]
			c.refusal.ID, c.refusal.Detail = "q", "100% of them"
			router := NewRouter(r, nil, func(context.Context, Call) Outcome { return Refused(&c.refusal) })
			call := Call{Ticket: text, Deadline: time.Now().Add(time.Minute)}
			is.Equal(router.Route(t.Context(), call).Refusal("q"), &c.refusal)
			if !c.held {
				c.refusal.Coverage = nil // only the coverage is dropped
			}
			is.Equal(router.Route(t.Context(), call).Refusal("q"), &c.refusal)
			is.True(r.window.retainedBytes <= settings.MaxOutcomeBytes)
		})
	}
}

// TestNotStartedHasRetryAfter guards against a request that was cancelled before it started and is refused without a
// time to come back.
func TestNotStartedHasRetryAfter(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, testSettings, 1)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	outcome := r.Run(cancelled, issue(t, r, 1)[0], DigestOf("tokens", api.Query{ID: "a"}), func(context.Context) Outcome { return Outcome{} })
	is.Equal(verdict.Of(outcome.Err), verdict.NotRun)
	is.True(outcome.Refusal("q").RetryAfterMillis > 0)
}
