package replica

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Dependencies are the collaborators of an Owner. The functions are called on the request path, from many goroutines at
// once; they must read immutable views and must not block.
type Dependencies struct {
	Self      fleet.InstanceID
	Transport Transport
	// Claim returns the number of slots and connections of a server that this instance may use. It reports false if the
	// instance may not send to the server now.
	Claim func(fleet.ServerID) (slots, connections int, ok bool)
	// Server returns a server of the fleet view.
	Server func(fleet.ServerID) (fleet.Server, bool)
	// Fresh reports whether the last completed heartbeat round is recent enough to send. If not, the instance is
	// fenced.
	Fresh func() bool
	// Catalogue returns the current catalogue.
	Catalogue func() catalogue.Catalogue
	// Random generates a prefix that keeps request ids unique across the fleet and across restarts.
	Random rand.Source
	// Go runs a part on another goroutine and returns immediately. Nil means a new goroutine for each part.
	Go func(work func())
}

// Owner runs parts at the servers that this instance owns. It is safe for concurrent use.
type Owner struct {
	Dependencies
	requestIDPrefix string
	requestCount    atomic.Uint64
	// limiters maps fleet.ServerID to *serverLimiter, so that lookups take no lock.
	limiters sync.Map
}

// New returns an Owner that knows nothing of its servers yet: each one starts cold.
func New(dependencies Dependencies) *Owner {
	if dependencies.Go == nil {
		dependencies.Go = func(work func()) { go work() }
	}
	return &Owner{
		Dependencies:    dependencies,
		requestIDPrefix: fmt.Sprintf("%s-%016x-", dependencies.Self, dependencies.Random.Uint64()),
	}
}

// Run starts the parts that a coordinator sent and returns immediately. It calls deliver exactly once for each part,
// from another goroutine. When ctx is done, the parts still in flight are cancelled.
func (o *Owner) Run(ctx context.Context, coordinator fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	var refused []query.Result
	for _, part := range parts {
		t := &task{part: part, coordinator: coordinator, deliver: deliver}
		l, refusal := o.accept(ctx, time.Now(), t)
		if refusal != nil {
			refused = append(refused, o.refusalResult(l, t, refusal))
			continue
		}
		o.Go(func() { o.run(l, t) })
	}
	if len(refused) > 0 {
		go func() {
			for _, result := range refused {
				deliver(result)
			}
		}()
	}
}

// Cancel cancels one part of a coordinator. A part in flight keeps its slot until the transport returns.
func (o *Owner) Cancel(coordinator fleet.InstanceID, attempt uint64) {
	o.limiters.Range(func(_, value any) bool {
		l := value.(*serverLimiter)
		l.mutex.Lock()
		t, ok := l.tasks[attemptKey{coordinator, attempt}]
		l.mutex.Unlock()
		if ok {
			t.cancel()
		}
		return !ok
	})
}

// Statuses returns the status of all servers, in the order of their IDs.
func (o *Owner) Statuses() []Status {
	now := time.Now()
	var all []Status
	o.limiters.Range(func(_, value any) bool {
		all = append(all, value.(*serverLimiter).status(now))
		return true
	})
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// accept admits the task or returns its refusal, together with the server's limiter if there is one.
func (o *Owner) accept(ctx context.Context, now time.Time, t *task) (*serverLimiter, *verdict.Error) {
	server, slots, refusal := o.checkPolicyAndFence(t.part.Server)
	if refusal != nil {
		return o.existingLimiter(t.part.Server), refusal
	}
	if !now.Before(t.part.Deadline) {
		return o.existingLimiter(t.part.Server), errDeadlinePassed
	}
	if service, ok := o.Catalogue().Service(t.part.Service); ok {
		t.class, t.expectedServiceTime = service.Class, service.LatencyObjective
	}
	t.ctx, t.cancel = context.WithDeadline(ctx, t.part.Deadline)
	l := o.limiter(t.part.Server, now)
	refusal = l.admit(now, t, server.Address, slots)
	for refusal == errLimiterRemoved {
		l = o.replaceLimiter(l, now)
		refusal = l.admit(now, t, server.Address, slots)
	}
	if refusal != nil {
		t.cancel()
	}
	return l, refusal
}

// admit admits the task or returns its refusal, after it has applied the current slots and address of the server.
func (l *serverLimiter) admit(now time.Time, t *task, address string, slots int) *verdict.Error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.removed {
		return errLimiterRemoved
	}
	l.slots = slots
	l.resetIfStale(now)
	if l.address != address {
		if l.address != "" {
			l.recordRestart(now, "")
		}
		l.address = address
	}
	if l.reportedLeaving {
		return errLeaving
	}
	return l.admitLocked(now, t)
}

// checkPolicyAndFence applies the rules that do not depend on the server's load. It returns the server and the number
// of slots to use.
func (o *Owner) checkPolicyAndFence(id fleet.ServerID) (fleet.Server, int, *verdict.Error) {
	server, slots, refusal := o.checkPolicy(id)
	if refusal == nil && !o.Fresh() {
		refusal = errFenced
	}
	return server, slots, refusal
}

// checkPolicy applies the rules of checkPolicyAndFence except the fence.
func (o *Owner) checkPolicy(id fleet.ServerID) (fleet.Server, int, *verdict.Error) {
	server, ok := o.Server(id)
	if !ok {
		return server, 0, errUnknownServer
	}
	if server.Leaving {
		return server, 0, errLeaving
	}
	current := o.Catalogue()
	if current.ZoneOutOfService(server.Zone) {
		return server, 0, errZoneOut
	}
	if current.InstanceOutOfService(fleet.InstanceID(id)) {
		return server, 0, errInstanceOut
	}
	slots, _, ok := o.Claim(id)
	if !ok {
		return server, 0, errNotOwner
	}
	return server, slots, nil
}

