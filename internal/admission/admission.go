// Package admission decides whether an entry instance starts a query or refuses it. The decision depends on the query's
// class, on the remaining time until its deadline and on a concurrency limit that adapts to the observed latency.
//
// Each Limiter guards its state with one mutex, and a decision takes a few comparisons. The package has no queue: a
// query that cannot start now is refused at once, with the time after which the caller may retry.
package admission

import (
	"math"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Limits is the range and the initial value of a Limiter's concurrency limit, the number of queries in progress.
type Limits struct {
	Min, Initial, Max int
}

// DefaultLimits returns the limits that suit an entry instance of the current deployments.
func DefaultLimits() Limits { return Limits{Min: 2, Initial: 64, Max: 4096} }

const (
	// latencyTolerance is the ratio of the observed to the unloaded latency up to which the limit may grow.
	latencyTolerance = 2.0
	// minWindowQueries is the minimum number of finished queries between two changes of the limit.
	minWindowQueries = 32
	// minProbeQueries is the minimum number of queries from which a probe computes the unloaded latency. It is smaller
	// than minWindowQueries because at a limit of a few queries they run nearly one after the other, and a probe of a
	// whole window took 2 to 3 s of every 10 s.
	minProbeQueries = 8
	// overloadDeadlineShare is the share of the time until the deadline that queries may take, waiting included, after
	// a window with overload. The limit is then at most the number of queries that finish in that time (Little's law),
	// however large it was before.
	overloadDeadlineShare = 0.75
	// overloadBackoff is the factor applied to the limit after a window with an overloaded query. If the factor
	// 1-maxOverloadDecrease*s is smaller, where s is the overloaded share of the window's queries, it applies instead.
	// With the factor 0.9 alone, a limit of 64 took 24 windows to reach the capacity of a few server slots, and all
	// answers were late meanwhile.
	overloadBackoff     = 0.9
	maxOverloadDecrease = 0.5
	// probeInterval is the time between two probes of the unloaded latency under lasting load. probeLimitShare is the
	// share of the limit that is in force during a probe. The tolerated latency is twice the unloaded one, so at a
	// quarter of the limit no queue builds up.
	probeInterval   = 10 * time.Second
	probeLimitShare = 0.25
	// minRetryAfter keeps callers from retrying in a tight loop when queries are very short.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the retry-after time, which grows with the number of refusals per finished query.
	maxRetryAfter = 5 * time.Second
)

// classShare returns the share of the limit up to which queries of the class are admitted. Batch queries leave room for
// settlement queries, and both leave room for interactive ones.
func classShare(class catalogue.Class) float64 {
	switch class {
	case catalogue.Interactive:
		return 1
	case catalogue.Settlement:
		return 0.9
	default:
		return 0.5
	}
}

// Outcome is how an admitted query ended, as far as it matters to the limit.
type Outcome int

const (
	// Completed means that the query was answered.
	Completed Outcome = iota
	// Overloaded means that backend servers refused parts of the query as overloaded, or that the deadline passed.
	Overloaded
	// Failed means that the query failed for a reason unrelated to load; it does not change the limit.
	Failed
)

// OutcomeOf returns the outcome of an admitted query. coverage is nil if the query was not sent to servers, and refusal
// is nil if it was answered. The coverage counts as well as the refusal's reason, because a partial answer and a
// refusal for coverage below the floor can both be caused by overload.
func OutcomeOf(coverage *api.Coverage, refusal *api.Refusal) Outcome {
	if refusal != nil && isOverload(refusal.Reason) {
		return Overloaded
	}
	if coverage != nil {
		for _, missing := range coverage.Missing {
			if isOverload(missing.Reason) {
				return Overloaded
			}
		}
	}
	if refusal != nil {
		return Failed
	}
	return Completed
}

// isOverload reports whether the reason means overload of backend servers or a missed deadline.
func isOverload(reason verdict.Reason) bool {
	switch reason {
	case verdict.Overloaded, verdict.Shedding, verdict.DeadlinePassed:
		return true
	default:
		return false
	}
}

// Limiter admits queries up to a concurrency limit that it adapts to the observed latency. It measures in windows
// of finished queries. It is safe for concurrent use.
type Limiter struct {
	mu               sync.Mutex
	limitRange       Limits
	limit            float64 // limit outside of probes
	inFlight         int
	unloadedLatency  float64 // estimate in nanoseconds, 0 while unknown
	smoothedLatency  float64 // exponentially smoothed latency in nanoseconds
	latencySum       float64 // sum of the latencies in the window, in nanoseconds
	remainingSum     float64 // sum over the window of the remaining time at admission, in nanoseconds
	windowStart      time.Time
	windowQueries    int // finished queries in the window
	windowOverloaded int // overloaded queries in the window
	windowRefused    int // refusals in the window
	// refusalsPerQuery is the smoothed number of refusals per finished query.
	refusalsPerQuery float64
	// saturated is set when the window had a refusal because of the limit or of the smoothed latency.
	saturated bool
	// probing is set while the unloaded latency is measured at a reduced limit. probeStart is when the queries in
	// progress had come down to that limit; it is zero before. Only queries admitted after it count.
	probing    bool
	probeStart time.Time
	lastProbe  time.Time // end of the last probe, or the first change of the limit
}

// New returns a Limiter. Limits that contradict each other are corrected: Min is at least 1, Max at least Min, and
// Initial is clamped to that range.
func New(limits Limits) *Limiter {
	limits.Min = max(limits.Min, 1)
	limits.Max = max(limits.Max, limits.Min)
	return &Limiter{
		limitRange: limits,
		limit:      float64(min(max(limits.Initial, limits.Min), limits.Max)),
	}
}

// Permit is the permission to run one query. Its holder calls Done when the query has ended.
type Permit struct {
	limiter   *Limiter
	group     *Group
	started   time.Time
	remaining time.Duration // until the deadline, at admission
	once      sync.Once
}

// Admit admits a query or refuses it at once. A refusal always has the verdict NotRun.
func (l *Limiter) Admit(class catalogue.Class, deadline time.Time) (*Permit, *verdict.Error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the deadline has passed")
	}
	// A query is always admitted when no other is in progress, so that a latency estimate that is too high gets
	// corrected.
	if l.inFlight > 0 {
		if float64(remaining) < l.unloadedLatency {
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineTooShort,
				"%v left until the deadline, an unloaded query takes %v", remaining, time.Duration(l.unloadedLatency))
		}
		if float64(remaining) < l.smoothedLatency {
			l.saturated = true
			return nil, l.refuse("%v left until the deadline, queries take %v under the present load", remaining, time.Duration(l.smoothedLatency))
		}
		if float64(l.inFlight) >= l.effectiveLimit()*classShare(class) {
			l.saturated = true
			return nil, l.refuse("%d queries in progress, no more are admitted for this class", l.inFlight)
		}
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.inFlight++
	return &Permit{limiter: l, started: now, remaining: remaining}, nil
}

