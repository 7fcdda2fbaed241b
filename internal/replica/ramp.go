package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// stepFactor and stepFloor define a step in latency; a single straggler is not one, so stepRun
	// consecutive calls must be that slow.
	stepFactor  = 4
	stepFloor   = 5 * time.Millisecond
	stepRun     = 3
	stepSamples = 8
	// silentRun is the number of consecutive calls without an answer that make a server silent.
	silentRun = 3
	// sheddingHold is how long a server counts as shedding after it refused load.
	sheddingHold = time.Second
	// rampStep is the number of answers without a sign of distress that widen the ramp by one call. What a cold server
	// bears is not known, and falling over costs far more than warming up slowly: a server with 3 slots has all of
	// them after 60 answers, about half a second of its work.
	rampStep = 20
	// confirmedFor is how long an answer shows that the server's process is still the one that was warmed up. An idle
	// server may have been started again, and its state endpoint may lag, so the first call after a longer
	// time goes alone. A service that takes longer than half of it has twice its service time instead.
	confirmedFor = time.Second
	// defaultServiceTime stands in for the service time before the first answer where the catalogue
	// names no latency objective.
	defaultServiceTime = 20 * time.Millisecond
)

// ramp is the warm-up state of one server. The server's lock guards it.
type ramp struct {
	state  State
	reason verdict.Reason
	since  time.Time
	// limit is the number of calls in flight that the server is taken to bear.
	limit int
	// proven is the number of answers at the present limit.
	proven int
	// epoch counts the signs of distress. Calls begun in an earlier epoch prove nothing about the server
	// as it is now.
	epoch     uint32
	startMark string
	// confirmed is the time of the last answer in the present epoch.
	confirmed time.Time
	// formerMark is the mark before startMark; the state endpoint may still show it.
	formerMark  string
	mean        time.Duration
	samples     int
	slow        int
	unanswered  int
	shedUntil   time.Time
	saysLeaving bool
}

func newRamp(now time.Time) ramp {
	return ramp{state: Cold, reason: verdict.Cold, since: now, limit: 1}
}

// enter changes the state. Leaving ends only with a new start mark.
func (r *ramp) enter(now time.Time, state State, reason verdict.Reason) {
	if r.saysLeaving && state != Leaving {
		return
	}
	if r.state != state {
		r.since = now
	}
	r.state, r.reason = state, reason
}

// distress drops the ramp to one call at a time.
func (r *ramp) distress(now time.Time, state State, reason verdict.Reason) {
	r.enter(now, state, reason)
	r.limit = 1
	r.proven = 0
	r.epoch++
	r.slow = 0
	r.samples = 0
}

// succeeded records an answer that came after elapsed to a call begun in an epoch.
func (r *ramp) succeeded(now time.Time, epoch uint32, elapsed time.Duration, reply Reply, slots int) {
	if epoch != r.epoch {
		return
	}
	r.unanswered = 0
	r.confirmed = now
	if reply.StartMark != "" && reply.StartMark != r.startMark {
		if r.startMark != "" {
			r.restarted(now, reply.StartMark)
			if reply.Leaving {
				r.leave(now)
			}
			return
		}
		r.startMark = reply.StartMark
	}
	if reply.Leaving {
		r.leave(now)
		return
	}
	if r.slowed(now, elapsed) {
		return
	}
	r.observe(elapsed)
	full := r.widen(slots)
	switch {
	case r.state == Shedding && now.Before(r.shedUntil):
	case full:
		r.enter(now, Warm, verdict.None)
	case r.state != Warm:
		r.enter(now, Warming, verdict.Cold)
	}
}

// widen counts an answer and tells whether all slots have been proven.
func (r *ramp) widen(slots int) bool {
	r.proven++
	if r.proven < rampStep {
		return r.state == Warm
	}
	r.proven = 0
	full := r.limit >= slots
	r.limit = min(r.limit+1, max(slots, 1))
	return full
}

// slowed tells whether elapsed belongs to a run of slow calls; the run that completes a step in latency
// makes the server cold.
func (r *ramp) slowed(now time.Time, elapsed time.Duration) bool {
	if r.samples < stepSamples || elapsed < stepFactor*r.mean || elapsed < r.mean+stepFloor {
		r.slow = 0
		return false
	}
	r.slow++
	if r.slow >= stepRun {
		r.distress(now, Cold, verdict.Cold)
	}
	return true
}

func (r *ramp) observe(elapsed time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.mean = elapsed
		return
	}
	r.mean += (elapsed - r.mean) / 8
}

// failed records the failure of a call. A call that this side cancelled says nothing about connections.
func (r *ramp) failed(now time.Time, epoch uint32, elapsed time.Duration, reason verdict.Reason, cancelled bool) {
	if epoch != r.epoch {
		return
	}
	switch reason {
	case verdict.Shedding:
		r.enter(now, Shedding, reason)
		r.limit = max(1, r.limit/2)
		r.proven = 0
		r.epoch++
		r.shedUntil = now.Add(sheddingHold)
	case verdict.Leaving:
		r.leave(now)
	case verdict.Cancelled:
		r.slowedIfLong(now, elapsed)
	case verdict.ConnectFailed:
		if !cancelled {
			r.distress(now, Lost, reason)
		}
	case verdict.ConnectionLost:
		if !cancelled {
			r.distress(now, Cold, reason)
		}
	case verdict.SilentConnection, verdict.DeadlinePassed:
		r.unanswered++
		if r.unanswered >= silentRun {
			r.unanswered = 0
			r.distress(now, Silent, reason)
		}
	}
}

// slowedIfLong counts a cancelled call as slow if it already was; a short one says nothing.
func (r *ramp) slowedIfLong(now time.Time, elapsed time.Duration) {
	if elapsed >= stepFactor*r.mean {
		r.slowed(now, elapsed)
	}
}

func (r *ramp) leave(now time.Time) {
	r.saysLeaving = true
	r.enter(now, Leaving, verdict.Leaving)
}

// restarted records that another process answers at the server's address.
func (r *ramp) restarted(now time.Time, startMark string) {
	r.formerMark, r.startMark = r.startMark, startMark
	r.saysLeaving = false
	r.distress(now, Cold, verdict.Cold)
}

// hint takes what the server's state endpoint says. The endpoint lags, so the former start mark is
// ignored, and an endpoint that does not say leaving does not bring a leaving server back.
func (r *ramp) hint(now time.Time, startMark string, leaving bool) {
	if startMark != "" && startMark == r.formerMark {
		return
	}
	if startMark != "" && r.startMark != "" && startMark != r.startMark {
		r.restarted(now, startMark)
	}
	if leaving {
		r.leave(now)
	}
}
