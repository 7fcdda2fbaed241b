package lookup

import (
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

const (
	// initialShardShare and initialSingleShare estimate the mean send time as a share of the route's latency objective,
	// before any send was measured.
	initialShardShare  = 0.15
	initialSingleShare = 0.3
	// meanDivisor is the reciprocal of the weight of one send in the mean send time. The first sends have a higher
	// weight, up to 1/initialMeanDivisor, because the mean starts from a guess: while that is too low, replicas seem to
	// be stalled.
	meanDivisor, initialMeanDivisor = 64, 8
	// maxMeanFactor limits one send to this multiple of the mean, so that stalls of replicas do not shift the mean.
	maxMeanFactor = 3
	// The estimate of the unqueued time moves by initialStep, as a share of itself, with each of the first
	// initialSamples sends, because it starts from a guess. After that it moves by stepPerSecond, so that a few seconds
	// of overload do not shift it, whatever the request rate. The time since the previous send counts up to
	// maxSampleGap.
	initialSamples = 1000
	initialStep    = 0.0005
	stepPerSecond  = 0.02
	maxSampleGap   = 100 * time.Millisecond
	// downFactor is how much faster the estimate falls than it rises; with 4 it settles at the 20th percentile.
	downFactor = 4
	// minUnqueuedTime is the lower bound of the estimate.
	minUnqueuedTime = 100 * time.Microsecond
)

// routeStats holds the measurements of one route over all replicas. It is safe for concurrent use. Concurrent updates
// of the mean may overwrite each other, which is harmless.
type routeStats struct {
	mean    atomic.Int64
	samples atomic.Int64
	// unqueued is the time of a send that finds a free slot.
	unqueued unqueuedEstimate
	// memory is the account of what the requests of the route may hold together; nil if it is not limited.
	memory *memory.Account
	parts  partSizes
	// callerTimeouts tracks the timeouts that callers give their requests.
	callerTimeouts timeoutEstimator
}

func newRouteStats(route *routing.Route, account *memory.Account) *routeStats {
	share := initialSingleShare
	if len(route.Shards) > 0 {
		share = initialShardShare
	}
	s := &routeStats{memory: account}
	s.mean.Store(max(int64(share*float64(route.Objective)), int64(time.Millisecond)))
	s.unqueued.nanoseconds.Store(s.mean.Load())
	return s
}

func (s *routeStats) meanSendTime() time.Duration { return time.Duration(s.mean.Load()) }

func (s *routeStats) observe(now time.Time, elapsed time.Duration) {
	s.unqueued.observe(now, elapsed)
	mean := s.mean.Load()
	measured := min(int64(elapsed), maxMeanFactor*mean)
	divisor := min(initialMeanDivisor+s.samples.Add(1)-1, meanDivisor)
	s.mean.Store(max(mean+(measured-mean)/divisor, int64(time.Millisecond)))
}

// unqueuedEstimate estimates the time of a part that finds a free slot, as the 20th percentile of the measured times.
// It is safe for concurrent use, with the same harmless lost updates as routeStats.
type unqueuedEstimate struct {
	nanoseconds atomic.Int64
	samples     atomic.Int64
	lastSample  atomic.Int64 // Unix nanoseconds of the last observation
}

func (u *unqueuedEstimate) time() time.Duration { return time.Duration(u.nanoseconds.Load()) }

func (u *unqueuedEstimate) observe(now time.Time, elapsed time.Duration) {
	since := time.Duration(now.UnixNano() - u.lastSample.Swap(now.UnixNano()))
	step := initialStep
	if u.samples.Add(1) > initialSamples {
		step = stepPerSecond * min(max(since, 0), maxSampleGap).Seconds()
	}
	current := u.nanoseconds.Load()
	if int64(elapsed) < current {
		step *= -downFactor
	}
	u.nanoseconds.Store(max(current+int64(step*float64(current)), int64(minUnqueuedTime)))
}