// run takes an admitted task through the queue and the transport and delivers its result.
func (o *Owner) run(l *serverLimiter, t *task) {
	defer t.cancel()
	if refusal := l.awaitSlot(t); refusal != nil {
		l.discard(t)
		t.deliver(o.refusalResult(l, t, refusal))
		return
	}
	call := Call{
		RequestID: o.requestIDPrefix + strconv.FormatUint(o.requestCount.Add(1), 10), Service: t.part.Service, Shard: t.part.Shard,
		Version: t.part.Version, Deadline: t.part.Deadline, Idempotent: t.part.Idempotent, Query: t.part.Query,
		Permitted: o.Fresh,
	}
	server, refusal := o.recheck(l, t)
	if refusal != nil {
		l.releaseUnsent(time.Now(), t)
		t.deliver(o.refusalResult(l, t, refusal))
		return
	}
	// The transport repeats this check immediately before it writes. Checking here as well spares a fenced instance
	// from opening a connection.
	if !o.Fresh() {
		l.releaseUnsent(time.Now(), t)
		t.deliver(o.refusalResult(l, t, errFenced))
		return
	}
	start := time.Now()
	answer, err := o.Transport.Do(t.ctx, server, call)
	t.deliver(l.finish(start, t, answer, err))
}

// awaitSlot waits until the task has a slot, or returns its refusal.
func (l *serverLimiter) awaitSlot(t *task) *verdict.Error {
	if t.decision == nil {
		return nil
	}
	timer := time.NewTimer(t.maxWait)
	defer timer.Stop()
	refusal := errOverloaded
	select {
	case decision := <-t.decision:
		return decision
	case <-timer.C:
	case <-t.ctx.Done():
		refusal = contextRefusal(t.ctx)
	}
	if l.removeFromQueue(t) {
		return refusal
	}
	return <-t.decision
}

// recheck applies the rules again after the queue, because the fleet view, the catalogue or the claim may have changed.
func (o *Owner) recheck(l *serverLimiter, t *task) (fleet.Server, *verdict.Error) {
	if t.ctx.Err() != nil {
		return fleet.Server{}, contextRefusal(t.ctx)
	}
	server, _, refusal := o.checkPolicyAndFence(t.part.Server)
	if refusal != nil {
		return server, refusal
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.reportedLeaving {
		return server, errLeaving
	}
	return server, nil
}

// discard removes a task that never had a slot.
func (l *serverLimiter) discard(t *task) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeTask(t)
}

// releaseUnsent frees the slot of a task that was not sent.
func (l *serverLimiter) releaseUnsent(now time.Time, t *task) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeTask(t)
	l.inUse--
	l.dispatch(now)
}

// finish records the outcome of a call, frees its slot and returns the result.
func (l *serverLimiter) finish(start time.Time, t *task, answer Answer, err error) query.Result {
	now := time.Now()
	elapsed := now.Sub(start)
	failure := toVerdictError(err)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeTask(t)
	l.inUse--
	l.hasOutcome = true
	if failure == nil {
		l.recordSuccess(now, t.epoch, elapsed, answer, l.slots)
		l.heldVersions = answer.HeldVersions
	} else {
		l.recordFailure(now, t.epoch, elapsed, failure.Reason, t.ctx.Err() != nil)
	}
	if l.reportedLeaving {
		l.refuseQueued(errLeaving)
	}
	l.dispatch(now)
	result := l.newResult(now, t)
	result.Elapsed = elapsed
	result.Err = failure
	if failure == nil {
		result.Rows = answer.Rows
		result.HeldVersions = answer.HeldVersions
		result.Leaving = l.reportedLeaving || answer.Leaving
	}
	return result
}

// newResult returns a result with the fields that every result of this server has. The caller holds the mutex.
func (l *serverLimiter) newResult(now time.Time, t *task) query.Result {
	return query.Result{
		Attempt: t.part.Attempt, Shard: t.part.Shard, Server: t.part.Server, Version: t.part.Version,
		Leaving: l.reportedLeaving, Warm: l.state == Warm, QueueWait: l.estimateWait(now, t.class, t.expectedServiceTime),
	}
}

// refusalResult returns the result of a part that was not sent. The limiter is nil if the server has none.
func (o *Owner) refusalResult(l *serverLimiter, t *task, refusal *verdict.Error) query.Result {
	result := query.Result{
		Attempt: t.part.Attempt, Shard: t.part.Shard, Server: t.part.Server, Version: t.part.Version,
	}
	if l != nil {
		l.mutex.Lock()
		result = l.newResult(time.Now(), t)
		result.HeldVersions = slices.Clone(l.heldVersions)
		l.mutex.Unlock()
	}
	result.Err = refusal
	return result
}

func (o *Owner) existingLimiter(id fleet.ServerID) *serverLimiter {
	if value, ok := o.limiters.Load(id); ok {
		return value.(*serverLimiter)
	}
	return nil
}

func (o *Owner) limiter(id fleet.ServerID, now time.Time) *serverLimiter {
	if l := o.existingLimiter(id); l != nil {
		return l
	}
	value, _ := o.limiters.LoadOrStore(id, newServerLimiter(id, now))
	return value.(*serverLimiter)
}

// replaceLimiter returns the limiter that takes the place of a removed one.
func (o *Owner) replaceLimiter(removed *serverLimiter, now time.Time) *serverLimiter {
	o.limiters.CompareAndDelete(removed.id, removed)
	return o.limiter(removed.id, now)
}
