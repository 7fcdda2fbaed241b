package lookup

import (
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

const (
	// shardShare and singleShare estimate the usual time of a send from the route's objective before any was measured.
	shardShare  = 0.15
	singleShare = 0.3
	// paceGain is the weight of one measured send, as a divisor.
	paceGain = 64
	// paceClip bounds what one send counts, so that pauses do not change the usual time.
	paceClip = 3
	// firstObservations is the number of measured sends until which the undisturbed time moves by firstStep with each of
	// them, because it started from a guess. Later it moves by stepPerSecond, so that some seconds of overload do not pass
	// for the usual however many requests there are; a send after a pause counts for longestGap at most.
	firstObservations = 1000
	firstStep         = 0.0005
	stepPerSecond     = 0.02
	longestGap        = 100 * time.Millisecond
	// downFactor makes it fall so many times as fast as it rises: it settles at the 20th percentile.
	downFactor = 4
	// leastAlone bounds it from below.
	leastAlone = 100 * time.Microsecond
)

// pace is the usual time of a send on one route, over all replicas. It is safe for concurrent use; a lost update of two
// at once does no harm.
type pace struct {
	mean atomic.Int64
	// alone is the time of a send that finds a free slot.
	alone undisturbed
	// memory is what the requests of the route may hold together; nil for no account.
	memory *memory.Account
	parts  partSizes
	// given is what callers give their requests.
	given givenTimes
}

func newPace(route *routing.Route, account *memory.Account) *pace {
	share := singleShare
	if len(route.Shards) > 0 {
		share = shardShare
	}
	p := &pace{memory: account}
	p.mean.Store(max(int64(share*float64(route.Objective)), int64(time.Millisecond)))
	p.alone.nanoseconds.Store(p.mean.Load())
	return p
}

func (p *pace) usual() time.Duration { return time.Duration(p.mean.Load()) }

func (p *pace) observe(now time.Time, elapsed time.Duration) {
	p.alone.observe(now, elapsed)
	mean := p.mean.Load()
	measured := min(int64(elapsed), paceClip*mean)
	p.mean.Store(max(mean+(measured-mean)/paceGain, int64(time.Millisecond)))
}

// undisturbed estimates the time of a part that finds a free slot: the 20th percentile of the measured times. It is safe for
// concurrent use like pace.
type undisturbed struct {
	nanoseconds  atomic.Int64
	observations atomic.Int64
	observed     atomic.Int64 // Unix nanoseconds of the last one
}

func (u *undisturbed) time() time.Duration { return time.Duration(u.nanoseconds.Load()) }

func (u *undisturbed) observe(now time.Time, elapsed time.Duration) {
	since := time.Duration(now.UnixNano() - u.observed.Swap(now.UnixNano()))
	step := firstStep
	if u.observations.Add(1) > firstObservations {
		step = stepPerSecond * min(max(since, 0), longestGap).Seconds()
	}
	current := u.nanoseconds.Load()
	if int64(elapsed) < current {
		step *= -downFactor
	}
	u.nanoseconds.Store(max(current+int64(step*float64(current)), int64(leastAlone)))
}
