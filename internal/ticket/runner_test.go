package ticket

import (
	"context"
	"encoding/json"
	"math/rand"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

var testSettings = Settings{
	Instance: "entry-1", Key: []byte("a key of the tests"), MaxTickets: 4, TTL: time.Minute, MaxOutcomeBytes: 16,
}

func newRunner(t testing.TB, settings Settings, seed int64) *Runner {
	t.Helper()
	r, err := New(settings, rand.New(rand.NewSource(seed)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func issue(t testing.TB, r *Runner, count int) []string {
	t.Helper()
	texts, _, err := r.Issue(count)
	if err != nil {
		t.Fatal(err)
	}
	return texts
}

// answers returns an execute function that takes a second and counts its calls.
func answers(runs *atomic.Int64) func(context.Context) Outcome {
	return func(context.Context) Outcome {
		runs.Add(1)
		time.Sleep(time.Second)
		return Outcome{Answer: json.RawMessage(`"an answer"`)}
	}
}

// TestVerdictOfAUse guards against a wrong verdict and against a second execution, for each state that a ticket can be
// in when it is used.
func TestVerdictOfAUse(t *testing.T) {
	digest, other := DigestOf("tokens", api.Query{ID: "a"}), DigestOf("tokens", api.Query{ID: "b"})
	run := func(r *Runner, text string, runs *atomic.Int64) {
		r.Run(context.Background(), text, digest, answers(runs))
	}
	cases := map[string]struct {
		before  func(t *testing.T, r *Runner, text string, runs *atomic.Int64)
		digest  Digest
		edit    func(string) string
		timeout time.Duration
		runs    int64
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		"first use": {runs: 1, verdict: verdict.Ran},
		"repeat while it runs": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			go run(r, text, runs)
			time.Sleep(time.Millisecond)
		}, runs: 1, verdict: verdict.Ran},
		"repeat afterwards": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			run(r, text, runs)
		}, runs: 1, verdict: verdict.Ran},
		"repeat after the first caller has gone": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Millisecond, cancel)
			r.Run(ctx, text, digest, answers(runs))
		}, runs: 1, verdict: verdict.Ran},
		"answer dropped": {before: func(t *testing.T, r *Runner, text string, runs *atomic.Int64) {
			run(r, text, runs)
			run(r, issue(t, r, 1)[0], new(atomic.Int64))
		}, runs: 1, verdict: verdict.Ran, reason: verdict.ResultDropped},
		"another request": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			run(r, text, runs)
		}, digest: other, runs: 1, verdict: verdict.NotRun, reason: verdict.TicketReused},
		"unused and too old": {before: func(*testing.T, *Runner, string, *atomic.Int64) {
			time.Sleep(time.Minute)
		}, verdict: verdict.NotRun, reason: verdict.TicketExpired},
		"used and too old": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			run(r, text, runs)
			time.Sleep(2 * time.Minute)
		}, runs: 1, verdict: verdict.MayHaveRun, reason: verdict.TicketExpired},
		"unused and out of the window": {before: func(t *testing.T, r *Runner, _ string, _ *atomic.Int64) {
			issue(t, r, 4)
		}, verdict: verdict.NotRun, reason: verdict.TicketExpired},
		"used and out of the window": {before: func(t *testing.T, r *Runner, text string, runs *atomic.Int64) {
			run(r, text, runs)
			issue(t, r, 4)
		}, runs: 1, verdict: verdict.MayHaveRun, reason: verdict.TicketExpired},
		"running and out of the window": {before: func(t *testing.T, r *Runner, text string, runs *atomic.Int64) {
			go run(r, text, runs)
			time.Sleep(time.Millisecond)
			issue(t, r, 4)
		}, runs: 1, verdict: verdict.MayHaveRun, reason: verdict.TicketExpired},
		"deadline during the run": {timeout: time.Millisecond, runs: 1, verdict: verdict.MayHaveRun, reason: verdict.DeadlinePassed},
		"deadline before the run": {timeout: -time.Millisecond, verdict: verdict.NotRun, reason: verdict.DeadlinePassed},
		"repeat after a late first use": {before: func(_ *testing.T, r *Runner, text string, runs *atomic.Int64) {
			ctx, cancel := context.WithTimeout(context.Background(), -1)
			defer cancel()
			r.Run(ctx, text, digest, answers(runs))
		}, verdict: verdict.NotRun, reason: verdict.DeadlinePassed},
		"repeat after a panic": {before: func(_ *testing.T, r *Runner, text string, _ *atomic.Int64) {
			r.Run(context.Background(), text, digest, func(context.Context) Outcome { panic("a fault of the test") })
		}, verdict: verdict.MayHaveRun, reason: verdict.ServerError},
		"not base32": {edit: func(string) string { return "t1-?" }, verdict: verdict.NotRun, reason: verdict.InvalidRequest},
		"another form": {
			edit:    func(text string) string { return "t2" + text[2:] },
			verdict: verdict.MayHaveRun, reason: verdict.TicketUnknown,
		},
		"altered": {edit: func(text string) string {
			return text[:10] + strings.Map(func(r rune) rune { return 'a' + (r-'a'+1)%2 }, text[10:11]) + text[11:]
		}, verdict: verdict.MayHaveRun, reason: verdict.TicketUnknown},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, runs := newRunner(t, testSettings, 1), new(atomic.Int64)
				text := issue(t, r, 1)[0]
				if c.before != nil {
					c.before(t, r, text, runs)
				}
				if c.edit != nil {
					text = c.edit(text)
				}
				if c.digest == (Digest{}) {
					c.digest = digest
				}
				if c.timeout == 0 {
					c.timeout = time.Hour
				}
				ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
				defer cancel()
				outcome := r.Run(ctx, text, c.digest, answers(runs))
				time.Sleep(2 * time.Second)
				is.Equal(runs.Load(), c.runs)
				if c.verdict == verdict.Ran && c.reason == verdict.None {
					is.Equal(outcome, Outcome{Answer: json.RawMessage(`"an answer"`)})
					return
				}
				is.Equal(outcome.Err.Verdict, c.verdict)
				is.Equal(outcome.Err.Reason, c.reason)
			})
		})
	}
}

