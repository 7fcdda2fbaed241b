package lookup

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// earlyShare is the part of the shards whose answers show how busy the replicas are as a whole: replicas that are slow,
	// paused or down by themselves are among the others.
	earlyShare = 0.4
	// slowFactor says when these answers are late, in times of the undisturbed time of a part: they take 1.2 times that
	// without any queue and more than 3 times where each part waits for longer than it runs. At 2.2 the gate also refused
	// in the first second after a restart and beside slow replicas, where the load could be served.
	slowFactor = 3.2
	// congestedShare is the share of late requests at which a limit begins; fallAbove and riseBelow are those above and below
	// which it falls and rises once there is one. A limit begins late, because replicas that are slow by themselves make
	// requests late as well, and then holds the replicas where few requests are.
	congestedShare       = 0.5
	fallAbove, riseBelow = 0.3, 0.15
	// slowGain is the weight of one request in the share.
	slowGain = 0.1
	// adaptEvery is the least time between two changes of the limit, about the time in which one shows.
	adaptEvery = 50 * time.Millisecond
	// fall and rise are the steps of the limit.
	fall, rise = 0.9, 1.05
	// shareFactor is the least limit in times of this instance's part of the replicas' slots: less would leave slots idle,
	// and a little more lets the next part wait at the replica where the last one ends.
	shareFactor = 1.5
	// slackFactor lifts the limit altogether once so many times the work in progress would fit.
	slackFactor = 3
	// waitShare is the longest wait for a place, as a part of the objective. Longer waits leave too little time for the
	// parts, and a caller that is refused soon can be served elsewhere in time.
	waitShare = 0.2
	// undisturbedUp and undisturbedDown move the undisturbed time towards the 20th percentile of the measured ones,
	// slowly upwards, so that some seconds of overload do not pass for the usual.
	undisturbedUp, undisturbedDown = 0.0001, 0.0004
	// workGain is the weight of one request in the usual work.
	workGain = 0.05
)

// gate bounds the fan-outs in progress over one set of shards. It answers a load beyond what the replicas can do: without
// it every request is started, all of them wait at every shard, and nearly none has enough parts in time. Requests wait
// here for a short time, where waiting costs no slot, and those that find no place are refused before anything is sent.
type gate struct {
	name  fleet.ServiceID
	mutex sync.Mutex
	// running is the work in progress, and limit the most of it; 0 stands for no limit. Work is counted as the undisturbed
	// time of a part, because a request with short parts takes less from the replicas.
	running float64
	limit   float64
	count   int
	slow    float64 // smoothed share of late requests
	work    float64 // smoothed work of a request
	// slots is this instance's part of the slots of one shard.
	slots   float64
	adapted time.Time
	queue   []*place
}

// place is a request that waits.
type place struct {
	work  float64
	ready chan struct{}
}

// enter waits for a place. It returns false if none became free in time or the caller left. A request that entered must
// leave.
func (g *gate) enter(ctx context.Context, work float64, wait time.Duration) bool {
	g.mutex.Lock()
	if g.work == 0 {
		g.work = work
	}
	g.work += workGain * (work - g.work)
	if g.fits(work) && len(g.queue) == 0 {
		g.take(work)
		g.mutex.Unlock()
		return true
	}
	waiting := &place{work: work, ready: make(chan struct{})}
	g.queue = append(g.queue, waiting)
	g.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-waiting.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.giveUp(waiting)
}

// giveUp takes a request out of the queue. It returns true if a place was given to it at the same moment.
func (g *gate) giveUp(waiting *place) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i, other := range g.queue {
		if other == waiting {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return false
		}
	}
	return true
}

func (g *gate) fits(work float64) bool {
	return g.limit == 0 || g.count == 0 || g.running+work <= g.limit
}

// least is the limit below which it does not fall.
func (g *gate) least() float64 { return shareFactor * g.slots * g.work }

// setSlots says how many slots of one shard this instance may count on.
func (g *gate) setSlots(slots float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
}

func (g *gate) take(work float64) {
	g.running += work
	g.count++
}

// leave gives the place of a request to those that wait.
func (g *gate) leave(work float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running -= work
	g.count--
	g.next()
}

func (g *gate) next() {
	for len(g.queue) > 0 && g.fits(g.queue[0].work) {
		first := g.queue[0]
		g.queue = g.queue[1:]
		g.take(first.work)
		close(first.ready)
	}
}

// observe takes whether the early answers of a request were late, and adapts the limit.
func (g *gate) observe(now time.Time, slow bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	share := 0.0
	if slow {
		share = 1
	}
	g.slow += slowGain * (share - g.slow)
	if now.Sub(g.adapted) < adaptEvery {
		return
	}
	switch {
	case g.count > 0 && (g.slow > congestedShare || g.limit > 0 && g.slow > fallAbove):
		if g.limit == 0 {
			klog.InfoS("Admission limited", "shard", g.name, "late-share", g.slow, "running", g.count)
		}
		if g.limit == 0 || g.limit > g.running {
			g.limit = g.running
		}
		g.limit = max(g.limit*fall, g.least())
	case g.slow < riseBelow && g.limit > 0:
		g.limit *= rise
		if g.limit > slackFactor*g.running && len(g.queue) == 0 {
			g.limit = 0
			klog.InfoS("Admission unlimited", "shard", g.name, "late-share", g.slow, "running", g.count)
		}
		g.next()
	default:
		return
	}
	g.adapted = now
}

// congested tells whether requests are being turned away.
func (g *gate) congested() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.limit > 0
}

// undisturbed estimates the time of a part that finds a free slot: the 20th percentile of the measured times.
type undisturbed struct {
	nanoseconds atomic.Int64
}

func (u *undisturbed) time() time.Duration { return time.Duration(u.nanoseconds.Load()) }

func (u *undisturbed) observe(elapsed time.Duration) {
	current := u.nanoseconds.Load()
	step := undisturbedUp
	if int64(elapsed) < current {
		step = -undisturbedDown
	}
	u.nanoseconds.Store(max(current+int64(step*float64(current)), int64(100*time.Microsecond)))
}

// refusedByGate is the refusal of a request that found no place.
func refusedByGate() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "more requests than the replicas can serve in time").WithRetryAfter(retryAfter)
}
