package lookup

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// earlyShare is the part of the shards whose answers show how busy the replicas are as a whole: replicas that are slow,
	// paused or down by themselves are among the others.
	earlyShare = 0.4
	// earlyFactor is the time of the early answers of a request without any queue, in times of the undisturbed time of a
	// part. What is above it is their wait.
	earlyFactor = 1.25
	// lateFactor says when the early answers are late, in times of the undisturbed time of a part: they take more than 3 times
	// that where each part waits for longer than it runs. At 2.2 the gate also refused in the first second after a restart
	// and beside slow replicas, where the load could be served.
	lateFactor = 3.2
	// congestedShare is the share of late requests at which a limit begins.
	congestedShare = 0.5
	// lateGain and waitGain are the weights of one request in the share of late ones and in the usual wait.
	lateGain, waitGain = 0.1, 0.2
	// targetWait is the wait that a limit holds, in times of the usual work of a request: long enough that a slot never waits
	// for a part, and so short that the slowest part of a request is there in time.
	targetWait = 0.7
	// adaptEvery is the least time between two changes of the limit, about the time in which one shows.
	adaptEvery = 50 * time.Millisecond
	// fall and rise bound one step of the limit.
	fall, rise = 0.9, 1.1
	// shareFactor is the least limit in times of this instance's part of the replicas' slots: less would leave slots idle,
	// and a little more lets the next part wait at the replica where the last one ends.
	shareFactor = 1.5
	// usedFactor keeps a limit from rising that is more than so many times the work in progress.
	usedFactor = 2
	// calm is the time without a request that waits for a place, after which the limit ends.
	calm = time.Second
	// waitShare is the longest wait for a place, as a part of the objective. Longer waits leave too little time for the
	// parts, and a caller that is refused soon can be served elsewhere in time.
	waitShare = 0.2
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
	late    float64 // smoothed share of late requests
	wait    float64 // smoothed wait of the early answers, in nanoseconds
	work    float64 // smoothed work of a request
	// slots is this instance's part of the slots of one shard.
	slots   float64
	adapted time.Time
	// crowded is when a request found no place last.
	crowded time.Time
	queue   []*place
	intake  intake
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
	g.crowded = time.Now()
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

// observe takes the time of the early answers of a request, and the undisturbed time of its parts, and adapts the limit.
func (g *gate) observe(now time.Time, early, alone time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	late := 0.0
	if isLate(early, alone) {
		late = 1
	}
	g.late += lateGain * (late - g.late)
	g.wait += waitGain * (max(0, float64(early)-earlyFactor*float64(alone)) - g.wait)
	if now.Sub(g.adapted) < adaptEvery {
		return
	}
	g.adapted = now
	if g.limit == 0 {
		g.begin(now)
		return
	}
	if step := g.step(); step < 1 || usedFactor*g.running > g.limit {
		g.limit = max(g.limit*min(max(step, fall), rise), g.least())
	}
	if now.Sub(g.crowded) > calm {
		g.limit = 0
		klog.InfoS("Admission unlimited", "shard", g.name, "late-share", g.late, "wait", time.Duration(g.wait), "running", g.count)
	}
	g.next()
}

func isLate(early, alone time.Duration) bool { return float64(early) > lateFactor*float64(alone) }

// step is the factor that would bring the wait to its target, if the wait followed the work in progress at once.
func (g *gate) step() float64 { return (1 + targetWait) * g.work / (g.work + g.wait) }

// begin sets a limit once most requests are late. It comes late, because replicas that are slow by themselves make requests
// late as well, and then takes the whole step to the target, because the replicas' queues are full.
func (g *gate) begin(now time.Time) {
	if g.count == 0 || g.late <= congestedShare {
		return
	}
	klog.InfoS("Admission limited", "shard", g.name, "late-share", g.late, "wait", time.Duration(g.wait), "running", g.count)
	g.limit = max(g.running*min(g.step(), 1), g.least())
	g.crowded = now
}

// congested tells whether requests are being turned away.
func (g *gate) congested() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.limit > 0
}

// refusedByGate is the refusal of a request that found no place.
func refusedByGate() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "more requests than the replicas can serve in time").WithRetryAfter(retryAfter)
}
