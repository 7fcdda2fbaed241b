package query

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// leavingTTL is how long a backend server's own report that it is leaving outweighs a fleet view that still has it
	// as live. The lag of the fleet view is far shorter.
	leavingTTL = 5 * time.Minute
	// minBackoff and maxBackoff bound the time for which a replica is penalised after consecutive failures.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
	// latencyHalfLife is the time without a sample in which a replica's latency decays halfway to that of its service,
	// so that a replica that was slow once is tried again. Trying a replica that is still slow costs one hedge. A
	// longer time is worse, because a replica that gets no parts earns no hedge budget for the time when the other one
	// is slow: with 5 s, the 99th percentile at a fan-out of 170, with slow replicas that change over time, was 1.9
	// times that with 2 s.
	latencyHalfLife = 2 * time.Second
	// coldPenaltyHalfLife is the time in which the penalty of a cold replica halves. Without the decay, a cold replica
	// would never get the requests that its warm-up ramp needs while another replica is warm. With it, a cold replica
	// gets about three requests per second from each coordinator.
	coldPenaltyHalfLife = 50 * time.Millisecond
	// scoreMarginDivisor sets the margin by which a replica has to be better than the other candidate: one fourth of
	// its score.
	scoreMarginDivisor = 4
	// Penalties on the score of a replica, as times. A crossing between availability zones takes 1 ms each way.
	crossZonePenalty      = 2 * time.Millisecond
	unknownVersionPenalty = 5 * time.Millisecond
	coldPenalty           = 250 * time.Millisecond
	backoffPenalty        = time.Second
)

// replicaState holds what the coordinator has observed of one replica. It serves only to choose between replicas; exact
// counts exist only at the owner. It is safe for concurrent use.
type replicaState struct {
	holding      *snapshot.Holding
	latency      atomic.Int64 // exponentially smoothed, in nanoseconds; 0 if unknown
	lastSample   atomic.Int64 // time of the last latency sample, in Unix nanoseconds
	queueWait    atomic.Int64 // the owner's last estimate, in nanoseconds
	inFlight     atomic.Int64 // attempts of this coordinator
	failures     atomic.Int64 // consecutive failures
	backoffUntil atomic.Int64 // Unix nanoseconds
	leavingUntil atomic.Int64 // Unix nanoseconds; 0 without a report that the server is leaving
	coldSince    atomic.Int64 // time of the last report that it is cold, in Unix nanoseconds; 0 if warm
}

// recordResult records a result that matches an attempt sent at the given time.
func (s *replicaState) recordResult(result *Result, sent, now time.Time) {
	s.holding.Observe(result.HeldVersions, sent)
	if result.Leaving {
		s.leavingUntil.Store(now.Add(leavingTTL).UnixNano())
	}
	if result.Err != nil && failedBeforeServer(result.Err) {
		// The owner did not process the part, so the replica is not at fault. It is penalised briefly while its owner
		// changes.
		s.backoffUntil.Store(now.Add(minBackoff).UnixNano())
		return
	}
	s.queueWait.Store(int64(result.QueueWait))
	if result.Warm {
		s.coldSince.Store(0)
	} else {
		s.coldSince.Store(now.UnixNano())
	}
	if result.Err == nil {
		s.failures.Store(0)
		s.backoffUntil.Store(0)
		s.addLatency(now.Sub(sent), now)
		return
	}
	switch result.Err.Reason {
	case verdict.Cancelled, verdict.HedgeRefused, verdict.Cold:
	case verdict.VersionNotHeld:
		s.holding.Withdraw(result.Version, sent)
	default:
		failures := min(s.failures.Add(1), 6)
		s.backoffUntil.Store(now.Add(min(minBackoff<<(failures-1), maxBackoff)).UnixNano())
	}
}

// addLatency adds a latency sample.
func (s *replicaState) addLatency(latency time.Duration, now time.Time) {
	smoothed := s.latency.Load()
	if smoothed == 0 {
		smoothed = int64(latency)
	}
	s.latency.Store(smoothed + (int64(latency)-smoothed)/4)
	s.lastSample.Store(now.UnixNano())
}

// addMinLatency records that an attempt had run for elapsed without a result when it was abandoned or found to be slow.
// Without it, a slow replica whose attempts are always beaten by hedges would never be recognised as slow. The actual
// latency is longer, but it is not known by how much: twice the elapsed time is stored, unless the stored latency is
// already at least four times the elapsed time. This keeps a slow replica unused for several half-lives.
func (s *replicaState) addMinLatency(elapsed time.Duration, now time.Time) {
	if 4*int64(elapsed) > s.latency.Load() {
		s.latency.Store(2 * int64(elapsed))
		s.lastSample.Store(now.UnixNano())
	}
}

