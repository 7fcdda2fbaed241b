package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestState guards against metrics that report another state than the one that replicas are chosen by.
func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	answer := func(l *load, elapsed time.Duration, outcome Outcome) {
		l.end(l.begin(start, work), start.Add(elapsed), &outcome)
	}
	for name, test := range map[string]struct {
		happen func(l *load)
		after  time.Duration
		cold   bool
		want   State
	}{
		"never asked":      {func(*load) {}, 0, false, Sound},
		"cold":             {func(*load) {}, 0, true, Cold},
		"answers in time":  {func(l *load) { answer(l, work, good(0).outcome) }, work, false, Sound},
		"request waits":    {func(l *load) { l.begin(start, work) }, work, false, Sound},
		"request stalls":   {func(l *load) { l.begin(start, work) }, 4 * work, false, Stalled},
		"slow":             {func(l *load) { answer(l, 10*work, good(0).outcome) }, 10 * work, false, Slow},
		"slow long ago":    {func(l *load) { answer(l, 10*work, good(0).outcome) }, time.Minute, false, Sound},
		"refuses requests": {func(l *load) { answer(l, 0, rejecting().outcome); answer(l, 0, rejecting().outcome) }, 0, false, Failing},
		"refuses connections": {func(l *load) {
			answer(l, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed, Unsent: true})
		}, 0, false, Silent},
		"answers again": {func(l *load) {
			answer(l, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed, Unsent: true})
			answer(l, work, good(0).outcome)
		}, work, false, Sound},
		"other process": {func(l *load) {
			answer(l, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: 421})
		}, time.Minute, false, Misdirected},
	} {
		t.Run(name, func(t *testing.T) {
			l := &load{}
			test.happen(l)
			is.New(t).Equal(l.state(start.Add(test.after), test.cold), test.want)
		})
	}
}

// TestReportedStates guards against states of replicas under another zone, and against a bound on extra sends that is
// reported as unused while hedges spend it.
func TestReportedStates(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			if id == "s3-a" {
				return behaviour{silent: true}
			}
			return good(work)
		})
		is.Equal(s.engine.States(time.Now()), map[Replicas]int{{"a", Sound}: shards, {"b", Sound}: shards})
		s.load(s.fan, 20*time.Millisecond, time.Second)
		states := s.engine.States(time.Now())
		is.Equal(states[Replicas{"a", Silent}], 1)
		is.Equal(states[Replicas{"b", Sound}], shards)
		share := allowed.share(s.engine.Instances())
		for _, extra := range s.engine.ExtraSends(time.Now()) {
			is.Equal(extra.Spent > 0, extra.Service == "s3")
			is.True(extra.Spent+extra.Left <= share.Extra+share.Ratio*50+1)
		}
	})
}
