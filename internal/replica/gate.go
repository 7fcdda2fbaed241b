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

const classes = int(catalogue.Batch) + 1

// attempt names a part: attempt numbers are unique only within their coordinator.
type attempt struct {
	from   fleet.InstanceID
	number uint64
}

// task is one part on its way through a gate.
type task struct {
	part    query.Part
	from    fleet.InstanceID
	class   catalogue.Class
	ctx     context.Context
	cancel  context.CancelFunc
	deliver func(query.Result)
	// expected is the service time to assume before the first answer.
	expected time.Duration
	// settled receives nil for a slot, or the refusal, when the task leaves the queue.
	settled chan *verdict.Error
	queued  bool
	epoch   uint32
	// patience is how long the task stays in the queue.
	patience time.Duration
}

// queueShare is the part of its time that a task waits for a slot where the estimate was shorter. The calls ahead
// may hang until their own deadlines; then the coordinator needs the rest of the time for another replica or for a
// refusal that comes long before the deadline.
const queueShare = 4

// gate admits calls to one server. Its lock is the only one on the request path.
type gate struct {
	id    fleet.ServerID
	mutex sync.Mutex
	ramp
	budget
	inUse  int
	slots  int
	queue  [classes][]*task
	length int
	tasks  map[attempt]*task
	held   []snapshot.Version
	// address is the last one used; another address means another process.
	address string
	// learnt is set once this owner has seen the outcome of a call of its own.
	learnt bool
	// adopted is when the state was taken over from a former owner.
	adopted time.Time
	// removed is set when the owner has dropped the gate; a new one takes its place.
	removed bool
	// stale is set while this instance sends nothing to the server.
	stale bool
	// reserved slots are still used by calls of the former owner until reservedUntil.
	reserved      int
	reservedUntil time.Time
}

func newGate(id fleet.ServerID, now time.Time) *gate {
	return &gate{id: id, ramp: newRamp(now), tasks: make(map[attempt]*task)}
}

// room returns the number of calls that may be in flight now.
func (g *gate) room(now time.Time) int {
	room := min(g.ramp.limit, g.slots)
	if now.Sub(g.confirmed) > max(confirmedFor, 2*g.mean) {
		room = min(room, 1)
	}
	if g.reserved > 0 {
		if now.Before(g.reservedUntil) {
			return max(0, min(room, g.slots-g.reserved))
		}
		g.reserved = 0
	}
	return room
}

// serviceTime returns the smoothed time of a call.
func (g *gate) serviceTime(expected time.Duration) time.Duration {
	if g.samples > 0 {
		return g.mean
	}
	if expected > 0 {
		return expected
	}
	return defaultServiceTime
}

// wait estimates how long a new part of the class would queue.
func (g *gate) wait(now time.Time, class catalogue.Class, expected time.Duration) time.Duration {
	room := g.room(now)
	if g.inUse < room && g.length == 0 {
		return 0
	}
	ahead := 1
	for c := catalogue.Interactive; c <= class; c++ {
		ahead += len(g.queue[c])
	}
	wait := g.serviceTime(expected) * time.Duration(ahead) / time.Duration(max(room, 1))
	if room == 0 {
		wait += max(0, g.reservedUntil.Sub(now))
	}
	return wait
}

// admit gives the task a slot, queues it, or refuses it. The caller holds the lock.
func (g *gate) admit(now time.Time, t *task) *verdict.Error {
	g.room(now)
	if t.part.Hedge {
		if g.state != Warm || g.inUse >= g.room(now) || g.length > 0 || !g.mayHedge(now) {
			return refusedHedge
		}
	}
	g.tasks[attempt{t.from, t.part.Attempt}] = t
	if g.inUse < g.room(now) && g.length == 0 {
		g.take(now, t)
		return nil
	}
	wait := g.wait(now, t.class, t.expected)
	if now.Add(wait + g.serviceTime(t.expected)).After(t.part.Deadline) {
		g.forget(t)
		return overloaded.WithRetryAfter(wait)
	}
	t.patience = max(2*(wait+g.serviceTime(t.expected)), t.part.Deadline.Sub(now)/queueShare)
	t.queued = true
	t.settled = make(chan *verdict.Error, 1)
	g.queue[t.class] = append(g.queue[t.class], t)
	g.length++
	return nil
}

// take uses a slot for the task.
func (g *gate) take(now time.Time, t *task) {
	g.inUse++
	t.epoch = g.epoch
	g.count(now, t.part.Hedge)
}

// forget removes the task from the attempts that can be cancelled.
func (g *gate) forget(t *task) {
	key := attempt{t.from, t.part.Attempt}
	if g.tasks[key] == t {
		delete(g.tasks, key)
	}
}

// pump gives free slots to queued tasks in class order. The caller holds the lock.
func (g *gate) pump(now time.Time) {
	for g.length > 0 && g.inUse < g.room(now) {
		t := g.pop()
		if now.Add(g.serviceTime(t.expected)).After(t.part.Deadline) {
			t.settled <- overloaded.WithRetryAfter(g.wait(now, t.class, t.expected))
			continue
		}
		g.take(now, t)
		t.settled <- nil
	}
}

// refuseQueued empties the queue with a refusal.
func (g *gate) refuseQueued(refusal *verdict.Error) {
	for g.length > 0 {
		g.pop().settled <- refusal
	}
}

func (g *gate) pop() *task {
	for c := range g.queue {
		if len(g.queue[c]) > 0 {
			t := g.queue[c][0]
			g.queue[c][0] = nil
			g.queue[c] = g.queue[c][1:]
			g.length--
			t.queued = false
			return t
		}
	}
	return nil
}

// abandon takes a task out of the queue; false if it has left the queue already.
func (g *gate) abandon(t *task) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !t.queued {
		return false
	}
	for i, other := range g.queue[t.class] {
		if other == t {
			g.queue[t.class] = append(g.queue[t.class][:i], g.queue[t.class][i+1:]...)
			g.length--
			t.queued = false
			break
		}
	}
	return true
}

// status returns the gate for reports.
func (g *gate) status(now time.Time) Status {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Status{
		Server: g.id, State: g.state, Reason: g.reason, Since: g.since, InUse: g.inUse, Queued: g.length,
		Ramp: g.limit, Slots: g.slots, HedgeShare: g.share(now),
	}
}
