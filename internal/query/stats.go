package query

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// leavingMemory is how long a server's own word that it leaves outweighs a list that still has it
	// as live; the list lags by far less.
	leavingMemory = 5 * time.Minute
	// avoidFirst and avoidLongest bound how long a replica is passed over after failures in a row.
	avoidFirst   = 100 * time.Millisecond
	avoidLongest = 3200 * time.Millisecond
	// forgetting is the half-life of what is known about a replica's latency without a sample, so that a
	// replica that was slow once is tried again. A trial of a straggler costs one hedge. A replica that is
	// passed over earns no hedges for the time when the other one is slow: with 5 s the p99 at a fan-out of
	// 170 under stragglers that move was 1.9 times that with 2 s.
	forgetting = 2 * time.Second
	// coldForgetting halves the penalty of a replica that is not warm. Without it a replica would never
	// get the requests that its ramp needs while another is warm; with it one gets about three a second
	// from each coordinator.
	coldForgetting = 50 * time.Millisecond
	// similarShare is the part of a score, one fourth, by which a replica has to be better.
	similarShare = 4
	// Penalties of the choice between replicas, in time. Crossing zones costs 1 ms each way.
	otherZonePenalty = 2 * time.Millisecond
	unknownPenalty   = 5 * time.Millisecond
	notWarmPenalty   = 250 * time.Millisecond
	avoidPenalty     = time.Second
)

// replicaState is what the coordinator remembers of one replica. The values are hints for the choice
// between replicas; the owner alone has exact counts. It is safe for concurrent use.
type replicaState struct {
	holding      *snapshot.Holding
	latency      atomic.Int64 // smoothed, nanoseconds; 0 while unknown
	sampled      atomic.Int64 // time of the last sample, Unix nanoseconds
	wait         atomic.Int64 // the owner's estimate at the time of the last sample
	inFlight     atomic.Int64
	failures     atomic.Int64
	avoidUntil   atomic.Int64
	leavingUntil atomic.Int64
	coldSince    atomic.Int64 // time at which the owner last said so, Unix nanoseconds; 0 if warm
}

// account takes a result that matched an attempt sent at the given time.
func (s *replicaState) account(result *Result, sent, now time.Time) {
	s.holding.Observe(result.Held, sent)
	if result.Leaving {
		s.leavingUntil.Store(now.Add(leavingMemory).UnixNano())
	}
	if result.Err != nil && failedBeforeServer(result.Err) {
		// The owner did not speak. The replica is not at fault; it is avoided briefly while the owner
		// changes.
		s.avoidUntil.Store(now.Add(avoidFirst).UnixNano())
		return
	}
	s.wait.Store(int64(result.Wait))
	if result.Warm {
		s.coldSince.Store(0)
	} else {
		s.coldSince.Store(now.UnixNano())
	}
	if result.Err == nil {
		s.failures.Store(0)
		s.avoidUntil.Store(0)
		s.learn(now.Sub(sent), now)
		return
	}
	switch result.Err.Reason {
	case verdict.Cancelled, verdict.HedgeRefused, verdict.Cold:
	case verdict.VersionNotHeld:
		s.holding.Withdraw(result.Version, sent)
	default:
		count := min(s.failures.Add(1), 6)
		s.avoidUntil.Store(now.Add(min(avoidFirst<<(count-1), avoidLongest)).UnixNano())
	}
}

// learn adds a latency sample.
func (s *replicaState) learn(took time.Duration, now time.Time) {
	known := s.latency.Load()
	if known == 0 {
		known = int64(took)
	}
	s.latency.Store(known + (int64(took)-known)/4)
	s.sampled.Store(now.UnixNano())
}

// learnAtLeast adds the time after which an attempt was given up. Without it a slow replica whose
// attempts always lose to hedges would never be known as slow. The part would have taken longer, how
// much is not known; four times the time is assumed, which keeps a straggler unused for several half-lives.
func (s *replicaState) learnAtLeast(took time.Duration, now time.Time) {
	if 4*int64(took) > s.latency.Load() {
		s.latency.Store(2 * int64(took))
		s.sampled.Store(now.UnixNano())
	}
}