// score returns the expected time of a new part at the replica, in nanoseconds, plus penalties. Lower is better.
func (s *replicaState) score(serviceLatency int64, local bool, now time.Time) int64 {
	latency := serviceLatency
	wait := int64(0)
	if smoothed := s.latency.Load(); smoothed != 0 {
		age := max(now.UnixNano()-s.lastSample.Load(), 0)
		latency += (smoothed - serviceLatency) >> min(age/int64(latencyHalfLife), 40)
		wait = max(s.queueWait.Load()-age, 0)
	} else if !local {
		// A measured latency already includes the time between availability zones.
		latency += int64(crossZonePenalty)
	}
	total := latency*(1+s.inFlight.Load()) + wait
	if since := s.coldSince.Load(); since != 0 {
		total += int64(coldPenalty) >> min(max(now.UnixNano()-since, 0)/int64(coldPenaltyHalfLife), 40)
	}
	if s.backoffUntil.Load() > now.UnixNano() {
		total += int64(backoffPenalty)
	}
	return total
}

func (s *replicaState) leaving(now time.Time) bool { return s.leavingUntil.Load() > now.UnixNano() }

const (
	// unknownHedgeDivisor applies while the latency of a service is unknown: a part is then hedged after its remaining
	// time divided by this.
	unknownHedgeDivisor = 4
	// hedgeFactor is the multiple of the 95th percentile after which a part is hedged. Hedging at the percentile itself
	// spends the whole budget of 5% on parts that are about to end and leaves nothing for slow replicas.
	hedgeFactor = 2
	// minHedgeDelay avoids hedges for services that answer in less time than a crossing between availability zones
	// takes.
	minHedgeDelay = time.Millisecond
	// minSamples is the number of samples from which on the percentile is used.
	minSamples = 20
	// quantileStep is the relative step of the percentile estimator. The estimate rises by 0.95 of the step for a
	// sample above it and falls by 0.05 of the step otherwise, which balances where 5% of the samples are above the
	// estimate.
	quantileStep = 0.1
	// Budgets are counted in thousandths of an attempt. Each first attempt adds 10% of a retry and 5% of a hedge. A
	// small burst lets services with few queries use their budgets at all.
	retryDeposit = 100
	hedgeDeposit = 50
	budgetBurst  = 10_000
)

// serviceStats holds what the coordinator has observed of one service. It is safe for concurrent use.
type serviceStats struct {
	p95             atomic.Int64 // estimated 95th percentile of the latency, in nanoseconds
	smoothedLatency atomic.Int64 // exponentially smoothed, in nanoseconds
	samples         atomic.Int64
	retryBudget     budget
	hedgeBudget     budget
}

func newServiceStats() *serviceStats {
	s := &serviceStats{}
	s.retryBudget.balance.Store(budgetBurst)
	s.hedgeBudget.balance.Store(budgetBurst)
	return s
}

// observe adds the latency of an attempt. An update that is lost to a concurrent one only delays the estimate.
func (s *serviceStats) observe(latency time.Duration) {
	estimate := s.p95.Load()
	switch {
	case s.samples.Add(1) == 1 || estimate <= 0:
		s.p95.Store(2 * int64(latency))
		s.smoothedLatency.Store(int64(latency))
		return
	case int64(latency) > estimate:
		s.p95.Store(int64(math.Ceil(float64(estimate) * (1 + quantileStep*0.95))))
	default:
		s.p95.Store(int64(float64(estimate) * (1 - quantileStep*0.05)))
	}
	smoothed := s.smoothedLatency.Load()
	s.smoothedLatency.Store(smoothed + (int64(latency)-smoothed)/32)
}

// hedgeDelay returns how long a part runs before it is hedged. Until the service has enough samples for a percentile of
// its own, the pooled percentile of all such services is used.
func (s *serviceStats) hedgeDelay(pooled *serviceStats, remaining time.Duration) time.Duration {
	if s.samples.Load() < minSamples {
		if s = pooled; s.samples.Load() < minSamples {
			return remaining / unknownHedgeDivisor
		}
	}
	return max(hedgeFactor*time.Duration(s.p95.Load()), minHedgeDelay)
}

// budget is a token bucket that is filled by first attempts. A retry or a hedge costs 1000 tokens. It is safe for
// concurrent use.
type budget struct {
	balance atomic.Int64
}

// deposit adds tokens unless the bucket is full.
func (b *budget) deposit(amount int64) {
	if b.balance.Load() < budgetBurst {
		b.balance.Add(amount)
	}
}

// tryWithdraw takes the tokens of one attempt and reports whether there were enough.
func (b *budget) tryWithdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < 1000 {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-1000) {
			return true
		}
	}
}

// failedBeforeServer reports whether a part failed between entry instances, so that it put no load on the backend
// server.
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
