// Package admission decides which queries are started at all, by class, by the time left and by a
// bound on the queries in progress that follows the observed latency.
//
// A Limiter owns its state under one lock; each decision takes a few comparisons. The package never
// queues work: what cannot start now is refused at once with the time to come back.
package admission

import (
	"math"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Limits bounds the number of queries in progress.
type Limits struct {
	Min, Initial, Max int
}

// DefaultLimits returns limits for an entry instance of the current deployments.
func DefaultLimits() Limits { return Limits{Min: 2, Initial: 64, Max: 4096} }

const (
	// tolerance is the latency over the unloaded latency up to which the bound may grow.
	tolerance = 2.0
	// window is the least number of ended queries between two changes of the bound.
	window = 32
	// leastProbe is the least number of queries from which the unloaded latency is taken. With a bound of a few
	// queries they run nearly one after the other, and a whole window of them took 2 to 3 s of every 10 s.
	leastProbe = 8
	// answeredShare is the part of the deadline that queries may wait and run in when overload has been seen: the
	// bound is at most the queries that end in that time (Little's law), however large it was.
	answeredShare = 0.75
	// backoff shrinks the bound when backend servers refuse work as overloaded, and halfAll by how much when every
	// query of a window was: at 0.9 a bound of 64 took 24 windows to come down to what few slots bear, and
	// all answers were late meanwhile.
	backoff = 0.9
	halfAll = 0.5
	// probeInterval is how often the unloaded latency is measured again under lasting load, and
	// probeShare the share of the bound at which it is. The tolerated latency is twice the unloaded one,
	// so that a quarter of the bound leaves no queue.
	probeInterval = 10 * time.Second
	probeShare    = 0.25
	// leastRetryAfter keeps callers from coming back in a tight loop when queries are very short.
	leastRetryAfter = 50 * time.Millisecond
	// mostRetryAfter bounds the time to come back, which grows with the refusals for each query that ended.
	mostRetryAfter = 5 * time.Second
)

// share is the part of the bound that each class may fill, so that batch work leaves room for
// settlement work, and both for interactive work.
func share(class catalogue.Class) float64 {
	switch class {
	case catalogue.Interactive:
		return 1
	case catalogue.Settlement:
		return 0.9
	default:
		return 0.5
	}
}

// Outcome tells how an admitted query ended.
type Outcome int

const (
	// Completed means that the query was answered.
	Completed Outcome = iota
	// Overloaded means that backend servers refused parts as overloaded, or that the deadline passed.
	Overloaded
	// Failed means an end that says nothing about load.
	Failed
)

// OutcomeOf tells how an admitted query ended by its coverage, if it was sent to servers, and its refusal, nil for an
// answer. Overload also hides behind a coverage below the floor and behind partial answers.
func OutcomeOf(coverage *api.Coverage, refusal *api.Refusal) Outcome {
	if refusal != nil && overloaded(refusal.Reason) {
		return Overloaded
	}
	if coverage != nil {
		for _, missing := range coverage.Missing {
			if overloaded(missing.Reason) {
				return Overloaded
			}
		}
	}
	if refusal != nil {
		return Failed
	}
	return Completed
}

func overloaded(reason verdict.Reason) bool {
	switch reason {
	case verdict.Overloaded, verdict.Shedding, verdict.DeadlinePassed:
		return true
	default:
		return false
	}
}

// Limiter admits queries. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limits   Limits
	bound    float64
	inFlight int
	baseline float64   // unloaded latency in nanoseconds, 0 while unknown
	typical  float64   // smoothed latency in nanoseconds
	total    float64   // sum of the latencies in the window
	allowed  float64   // sum of the times given to the queries of the window, in nanoseconds
	opened   time.Time // begin of the window
	ended    int
	overload int // overloaded queries in the window
	refused  int // refusals in the window
	// pressure is the smoothed number of refusals for each ended query.
	pressure float64
	full     bool
	// probing is set while the unloaded latency is measured; probeFrom is when the queries of the
	// larger bound had drained, zero before.
	probing   bool
	probeFrom time.Time
	probed    time.Time
}

// New returns a limiter.
func New(limits Limits) *Limiter {
	limits.Min = max(limits.Min, 1)
	limits.Max = max(limits.Max, limits.Min)
	return &Limiter{
		limits: limits,
		bound:  float64(min(max(limits.Initial, limits.Min), limits.Max)),
	}
}

// Permit is the right to run one query; end it with Done.
type Permit struct {
	limiter *Limiter
	group   *Group
	started time.Time
	left    time.Duration
	once    sync.Once
}

