package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestState guards against metrics that report another state than the one that the choice of replicas is based on.
func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	limiting, limit := good(0), 5.0
	limiting.outcome.RequestLimit = &limit
	answer := func(h *replicaHealth, elapsed time.Duration, outcome Outcome) {
		h.endSend(h.beginSend(start, work, FirstSend), start.Add(elapsed), &outcome)
	}
	for name, test := range map[string]struct {
		happen func(h *replicaHealth)
		after  time.Duration
		cold   bool
		want   State
	}{
		"never asked":      {func(*replicaHealth) {}, 0, false, Healthy},
		"cold":             {func(*replicaHealth) {}, 0, true, Cold},
		"answers in time":  {func(h *replicaHealth) { answer(h, work, good(0).outcome) }, work, false, Healthy},
		"request waits":    {func(h *replicaHealth) { h.beginSend(start, work, FirstSend) }, work, false, Healthy},
		"request stalls":   {func(h *replicaHealth) { h.beginSend(start, work, FirstSend) }, 4 * work, false, Stalled},
		"slow":             {func(h *replicaHealth) { answer(h, 10*work, good(0).outcome) }, 10 * work, false, Slow},
		"slow long ago":    {func(h *replicaHealth) { answer(h, 10*work, good(0).outcome) }, time.Minute, false, Healthy},
		"refuses requests": {func(h *replicaHealth) { answer(h, 0, rejecting().outcome); answer(h, 0, rejecting().outcome) }, 0, false, Failing},
		"refuses connections": {func(h *replicaHealth) {
			answer(h, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed, Unsent: true})
		}, 0, false, Silent},
		"answers again": {func(h *replicaHealth) {
			answer(h, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed, Unsent: true})
			answer(h, work, good(0).outcome)
		}, work, false, Healthy},
		"names a limit": {func(h *replicaHealth) { answer(h, work, limiting.outcome) }, work, false, Limited},
		"limit ended": {func(h *replicaHealth) {
			answer(h, work, limiting.outcome)
			answer(h, work, good(0).outcome)
		}, work, false, Healthy},
		"bad answer without a limit": {func(h *replicaHealth) {
			answer(h, work, limiting.outcome)
			answer(h, work, Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Status: 200})
		}, work, false, Limited},
		"other process": {func(h *replicaHealth) {
			answer(h, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: 421})
		}, time.Minute, false, Misdirected},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHealth()
			test.happen(h)
			is.New(t).Equal(h.state(start.Add(test.after), test.cold), test.want)
		})
	}
}

// TestReportedStates guards against replicas that are counted under the wrong zone, and against a bound on extra sends
// that is reported as unused while hedges use it.
func TestReportedStates(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if id == "s3-a" {
				return replicaBehaviour{silent: true}
			}
			return good(work)
		})
		is.Equal(s.engine.States(time.Now()), map[ZoneState]int{{"a", Healthy}: shards, {"b", Healthy}: shards})
		s.runLoad(s.fanoutRoute, 20*time.Millisecond, time.Second)
		states := s.engine.States(time.Now())
		is.Equal(states[ZoneState{"a", Silent}], 1)
		is.Equal(states[ZoneState{"b", Healthy}], shards)
		share := allowed.perInstance(s.engine.Instances())
		for _, extra := range s.engine.ExtraSends(time.Now()) {
			is.Equal(extra.Spent > 0, extra.Service == "s3")
			is.True(extra.Spent+extra.Remaining <= share.Constant+share.Ratio*50+1)
		}
	})
}
