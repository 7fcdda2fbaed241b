package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// A call is slow when it takes at least latencyStepFactor times the smoothed service time and at least
	// minLatencyStep longer. A single slow call may be a straggler, so latencyStepCalls consecutive slow calls make a
	// step in latency. The comparison needs latencyStepMinSamples earlier calls.
	latencyStepFactor     = 4
	minLatencyStep        = 5 * time.Millisecond
	latencyStepCalls      = 3
	latencyStepMinSamples = 8
	// silentAfterCalls is the number of consecutive calls without an answer after which a server is Silent.
	silentAfterCalls = 3
	// sheddingTTL is how long a server counts as Shedding after it refused load.
	sheddingTTL = time.Second
	// answersPerRampStep is the number of answers without a failure signal that raise the concurrency limit by one. The
	// load that a cold server can take is unknown, and overloading it costs far more than a slow warm-up. A server with
	// 3 slots has all of them after 60 answers, about half a second of its work.
	answersPerRampStep = 20
	// confirmationTTL is how long an answer proves that the server is still the process that was warmed up. An idle
	// server may have restarted and its state endpoint may lag behind, so after a longer time without an answer the
	// next call is sent alone. For a service time above half of this value, twice the service time applies instead.
	confirmationTTL = time.Second
	// defaultServiceTime is the service time assumed before the first answer if the catalogue sets no latency
	// objective.
	defaultServiceTime = 20 * time.Millisecond
)

// ramp is the warm-up state of one server. It raises the concurrency limit as answers arrive and resets it on failures.
// The mutex of the serverLimiter guards it.
type ramp struct {
	state  State
	reason verdict.Reason
	since  time.Time
	// limit is the number of concurrent calls that the server is assumed to handle.
	limit int
	// answersAtLimit is the number of answers counted towards the next increase of limit.
	answersAtLimit int
	// epoch is incremented whenever the ramp is reset or the server refuses load. Outcomes of calls that began in an
	// earlier epoch are ignored, because they say nothing about the server's present condition.
	epoch     uint32
	startMark string
	// confirmedAt is the time of the last answer in the current epoch.
	confirmedAt time.Time
	// previousStartMark is the start mark before startMark. The state endpoint may still return it.
	previousStartMark string
	meanServiceTime   time.Duration
	samples           int
	slowCalls         int
	unansweredCalls   int
	sheddingUntil     time.Time
	reportedLeaving   bool
}

func newRamp(now time.Time) ramp {
	return ramp{state: Cold, reason: verdict.Cold, since: now, limit: 1}
}

// setState changes the state. A server that has reported that it is leaving stays Leaving until its start mark changes.
func (r *ramp) setState(now time.Time, state State, reason verdict.Reason) {
	if r.reportedLeaving && state != Leaving {
		return
	}
	if r.state != state {
		r.since = now
	}
	r.state, r.reason = state, reason
}

// resetRamp reduces the concurrency limit to one call and starts a new epoch.
func (r *ramp) resetRamp(now time.Time, state State, reason verdict.Reason) {
	r.setState(now, state, reason)
	r.limit = 1
	r.answersAtLimit = 0
	r.epoch++
	r.slowCalls = 0
	r.samples = 0
}

// recordSuccess records an answer that arrived after elapsed. epoch is the one in which the call began.
func (r *ramp) recordSuccess(now time.Time, epoch uint32, elapsed time.Duration, answer Answer, slots int) {
	if epoch != r.epoch {
		return
	}
	r.unansweredCalls = 0
	r.confirmedAt = now
	if answer.StartMark != "" && answer.StartMark != r.startMark {
		if r.startMark != "" {
			r.recordRestart(now, answer.StartMark)
			if answer.Leaving {
				r.setLeaving(now)
			}
			return
		}
		r.startMark = answer.StartMark
	}
	if answer.Leaving {
		r.setLeaving(now)
		return
	}
	if r.recordIfSlow(now, elapsed) {
		return
	}
	r.updateServiceTime(elapsed)
	full := r.countAnswer(slots)
	switch {
	case r.state == Shedding && now.Before(r.sheddingUntil):
	case full:
		r.setState(now, Warm, verdict.None)
	case r.state != Warm:
		r.setState(now, Warming, verdict.Cold)
	}
}