// Admit starts a query or refuses it at once. A refusal is always NotRun.
func (l *Limiter) Admit(class catalogue.Class, deadline time.Time) (*Permit, *verdict.Error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	left := deadline.Sub(now)
	if left <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the deadline has passed")
	}
	// One query at a time is admitted whatever was observed, so that an estimate that is too high is
	// corrected.
	if l.inFlight > 0 {
		if float64(left) < l.baseline {
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineTooShort,
				"%v left, queries take %v", left, time.Duration(l.baseline))
		}
		if float64(left) < l.typical {
			l.full = true
			return nil, l.refuse("%v left, queries take %v", left, time.Duration(l.typical))
		}
		if float64(l.inFlight) >= l.room()*share(class) {
			l.full = true
			return nil, l.refuse("%d queries in progress", l.inFlight)
		}
	}
	if l.opened.IsZero() {
		l.opened = now
	}
	l.inFlight++
	return &Permit{limiter: l, started: now, left: left}, nil
}

// room is the bound in force.
func (l *Limiter) room() float64 {
	if l.probing {
		return max(l.bound*probeShare, 1)
	}
	return l.bound
}

func (l *Limiter) refuse(format string, args ...any) *verdict.Error {
	// Callers who come back after the same time whatever their number keep the instance busy with refusals.
	l.refused++
	after := min(time.Duration(float64(max(time.Duration(l.typical), leastRetryAfter))*(1+l.pressure)), mostRetryAfter)
	return verdict.New(verdict.NotRun, verdict.Overloaded, format, args...).WithRetryAfter(after)
}

// overfull is the refusal for a bound that this limiter does not know.
func (l *Limiter) overfull() *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuse("too many queries of this class in progress")
}

// Done ends the query. Calls after the first do nothing.
func (p *Permit) Done(outcome Outcome) {
	p.once.Do(func() {
		p.limiter.end(p.started, time.Now(), p.left, outcome)
		if p.group != nil {
			p.group.leave()
		}
	})
}

func (l *Limiter) end(started, now time.Time, left time.Duration, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if outcome == Failed {
		return
	}
	took := float64(now.Sub(started))
	if l.typical == 0 {
		l.typical = took
	}
	l.typical += (took - l.typical) / 16
	if l.probing && !l.drained(started, now) {
		return
	}
	if outcome == Overloaded {
		l.overload++
	}
	l.total += took
	l.allowed += float64(left)
	l.ended++
	switch {
	case l.probing && l.ended >= min(window, max(leastProbe, int(l.bound))):
		if l.overload == 0 {
			l.baseline = l.total / float64(l.ended)
		}
		l.probing, l.probed = false, now
		l.reset(now)
	case !l.probing && l.ended >= max(window, int(l.bound)/2):
		l.adapt(now)
		l.reset(now)
	}
}

// drained tells whether a query that ended was started after those of the larger bound had ended.
func (l *Limiter) drained(started, now time.Time) bool {
	if l.probeFrom.IsZero() {
		if float64(l.inFlight) <= l.room() {
			l.probeFrom = now
		}
		return false
	}
	return !started.Before(l.probeFrom)
}

// adapt changes the bound by the ratio of the tolerated to the observed latency, plus a square-root
// allowance that lets it grow while latency stays near the unloaded one.
func (l *Limiter) adapt(now time.Time) {
	observed := l.total / float64(l.ended)
	switch {
	case l.overload > 0:
		// Latency under overload says nothing about the unloaded one.
	case l.baseline == 0:
		l.baseline = observed
	case observed < l.baseline:
		// A part of the way, because the least of many noisy means is far below the true one.
		l.baseline += (observed - l.baseline) / 4
	case !l.full:
		l.baseline += (observed - l.baseline) / 8
	}
	if l.overload > 0 {
		share := float64(l.overload) / float64(l.ended)
		l.bound = min(l.bound*min(backoff, 1-halfAll*share), l.answerable(now))
	} else {
		gradient := min(1, max(0.5, tolerance*l.baseline/max(observed, 1)))
		next := l.bound*gradient + math.Sqrt(l.bound)
		// A bound that was not reached is no evidence that a larger one is safe.
		if next < l.bound || l.full {
			l.bound += (next - l.bound) / 4
		}
	}
	l.bound = min(max(l.bound, float64(l.limits.Min)), float64(l.limits.Max))
	if l.probed.IsZero() {
		l.probed = now
	}
	if l.full && now.Sub(l.probed) >= probeInterval {
		l.probing, l.probeFrom = true, time.Time{}
	}
}

// answerable is the number of queries that end within a part of the time given to them, by the rate of the window.
func (l *Limiter) answerable(now time.Time) float64 {
	span := now.Sub(l.opened)
	if l.opened.IsZero() || span <= 0 {
		return math.MaxFloat64
	}
	given := l.allowed / float64(l.ended)
	return float64(l.ended) / float64(span) * given * answeredShare
}

func (l *Limiter) reset(now time.Time) {
	l.opened, l.allowed = now, 0
	l.pressure += (float64(l.refused)/float64(max(l.ended, 1)) - l.pressure) / 2
	l.refused = 0
	l.total, l.ended, l.overload, l.full = 0, 0, 0, false
}

// State is what the limiter shows to operators.
type State struct {
	Bound    int
	InFlight int
	Typical  time.Duration
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Bound: int(l.bound), InFlight: l.inFlight, Typical: time.Duration(l.typical)}
}
