package customer

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// marginDivisor divides the bound; the quotient is the margin before it, for clocks that run at slightly different
	// speeds.
	marginDivisor = 20
	// readyNumerator and readyDenominator give the share of the bound up to which an instance is ready. The load balancer
	// takes about two seconds to move callers, so it is told before their keys are refused. A slow store alone does not
	// make the knowledge so old.
	readyNumerator, readyDenominator = 7, 10
	// minRetryAfter is the shortest Retry-After: a round trip to the store and the answer's way through this instance.
	minRetryAfter = 50 * time.Millisecond
)

// Freshness decides how old an instance's knowledge of the configuration may be while it accepts keys. A key that was
// taken away must be refused everywhere within a bound, also at an instance that has not heard of it. The zero value has
// no bound.
type Freshness struct{ bound time.Duration }

// NewFreshness returns a Freshness with the bound on the time between the confirmation of a configuration and the last
// request that is accepted by an earlier one; 0 means no bound.
func NewFreshness(bound time.Duration) Freshness { return Freshness{bound} }

// Bounded reports whether there is a bound.
func (f Freshness) Bounded() bool { return f.bound > 0 }

// Limit returns the largest age of the knowledge at which keys are accepted.
func (f Freshness) Limit() time.Duration { return f.bound - f.bound/marginDivisor }

// Accepts reports whether keys are accepted with knowledge of the age.
func (f Freshness) Accepts(age time.Duration) bool { return !f.Bounded() || age <= f.Limit() }

// Ready reports whether the instance should get new callers. If the knowledge of other instances is as old, callers are
// no better off there.
func (f Freshness) Ready(age time.Duration, shared bool) bool {
	return !f.Bounded() || age <= f.bound*readyNumerator/readyDenominator || shared
}

// NeverKnown is the age of the knowledge of an instance that knows nothing, or cannot tell how old its knowledge is.
const NeverKnown = time.Duration(1<<63 - 1)

// Knowledge says up to which moment an instance knows the configuration.
type Knowledge interface {
	// KnownAsOf returns a time of the clock at which the configuration in force here was the newest one that was
	// confirmed; false if there is none. The configuration that belongs to the time is in force before the time is
	// returned.
	KnownAsOf() (time.Duration, bool)
	// NextAttempt returns the time of the clock of the next attempt to learn more.
	NextAttempt() time.Duration
	// Refresh makes the next attempt at once where that is of use. It does not block.
	Refresh()
	// Shared reports whether other instances were found to know nothing newer either.
	Shared() bool
}

// Gate refuses keys while the knowledge of the configuration is too old. It is safe for concurrent use.
type Gate struct {
	freshness Freshness
	clock     func() time.Duration
	knowledge Knowledge
	closed    atomic.Bool
}

// NewGate returns a gate that reads the clock, which must count the time in which the machine is suspended.
func NewGate(freshness Freshness, clock func() time.Duration, knowledge Knowledge) *Gate {
	return &Gate{freshness: freshness, clock: clock, knowledge: knowledge}
}

// Pass is what a request takes along from before the configuration was looked up.
type Pass struct {
	gate  *Gate
	asOf  time.Duration
	known bool
}

// Enter must be called before the configuration is looked up: knowledge that arrives between the two says nothing of the
// configuration that was found. A nil gate has no bound.
func (g *Gate) Enter() Pass {
	if g == nil || !g.freshness.Bounded() {
		return Pass{}
	}
	asOf, known := g.knowledge.KnownAsOf()
	return Pass{g, asOf, known}
}

// Check refuses a request that has been read by now if its key may have been taken away before the bound.
func (p Pass) Check() *verdict.Error {
	if p.gate == nil {
		return nil
	}
	return p.gate.check(p.age())
}

func (p Pass) age() time.Duration {
	if !p.known {
		return NeverKnown
	}
	return p.gate.clock() - p.asOf
}

func (g *Gate) check(age time.Duration) *verdict.Error {
	accepts := g.freshness.Accepts(age)
	if g.closed.Swap(!accepts) == accepts {
		if accepts {
			klog.InfoS("Keys accepted again", "age", describe(age))
		} else {
			klog.InfoS("Keys refused, the configuration may be out of date", "age", describe(age), "limit", g.freshness.Limit())
		}
	}
	if accepts {
		return nil
	}
	g.knowledge.Refresh()
	retryAfter := max(g.knowledge.NextAttempt()-g.clock(), 0) + minRetryAfter
	return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the configuration was last known to be current %s ago, at most %s are allowed", describe(age), g.freshness.Limit()).WithRetryAfter(retryAfter)
}

func describe(age time.Duration) string {
	if age == NeverKnown {
		return "an unknown time"
	}
	return age.Round(time.Millisecond).String()
}

// Age returns the age of the knowledge; NeverKnown if it is not known.
func (g *Gate) Age() time.Duration {
	asOf, known := g.knowledge.KnownAsOf()
	return Pass{g, asOf, known}.age()
}

// Ready reports whether the instance should get new callers. An instance that has been suspended finds out here too.
func (g *Gate) Ready() bool {
	if g == nil || !g.freshness.Bounded() {
		return true
	}
	age := g.Age()
	if !g.freshness.Accepts(age) {
		g.knowledge.Refresh()
	}
	return g.freshness.Ready(age, g.knowledge.Shared())
}
