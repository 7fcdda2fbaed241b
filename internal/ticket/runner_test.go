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
	Instance: "entry-1", Key: []byte("a key of the tests"), WindowCount: 4, Valid: time.Minute, OutcomeBytes: 16,
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

// answers returns an execution that takes a second and counts its runs.
func answers(runs *atomic.Int64) func(context.Context) Outcome {
	return func(context.Context) Outcome {
		runs.Add(1)
		time.Sleep(time.Second)
		return Outcome{Answer: json.RawMessage(`"an answer"`)}
	}
}

// Guards against a false verdict for each way in which a ticket can be used, and against a second run.
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

// Guards against a first caller that loses a large answer to the bound, and against memory that grows
// with the number of tickets that have run.
func TestAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, testSettings, 1)
		answer := Outcome{Answer: json.RawMessage(strings.Repeat("1", testSettings.OutcomeBytes+1))}
		text := issue(t, r, 1)[0]
		is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome { return answer }), answer)
		is.Equal(r.Run(t.Context(), text, Digest{}, nil).Err.Reason, verdict.ResultDropped)
		small := Outcome{Answer: json.RawMessage("1")}
		for i := range 1000 {
			text := issue(t, r, 1)[0]
			is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome {
				if i%7 == 0 {
					issue(t, r, 4) // the ticket leaves the window while it runs
				}
				return small
			}), small)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		is.True(len(r.window.remembered) <= testSettings.OutcomeBytes)
		is.True(r.window.bytes <= testSettings.OutcomeBytes)
		is.True(r.window.bytes >= 0)
	})
}

type brokenForwarder struct{ err *verdict.Error }

func (f brokenForwarder) ForwardTicket(context.Context, fleet.InstanceID, Call) (Outcome, *verdict.Error) {
	return Outcome{}, f.err
}

// Guards against a verdict about the attempt where the caller asks about the ticket.
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
			// A forwarded ticket ends here, also if it names a third instance.
			outcome = router.RunTicket(t.Context(), "entry-3", Call{Ticket: text})
			is.Equal(outcome.Err.Reason, verdict.TicketUnknown)
		})
	}
}

// Guards against a panic on a caller's text and against two texts for one ticket.
func FuzzTicketText(f *testing.F) {
	key := testSettings.Key
	f.Add(name{"entry-1", Incarnation{1}, 7}.text(key))
	f.Add("t1-")
	f.Add("t1-aaaaaaaa")
	f.Fuzz(func(t *testing.T, text string) {
		if parsed, refused := parse(key, text); refused == nil && parsed.text(key) != text {
			t.Fatalf("%q and %q are the same ticket", text, parsed.text(key))
		}
	})
}

// Guards against tickets that the caller interface, which takes 256 characters, would refuse.
func TestTicketOfTheLongestNameFits(t *testing.T) {
	is := is.New(t)
	settings := testSettings
	settings.Instance = fleet.InstanceID(strings.Repeat("e", maxInstance))
	r := newRunner(t, settings, 1)
	text := issue(t, r, 1)[0]
	is.True(len(text) <= 256)
	is.Equal(r.Run(t.Context(), text, Digest{}, func(context.Context) Outcome { return Outcome{} }), Outcome{})
	settings.Instance += "e"
	_, err := New(settings, rand.New(rand.NewSource(1)))
	is.True(err != nil)
}