// countAnswer counts an answer, raises the limit after answersPerRampStep of them, and reports whether the server has
// answered that often with all its slots admitted.
func (r *ramp) countAnswer(slots int) bool {
	r.answersAtLimit++
	if r.answersAtLimit < answersPerRampStep {
		return r.state == Warm
	}
	r.answersAtLimit = 0
	full := r.limit >= slots
	r.limit = min(r.limit+1, max(slots, 1))
	return full
}

// recordIfSlow reports whether elapsed is slow, and counts consecutive slow calls. The call that completes a step in
// latency makes the server cold.
func (r *ramp) recordIfSlow(now time.Time, elapsed time.Duration) bool {
	if r.samples < latencyStepMinSamples || elapsed < latencyStepFactor*r.meanServiceTime || elapsed < r.meanServiceTime+minLatencyStep {
		r.slowCalls = 0
		return false
	}
	r.slowCalls++
	if r.slowCalls >= latencyStepCalls {
		r.resetRamp(now, Cold, verdict.Cold)
	}
	return true
}

func (r *ramp) updateServiceTime(elapsed time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.meanServiceTime = elapsed
		return
	}
	r.meanServiceTime += (elapsed - r.meanServiceTime) / 8
}

// recordFailure records the failure of a call. A failed connection of a call that this instance cancelled itself says
// nothing about the server.
func (r *ramp) recordFailure(now time.Time, epoch uint32, elapsed time.Duration, reason verdict.Reason, cancelled bool) {
	if epoch != r.epoch {
		return
	}
	switch reason {
	case verdict.Shedding:
		r.setState(now, Shedding, reason)
		r.limit = max(1, r.limit/2)
		r.answersAtLimit = 0
		r.epoch++
		r.sheddingUntil = now.Add(sheddingTTL)
	case verdict.Leaving:
		r.setLeaving(now)
	case verdict.Cancelled:
		r.recordCancelled(now, elapsed)
	case verdict.ConnectFailed:
		if !cancelled {
			r.resetRamp(now, Lost, reason)
		}
	case verdict.ConnectionLost:
		if !cancelled {
			r.resetRamp(now, Cold, reason)
		}
	case verdict.SilentConnection, verdict.DeadlinePassed:
		r.unansweredCalls++
		if r.unansweredCalls >= silentAfterCalls {
			r.unansweredCalls = 0
			r.resetRamp(now, Silent, reason)
		}
	}
}

// recordCancelled counts a cancelled call as slow if it had already taken that long. A shorter one gives no
// information.
func (r *ramp) recordCancelled(now time.Time, elapsed time.Duration) {
	if elapsed >= latencyStepFactor*r.meanServiceTime {
		r.recordIfSlow(now, elapsed)
	}
}

func (r *ramp) setLeaving(now time.Time) {
	r.reportedLeaving = true
	r.setState(now, Leaving, verdict.Leaving)
}

// recordRestart records that another process answers at the server's address. An empty startMark means that the new
// process has not reported its mark yet.
func (r *ramp) recordRestart(now time.Time, startMark string) {
	r.previousStartMark, r.startMark = r.startMark, startMark
	r.reportedLeaving = false
	r.resetRamp(now, Cold, verdict.Cold)
}

// applyStateHint applies what the server's state endpoint returned. The endpoint lags behind the answers, so a response
// with the previous start mark is ignored, and a response without the leaving flag does not end the Leaving state.
func (r *ramp) applyStateHint(now time.Time, startMark string, leaving bool) {
	if startMark != "" && startMark == r.previousStartMark {
		return
	}
	if startMark != "" && r.startMark != "" && startMark != r.startMark {
		r.recordRestart(now, startMark)
	}
	if leaving {
		r.setLeaving(now)
	}
}
