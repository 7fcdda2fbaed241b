package replica

import (
	"context"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const classCount = int(catalogue.Batch) + 1

// attemptKey identifies a part. Attempt numbers are unique only within their coordinator.
type attemptKey struct {
	coordinator fleet.InstanceID
	attempt     uint64
}

// task is one part from its admission to its result.
type task struct {
	part        query.Part
	coordinator fleet.InstanceID
	class       catalogue.Class
	ctx         context.Context
	cancel      context.CancelFunc
	deliver     func(query.Result)
	// expectedServiceTime is assumed before the first answer of the server; zero if the catalogue sets none.
	expectedServiceTime time.Duration
	// decision receives nil when the task is given a slot, or the refusal when it leaves the queue without one. The
	// channel is nil for a task that got a slot without queueing.
	decision chan *verdict.Error
	queued   bool
	epoch    uint32
	// maxWait is how long the task may stay in the queue.
	maxWait time.Duration
}

// queueWaitDivisor sets how long a task may wait for a slot even if a shorter wait was estimated: the time until its
// deadline divided by this. The calls ahead may hang until their own deadlines, so the coordinator needs the remaining
// time to try another replica, or to refuse the query well before the deadline.
const queueWaitDivisor = 4

// serverLimiter is the admission control of one server: concurrency limit, queue, hedge budget and warm-up ramp. Its
// mutex is the only lock on the request path.
type serverLimiter struct {
	id    fleet.ServerID
	mutex sync.Mutex
	ramp
	hedgeBudget
	inUse        int
	slots        int
	queue        [classCount][]*task
	queueLen     int
	tasks        map[attemptKey]*task
	heldVersions []snapshot.Version
	// address is the server's address at the last admission. A different address means a different process.
	address string
	// hasOutcome is set once a call of this instance to the server has ended.
	hasOutcome bool
	// adoptedAt is when the state was taken over from a previous owner.
	adoptedAt time.Time
	// removed is set when the Owner has dropped this limiter. A new one replaces it.
	removed bool
	// stale is set while this instance may not send to the server. The server may restart unnoticed meanwhile, so the
	// ramp is reset before the next call.
	stale bool
	// reservedSlots are still in use by calls of the previous owner until reservedUntil.
	reservedSlots int
	reservedUntil time.Time
}

func newServerLimiter(id fleet.ServerID, now time.Time) *serverLimiter {
	return &serverLimiter{id: id, ramp: newRamp(now), tasks: make(map[attemptKey]*task)}
}

// concurrencyLimit returns the number of calls that may be in flight now: at most one if there was no recent answer,
// otherwise the smaller of the ramp limit and the slots. Slots that calls of the previous owner still use are not
// available. It clears a reservation that has ended.
func (l *serverLimiter) concurrencyLimit(now time.Time) int {
	limit := min(l.ramp.limit, l.slots)
	if now.Sub(l.confirmedAt) > max(confirmationTTL, 2*l.meanServiceTime) {
		limit = min(limit, 1)
	}
	if l.reservedSlots > 0 {
		if now.Before(l.reservedUntil) {
			return max(0, min(limit, l.slots-l.reservedSlots))
		}
		l.reservedSlots = 0
	}
	return limit
}

// serviceTime returns the smoothed duration of a call. Before the first answer it returns expected, or a default if
// that is zero.
func (l *serverLimiter) serviceTime(expected time.Duration) time.Duration {
	if l.samples > 0 {
		return l.meanServiceTime
	}
	if expected > 0 {
		return expected
	}
	return defaultServiceTime
}

// estimateWait estimates how long a new part of the class would queue.
func (l *serverLimiter) estimateWait(now time.Time, class catalogue.Class, expected time.Duration) time.Duration {
	limit := l.concurrencyLimit(now)
	if l.inUse < limit && l.queueLen == 0 {
		return 0
	}
	ahead := 1
	for c := catalogue.Interactive; c <= class; c++ {
		ahead += len(l.queue[c])
	}
	wait := l.serviceTime(expected) * time.Duration(ahead) / time.Duration(max(limit, 1))
	if limit == 0 {
		wait += max(0, l.reservedUntil.Sub(now))
	}
	return wait
}

// admitLocked gives the task a slot, queues it, or refuses it. The caller holds the mutex.
func (l *serverLimiter) admitLocked(now time.Time, t *task) *verdict.Error {
	l.concurrencyLimit(now) // called for its effect on an ended reservation
	if t.part.Hedge {
		if l.state != Warm || l.inUse >= l.concurrencyLimit(now) || l.queueLen > 0 || !l.allowsHedge(now) {
			return errHedgeRefused
		}
	}
	l.tasks[attemptKey{t.coordinator, t.part.Attempt}] = t
	if l.inUse < l.concurrencyLimit(now) && l.queueLen == 0 {
		l.takeSlot(now, t)
		return nil
	}
	wait := l.estimateWait(now, t.class, t.expectedServiceTime)
	if now.Add(wait + l.serviceTime(t.expectedServiceTime)).After(t.part.Deadline) {
		l.removeTask(t)
		return errOverloaded.WithRetryAfter(wait)
	}
	t.maxWait = max(2*(wait+l.serviceTime(t.expectedServiceTime)), t.part.Deadline.Sub(now)/queueWaitDivisor)
	t.queued = true
	t.decision = make(chan *verdict.Error, 1)
	l.queue[t.class] = append(l.queue[t.class], t)
	l.queueLen++
	return nil
}

// takeSlot gives the task a slot.
func (l *serverLimiter) takeSlot(now time.Time, t *task) {
	l.inUse++
	t.epoch = l.epoch
	l.countRequest(now, t.part.Hedge)
}

// removeTask removes the task from those that can be cancelled.
func (l *serverLimiter) removeTask(t *task) {
	key := attemptKey{t.coordinator, t.part.Attempt}
	if l.tasks[key] == t {
		delete(l.tasks, key)
	}
}

// dispatch gives free slots to queued tasks in the order of their classes. The caller holds the mutex.
func (l *serverLimiter) dispatch(now time.Time) {
	for l.queueLen > 0 && l.inUse < l.concurrencyLimit(now) {
		t := l.pop()
		if now.Add(l.serviceTime(t.expectedServiceTime)).After(t.part.Deadline) {
			t.decision <- errOverloaded.WithRetryAfter(l.estimateWait(now, t.class, t.expectedServiceTime))
			continue
		}
		l.takeSlot(now, t)
		t.decision <- nil
	}
}

// refuseQueued removes all tasks from the queue with the given refusal.
func (l *serverLimiter) refuseQueued(refusal *verdict.Error) {
	for l.queueLen > 0 {
		l.pop().decision <- refusal
	}
}

func (l *serverLimiter) pop() *task {
	for c := range l.queue {
		if len(l.queue[c]) > 0 {
			t := l.queue[c][0]
			l.queue[c][0] = nil
			l.queue[c] = l.queue[c][1:]
			l.queueLen--
			t.queued = false
			return t
		}
	}
	return nil
}

// removeFromQueue removes a task from the queue and reports whether it was still queued.
func (l *serverLimiter) removeFromQueue(t *task) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !t.queued {
		return false
	}
	for i, other := range l.queue[t.class] {
		if other == t {
			l.queue[t.class] = append(l.queue[t.class][:i], l.queue[t.class][i+1:]...)
			l.queueLen--
			t.queued = false
			break
		}
	}
	return true
}

// status returns the Status of the server.
func (l *serverLimiter) status(now time.Time) Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Status{
		Server: l.id, State: l.state, Reason: l.reason, Since: l.since, InUse: l.inUse, Queued: l.queueLen,
		Ramp: l.limit, Slots: l.slots, HedgeRatio: l.hedgeRatio(now),
	}
}