// effectiveLimit returns the limit in force, which is reduced during a probe.
func (l *Limiter) effectiveLimit() float64 {
	if l.probing {
		return max(l.limit*probeLimitShare, 1)
	}
	return l.limit
}

// refuse counts a refusal and returns it. The caller holds the lock.
func (l *Limiter) refuse(format string, args ...any) *verdict.Error {
	// The retry-after time grows with the number of refusals. With a fixed time, many callers that retry would keep the
	// instance busy with refusals.
	l.windowRefused++
	after := min(time.Duration(float64(max(time.Duration(l.smoothedLatency), minRetryAfter))*(1+l.refusalsPerQuery)), maxRetryAfter)
	return verdict.New(verdict.NotRun, verdict.Overloaded, format, args...).WithRetryAfter(after)
}

// refuseGroupFull returns the refusal for the limit on all applications, which the Group checks.
func (l *Limiter) refuseGroupFull() *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuse("too many queries in progress on this instance to admit one of this class")
}

// Done records the end of the query and its outcome. Calls after the first do nothing.
func (p *Permit) Done(outcome Outcome) {
	p.once.Do(func() {
		p.limiter.release(p.started, time.Now(), p.remaining, outcome)
		if p.group != nil {
			p.group.release()
		}
	})
}

// release takes a finished query into account and, at the end of a window or a probe, updates the estimates.
func (l *Limiter) release(started, now time.Time, remaining time.Duration, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if outcome == Failed {
		return
	}
	latency := float64(now.Sub(started))
	if l.smoothedLatency == 0 {
		l.smoothedLatency = latency
	}
	l.smoothedLatency += (latency - l.smoothedLatency) / 16
	if l.probing && !l.startedAfterDrain(started, now) {
		return
	}
	if outcome == Overloaded {
		l.windowOverloaded++
	}
	l.latencySum += latency
	l.remainingSum += float64(remaining)
	l.windowQueries++
	switch {
	case l.probing && l.windowQueries >= min(minWindowQueries, max(minProbeQueries, int(l.limit))):
		if l.windowOverloaded == 0 {
			l.unloadedLatency = l.latencySum / float64(l.windowQueries)
		}
		l.probing, l.lastProbe = false, now
		l.resetWindow(now)
	case !l.probing && l.windowQueries >= max(minWindowQueries, int(l.limit)/2):
		l.adaptLimit(now)
		l.resetWindow(now)
	}
}

