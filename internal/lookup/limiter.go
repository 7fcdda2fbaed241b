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
	// earlyAnswerShare is the share of a request's shards whose answers show how busy the replicas are as a whole.
	// Replicas that are individually slow, stalled or down are among the remaining ones.
	earlyAnswerShare = 0.4
	// unqueuedFactor is the time until the early answers of a request arrive when nothing queues, as a multiple of the
	// unqueued time of a part. Any time above it is queueing delay.
	unqueuedFactor = 1.25
	// lateFactor is the multiple of the unqueued time above which the early answers are late. They take more than 3
	// times the unqueued time if each part waits for longer than it runs. With 2.2 the limiter also refused requests in
	// the first second after a restart and when some replicas were slow, although the load could be served.
	lateFactor = 3.2
	// congestedLateShare is the share of late requests above which a limit is set.
	congestedLateShare = 0.5
	// lateWeight and waitWeight are the weights of one request in the moving averages of the late share and the
	// queueing delay.
	lateWeight, waitWeight = 0.1, 0.2
	// targetWaitFactor is the queueing delay that the limit aims for, as a multiple of the average work of a request.
	// It is long enough that no slot idles between parts, and short enough that the slowest part of a request is in
	// time.
	targetWaitFactor = 0.7
	// adaptInterval is the minimum time between two changes of the limit; it is about the time until a change takes
	// effect.
	adaptInterval = 50 * time.Millisecond
	// minStep and maxStep bound the factor of one change of the limit.
	minStep, maxStep = 0.9, 1.1
	// minLimitFactor is the minimum limit as a multiple of this instance's share of the replicas' slots. A lower limit
	// would leave slots idle; the excess over 1 lets the next part already wait at a replica when the previous one
	// ends.
	minLimitFactor = 1.5
	// maxIdleFactor keeps the limit from rising while it is more than this multiple of the work in progress.
	maxIdleFactor = 2
	// recoveryWindow is the time without a queued request after which the limit is lifted.
	recoveryWindow = time.Second
	// maxQueueShare is the maximum time in the queue as a share of the latency objective. A longer wait leaves too
	// little time for the parts, and a caller that is refused early can still be served by another instance in time.
	maxQueueShare = 0.2
	// workWeight is the weight of one request in the moving average of the work per request.
	workWeight = 0.05
)

// limiter bounds the fan-outs in progress over one set of shards. It protects against a load beyond the capacity of the
// replicas: without it every request is started, all of them queue at every shard, and hardly any has enough parts in
// time. Requests queue in the limiter for a short time, where they occupy no slot of a replica, and those that are not
// admitted in time are refused before anything is sent.
type limiter struct {
	shard fleet.ServiceID
	mutex sync.Mutex
	// runningWork is the work in progress, and limit its maximum; 0 means no limit. The work of a request is the
	// unqueued time of a part, because a request with short parts takes less of the replicas' capacity.
	runningWork  float64
	limit        float64
	runningCount int
	lateShare    float64 // moving average of the share of late requests
	averageWait  float64 // moving average of the queueing delay of the early answers, in nanoseconds
	averageWork  float64 // moving average of the work of a request, in nanoseconds
	// slots is this instance's share of the slots of one shard.
	slots       float64
	lastAdapted time.Time
	// lastQueued is when a request last had to queue, or when the limit was set.
	lastQueued time.Time
	queue      []*waiter
	throttle   throttle
	// startMutex is held while a request that needs request limits of replicas sends its parts.
	startMutex sync.Mutex
}

// waiter is a queued request; ready is closed when it is admitted.
type waiter struct {
	work  float64
	ready chan struct{}
}

// acquire waits until the request is admitted. It returns false if that did not happen within the given time or if ctx
// is done. If it returns true, the caller must call release with the same work.
func (l *limiter) acquire(ctx context.Context, work float64, wait time.Duration) bool {
	l.mutex.Lock()
	if l.averageWork == 0 {
		l.averageWork = work
	}
	l.averageWork += workWeight * (work - l.averageWork)
	if l.hasRoom(work) && len(l.queue) == 0 {
		l.add(work)
		l.mutex.Unlock()
		return true
	}
	queued := &waiter{work: work, ready: make(chan struct{})}
	l.queue = append(l.queue, queued)
	l.lastQueued = time.Now()
	l.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-queued.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.abandon(queued)
}