// score is the expected time of a new part at the replica; less is better.
func (s *replicaState) score(typical int64, local bool, now time.Time) int64 {
	latency := typical
	wait := int64(0)
	if known := s.latency.Load(); known != 0 {
		age := max(now.UnixNano()-s.sampled.Load(), 0)
		latency += (known - typical) >> min(age/int64(forgetting), 40)
		wait = max(s.wait.Load()-age, 0)
	} else if !local {
		// A known latency has the time between zones in it.
		latency += int64(otherZonePenalty)
	}
	total := latency*(1+s.inFlight.Load()) + wait
	if since := s.coldSince.Load(); since != 0 {
		total += int64(notWarmPenalty) >> min(max(now.UnixNano()-since, 0)/int64(coldForgetting), 40)
	}
	if s.avoidUntil.Load() > now.UnixNano() {
		total += int64(avoidPenalty)
	}
	return total
}

func (s *replicaState) leaving(now time.Time) bool { return s.leavingUntil.Load() > now.UnixNano() }

const (
	// unknownHedgeShare is the share of the time left after which a part is hedged while the service's
	// latency is unknown.
	unknownHedgeShare = 4
	// hedgeFactor is how many times the 95th percentile a part runs before it is hedged. Hedging at the
	// percentile itself uses up the whole budget of 5% for parts that are about to end, and nothing is left
	// for stragglers.
	hedgeFactor = 2
	// leastHedgeDelay spares hedges of parts whose service answers faster than zones are apart.
	leastHedgeDelay = time.Millisecond
	// leastSamples is the number of samples from which the percentile is used.
	leastSamples = 20
	// quantileStep is the relative step of the percentile estimator. It moves up by 0.95 and down by
	// 0.05 of the step, which balance where 5% of the samples are above.
	quantileStep = 0.1
	// Budgets in thousandths of an attempt: 10% retries and 5% hedges of first attempts, each
	// with a small burst so that a service with few queries can use them at all.
	retryEarn   = 100
	hedgeEarn   = 50
	budgetBurst = 10_000
)

// serviceStats is what the coordinator observes of one service. It is safe for concurrent use.
type serviceStats struct {
	percentile atomic.Int64 // estimate of the 95th percentile, nanoseconds
	typical    atomic.Int64 // smoothed latency, nanoseconds
	samples    atomic.Int64
	retries    budget
	hedges     budget
}

func newServiceStats() *serviceStats {
	s := &serviceStats{}
	s.retries.left.Store(budgetBurst)
	s.hedges.left.Store(budgetBurst)
	return s
}

// observe adds the latency of an attempt. A lost update under contention only delays the estimate.
func (s *serviceStats) observe(took time.Duration) {
	estimate := s.percentile.Load()
	switch {
	case s.samples.Add(1) == 1 || estimate <= 0:
		s.percentile.Store(2 * int64(took))
		s.typical.Store(int64(took))
		return
	case int64(took) > estimate:
		s.percentile.Store(int64(math.Ceil(float64(estimate) * (1 + quantileStep*0.95))))
	default:
		s.percentile.Store(int64(float64(estimate) * (1 - quantileStep*0.05)))
	}
	known := s.typical.Load()
	s.typical.Store(known + (int64(took)-known)/32)
}

// hedgeDelay is how long a part runs before it is hedged. While the service is too new for a
// percentile of its own, that of all new services counts.
func (s *serviceStats) hedgeDelay(overall *serviceStats, left time.Duration) time.Duration {
	if s.samples.Load() < leastSamples {
		if s = overall; s.samples.Load() < leastSamples {
			return left / unknownHedgeShare
		}
	}
	return max(hedgeFactor*time.Duration(s.percentile.Load()), leastHedgeDelay)
}

// budget is a token bucket that first attempts fill.
type budget struct {
	left atomic.Int64
}

func (b *budget) earn(amount int64) {
	if b.left.Load() < budgetBurst {
		b.left.Add(amount)
	}
}

func (b *budget) take() bool {
	for {
		left := b.left.Load()
		if left < 1000 {
			return false
		}
		if b.left.CompareAndSwap(left, left-1000) {
			return true
		}
	}
}

// failedBeforeServer tells whether a part failed between entry instances, so that the backend server
// saw no load from it.
func failedBeforeServer(err *verdict.Error) bool {
	if err.Verdict != verdict.NotRun {
		return false
	}
	switch err.Reason {
	case verdict.NotOwner, verdict.Fenced, verdict.PeerUnreachable:
		return true
	default:
		return false
	}
}