// TestAnswersAreBounded guards against the first caller not getting an answer that is larger than MaxOutcomeBytes, and
// against memory that grows with the number of executed tickets.
func TestAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, testSettings, 1)
		answer := Outcome{Answer: json.RawMessage(strings.Repeat("1", testSettings.MaxOutcomeBytes+1))}
		text := issue(t, r, 1)[0]
		is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome { return answer }), answer)
		is.Equal(r.Run(t.Context(), text, Digest{}, nil).Err.Reason, verdict.ResultDropped)
		small := Outcome{Answer: json.RawMessage("1")}
		for i := range 1000 {
			text := issue(t, r, 1)[0]
			is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome {
				if i%7 == 0 {
					issue(t, r, 4) // evicts the ticket from the window during its execution
				}
				return small
			}), small)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		is.True(len(r.window.retained) <= testSettings.MaxOutcomeBytes)
		is.True(r.window.retainedBytes <= testSettings.MaxOutcomeBytes)
		is.True(r.window.retainedBytes >= 0)
	})
}

type brokenForwarder struct{ err *verdict.Error }

func (f brokenForwarder) ForwardTicket(context.Context, fleet.InstanceID, Call) (Outcome, *verdict.Error) {
	return Outcome{}, f.err
}

// TestRouterAnswersForTheTicket guards against a verdict that is true of the forwarding attempt but not of the ticket,
// which an earlier attempt may have used.
func TestRouterAnswersForTheTicket(t *testing.T) {
	cases := map[string]struct {
		issuer Settings
		seed   int64
		err    *verdict.Error
		reason verdict.Reason
	}{
		"issuer unreachable": {
			Settings{Instance: "entry-2", Key: testSettings.Key},
			2,
			verdict.New(verdict.NotRun, verdict.PeerUnreachable, ""), verdict.PeerUnreachable,
		},
		"answer lost": {
			Settings{Instance: "entry-2", Key: testSettings.Key},
			2,
			verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, ""), verdict.ConnectionLost,
		},
		"issuer restarted": {testSettings, 2, nil, verdict.TicketUnknown},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			is := is.New(t)
			text := issue(t, newRunner(t, c.issuer, c.seed), 1)[0]
			router := NewRouter(newRunner(t, testSettings, 1), brokenForwarder{c.err}, nil)
			outcome := router.Route(t.Context(), Call{Ticket: text, Deadline: time.Now().Add(time.Second)})
			is.Equal(outcome.Err.Verdict, verdict.MayHaveRun)
			is.Equal(outcome.Err.Reason, c.reason)
			// A forwarded request is not forwarded again, even if another instance issued its ticket.
			outcome = router.RunTicket(t.Context(), "entry-3", Call{Ticket: text})
			is.Equal(outcome.Err.Reason, verdict.TicketUnknown)
		})
	}
}

// FuzzTicketText guards against a panic while parsing text from a caller, and against two texts that denote the same
// ticket.
func FuzzTicketText(f *testing.F) {
	key := testSettings.Key
	f.Add(ticketID{"entry-1", Incarnation{1}, 7}.encode(key))
	f.Add("t1-")
	f.Add("t1-aaaaaaaa")
	f.Fuzz(func(t *testing.T, text string) {
		if parsed, refused := parse(key, text); refused == nil && parsed.encode(key) != text {
			t.Fatalf("%q and %q are the same ticket", text, parsed.encode(key))
		}
	})
}

// TestTicketOfTheLongestNameFits guards against tickets that are too long for the callers' API, which accepts at most
// 256 characters.
func TestTicketOfTheLongestNameFits(t *testing.T) {
	is := is.New(t)
	settings := testSettings
	settings.Instance = fleet.InstanceID(strings.Repeat("e", maxInstanceBytes))
	r := newRunner(t, settings, 1)
	text := issue(t, r, 1)[0]
	is.True(len(text) <= 256)
	is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome { return Outcome{} }), Outcome{})
	settings.Instance += "e"
	_, err := New(settings, rand.New(rand.NewSource(1)))
	is.True(err != nil)
}