// abandon removes a request from the queue. It returns true if the request was admitted before it could be removed.
func (l *limiter) abandon(queued *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range l.queue {
		if other == queued {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return false
		}
	}
	return true
}

// hasRoom reports whether the limit admits a request with the given work. If no request is running, it admits one of
// any size. The caller holds the lock.
func (l *limiter) hasRoom(work float64) bool {
	return l.limit == 0 || l.runningCount == 0 || l.runningWork+work <= l.limit
}

// minLimit returns the value below which the limit does not fall.
func (l *limiter) minLimit() float64 { return minLimitFactor * l.slots * l.averageWork }

// setSlots sets this instance's share of the slots of one shard.
func (l *limiter) setSlots(slots float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.slots = slots
}

// add counts an admitted request. The caller holds the lock.
func (l *limiter) add(work float64) {
	l.runningWork += work
	l.runningCount++
}

// release ends the work of a request and admits queued ones.
func (l *limiter) release(work float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runningWork -= work
	l.runningCount--
	l.admitWaiters()
}

// admitWaiters admits queued requests in order while there is room. The caller holds the lock.
func (l *limiter) admitWaiters() {
	for len(l.queue) > 0 && l.hasRoom(l.queue[0].work) {
		first := l.queue[0]
		l.queue = l.queue[1:]
		l.add(first.work)
		close(first.ready)
	}
}

// observe records how long the early answers of a request took, given the unqueued time of its parts, and adapts the
// limit.
func (l *limiter) observe(now time.Time, early, unqueued time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	late := 0.0
	if isLate(early, unqueued) {
		late = 1
	}
	l.lateShare += lateWeight * (late - l.lateShare)
	l.averageWait += waitWeight * (max(0, float64(early)-unqueuedFactor*float64(unqueued)) - l.averageWait)
	if now.Sub(l.lastAdapted) < adaptInterval {
		return
	}
	l.lastAdapted = now
	if l.limit == 0 {
		l.startLimit(now)
		return
	}
	if step := l.limitStep(); step < 1 || maxIdleFactor*l.runningWork > l.limit {
		l.limit = max(l.limit*min(max(step, minStep), maxStep), l.minLimit())
	}
	if now.Sub(l.lastQueued) > recoveryWindow {
		l.limit = 0
		klog.InfoS("Admission unlimited", "shard", l.shard, "late-share", l.lateShare, "wait", time.Duration(l.averageWait), "running", l.runningCount)
	}
	l.admitWaiters()
}

// isLate reports whether early answers that took the given time were late.
func isLate(early, unqueued time.Duration) bool { return float64(early) > lateFactor*float64(unqueued) }

// limitStep returns the factor that would bring the queueing delay to its target if the delay followed the work in
// progress at once.
func (l *limiter) limitStep() float64 {
	return (1 + targetWaitFactor) * l.averageWork / (l.averageWork + l.averageWait)
}

// startLimit sets a limit once most requests are late. It waits that long because individually slow replicas also make
// some requests late. It then takes the whole step to the target at once, because the replicas' queues are already
// full.
func (l *limiter) startLimit(now time.Time) {
	if l.runningCount == 0 || l.lateShare <= congestedLateShare {
		return
	}
	klog.InfoS("Admission limited", "shard", l.shard, "late-share", l.lateShare, "wait", time.Duration(l.averageWait), "running", l.runningCount)
	l.limit = max(l.runningWork*min(l.limitStep(), 1), l.minLimit())
	l.lastQueued = now
}

// limiting reports whether a limit is in force.
func (l *limiter) limiting() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit > 0
}

// overloadedError returns the refusal of a request that was not admitted.
func overloadedError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "more requests than the replicas can serve in time").WithRetryAfter(defaultRetryAfter)
}