// startedAfterDrain reports whether a finished query counts for the probe, that is, whether it started after the
// queries in progress had come down to the reduced limit. It sets probeStart when they have.
func (l *Limiter) startedAfterDrain(started, now time.Time) bool {
	if l.probeStart.IsZero() {
		if float64(l.inFlight) <= l.effectiveLimit() {
			l.probeStart = now
		}
		return false
	}
	return !started.Before(l.probeStart)
}

// adaptLimit updates the unloaded latency and the limit at the end of a window. Without overload it multiplies the
// limit by the ratio of the tolerated to the observed latency and adds its square root, which lets the limit grow while
// the latency stays near the unloaded one. After overload it reduces the limit.
func (l *Limiter) adaptLimit(now time.Time) {
	observed := l.latencySum / float64(l.windowQueries)
	switch {
	case l.windowOverloaded > 0:
		// The latency under overload says nothing about the unloaded latency.
	case l.unloadedLatency == 0:
		l.unloadedLatency = observed
	case observed < l.unloadedLatency:
		// Smoothed, because the minimum of many noisy means is far below the true mean.
		l.unloadedLatency += (observed - l.unloadedLatency) / 4
	case !l.saturated:
		l.unloadedLatency += (observed - l.unloadedLatency) / 8
	}
	if l.windowOverloaded > 0 {
		overloadedShare := float64(l.windowOverloaded) / float64(l.windowQueries)
		l.limit = min(l.limit*min(overloadBackoff, 1-maxOverloadDecrease*overloadedShare), l.throughputLimit(now))
	} else {
		gradient := min(1, max(0.5, latencyTolerance*l.unloadedLatency/max(observed, 1)))
		next := l.limit*gradient + math.Sqrt(l.limit)
		// The limit grows only if it was reached: otherwise nothing shows that a larger one is safe.
		if next < l.limit || l.saturated {
			l.limit += (next - l.limit) / 4
		}
	}
	l.limit = min(max(l.limit, float64(l.limitRange.Min)), float64(l.limitRange.Max))
	if l.lastProbe.IsZero() {
		l.lastProbe = now
	}
	if l.saturated && now.Sub(l.lastProbe) >= probeInterval {
		l.probing, l.probeStart = true, time.Time{}
	}
}

// throughputLimit returns the number of queries that finish within overloadDeadlineShare of their mean remaining time,
// at the throughput of the window. It returns the largest float if the window has no duration.
func (l *Limiter) throughputLimit(now time.Time) float64 {
	elapsed := now.Sub(l.windowStart)
	if l.windowStart.IsZero() || elapsed <= 0 {
		return math.MaxFloat64
	}
	meanRemaining := l.remainingSum / float64(l.windowQueries)
	return float64(l.windowQueries) / float64(elapsed) * meanRemaining * overloadDeadlineShare
}

// resetWindow updates refusalsPerQuery and starts a new window.
func (l *Limiter) resetWindow(now time.Time) {
	l.windowStart, l.remainingSum = now, 0
	l.refusalsPerQuery += (float64(l.windowRefused)/float64(max(l.windowQueries, 1)) - l.refusalsPerQuery) / 2
	l.windowRefused = 0
	l.latencySum, l.windowQueries, l.windowOverloaded, l.saturated = 0, 0, 0, false
}

// State is the state of a Limiter or a Group for the status page of operators: the concurrency limit, the queries in
// progress and the smoothed latency.
type State struct {
	Limit           int
	InFlight        int
	SmoothedLatency time.Duration
}

// State returns the current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Limit: int(l.limit), InFlight: l.inFlight, SmoothedLatency: time.Duration(l.smoothedLatency)}
}
