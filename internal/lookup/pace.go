package lookup

import (
	"sync/atomic"
	"time"

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
)

// pace is the usual time of a send on one route, over all replicas. It is safe for concurrent use; a lost update of two
// at once does no harm.
type pace struct {
	mean atomic.Int64
	// alone is the time of a send that finds a free slot.
	alone undisturbed
}

func newPace(route *routing.Route) *pace {
	share := singleShare
	if len(route.Shards) > 0 {
		share = shardShare
	}
	p := &pace{}
	p.mean.Store(max(int64(share*float64(route.Objective)), int64(time.Millisecond)))
	p.alone.nanoseconds.Store(p.mean.Load())
	return p
}

func (p *pace) usual() time.Duration { return time.Duration(p.mean.Load()) }

// slow tells whether something took so long that it waited for a slot.
func (p *pace) slow(elapsed time.Duration) bool {
	return float64(elapsed) > slowFactor*float64(p.alone.time())
}

func (p *pace) observe(elapsed time.Duration) {
	p.alone.observe(elapsed)
	mean := p.mean.Load()
	measured := min(int64(elapsed), paceClip*mean)
	p.mean.Store(max(mean+(measured-mean)/paceGain, int64(time.Millisecond)))
}
