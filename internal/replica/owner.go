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

// Dependencies are what an Owner needs. The functions are called on the request path from many
// goroutines; they read immutable views and do not block.
type Dependencies struct {
	Self      fleet.InstanceID
	Transport Transport
	// Claim returns what this instance may use of a server; false if it may not send to it now.
	Claim func(fleet.ServerID) (slots, connections int, ok bool)
	// Server returns a server of the fleet view.
	Server func(fleet.ServerID) (fleet.Server, bool)
	// Fresh tells whether the last completed heartbeat round is young enough to send.
	Fresh func() bool
	// Catalogue returns the catalogue in force.
	Catalogue func() catalogue.Catalogue
	// Random makes the prefix of request ids unique over the fleet and over restarts.
	Random rand.Source
	// Go runs a part on another goroutine and returns at once; nil means a new goroutine for each part.
	Go func(work func())
}

// Owner runs parts at the servers that this instance owns.
type Owner struct {
	Dependencies
	prefix  string
	counter atomic.Uint64
	// gates maps fleet.ServerID to *gate; reads take no lock.
	gates sync.Map
}

// New returns an owner without any state of its servers: each starts cold.
func New(dependencies Dependencies) *Owner {
	if dependencies.Go == nil {
		dependencies.Go = func(work func()) { go work() }
	}
	return &Owner{
		Dependencies: dependencies,
		prefix:       fmt.Sprintf("%s-%016x-", dependencies.Self, dependencies.Random.Uint64()),
	}
}

// Run starts the parts that a coordinator sent and returns at once. It calls deliver exactly once for
// each part, from another goroutine. When ctx is done the parts still in flight are cancelled.
func (o *Owner) Run(ctx context.Context, from fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	var refused []query.Result
	for _, part := range parts {
		t := &task{part: part, from: from, deliver: deliver}
		g, refusal := o.accept(ctx, time.Now(), t)
		if refusal != nil {
			refused = append(refused, o.refusal(g, t, refusal))
			continue
		}
		o.Go(func() { o.run(g, t) })
	}
	if len(refused) > 0 {
		go func() {
			for _, result := range refused {
				deliver(result)
			}
		}()
	}
}

// Cancel gives up one part of a coordinator. A part in flight keeps its slot until the transport returns.
func (o *Owner) Cancel(from fleet.InstanceID, number uint64) {
	o.gates.Range(func(_, value any) bool {
		g := value.(*gate)
		g.mutex.Lock()
		t, ok := g.tasks[attempt{from, number}]
		g.mutex.Unlock()
		if ok {
			t.cancel()
		}
		return !ok
	})
}

// Servers returns the state of all servers in the order of their names.
func (o *Owner) Servers() []Status {
	now := time.Now()
	var all []Status
	o.gates.Range(func(_, value any) bool {
		all = append(all, value.(*gate).status(now))
		return true
	})
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// accept admits the task or returns its refusal, with the server's gate if there is one.
func (o *Owner) accept(ctx context.Context, now time.Time, t *task) (*gate, *verdict.Error) {
	server, slots, refusal := o.check(t.part.Server)
	if refusal != nil {
		return o.known(t.part.Server), refusal
	}
	if !now.Before(t.part.Deadline) {
		return o.known(t.part.Server), deadlinePassed
	}
	if service, ok := o.Catalogue().Service(t.part.Service); ok {
		t.class, t.expected = service.Class, service.LatencyObjective
	}
	t.ctx, t.cancel = context.WithDeadline(ctx, t.part.Deadline)
	g := o.gate(t.part.Server, now)
	refusal = g.decide(now, t, server.Address, slots)
	for refusal == gateRemoved {
		g = o.replaced(g, now)
		refusal = g.decide(now, t, server.Address, slots)
	}
	if refusal != nil {
		t.cancel()
	}
	return g, refusal
}

// decide is the decision under the server's lock.
func (g *gate) decide(now time.Time, t *task, address string, slots int) *verdict.Error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.removed {
		return gateRemoved
	}
	g.slots = slots
	g.renew(now)
	if g.address != address {
		if g.address != "" {
			g.restarted(now, "")
		}
		g.address = address
	}
	if g.saysLeaving {
		return leaving
	}
	return g.admit(now, t)
}

// check applies the rules that do not depend on the server's load. It returns the server and the slots
// to use.
func (o *Owner) check(id fleet.ServerID) (fleet.Server, int, *verdict.Error) {
	server, slots, refusal := o.allowed(id)
	if refusal == nil && !o.Fresh() {
		refusal = fenced
	}
	return server, slots, refusal
}

// allowed is check without the fence.
func (o *Owner) allowed(id fleet.ServerID) (fleet.Server, int, *verdict.Error) {
	server, ok := o.Server(id)
	if !ok {
		return server, 0, unknownServer
	}
	if server.Leaving {
		return server, 0, leaving
	}
	inForce := o.Catalogue()
	if inForce.ZoneOut(server.Zone) {
		return server, 0, zoneOut
	}
	if inForce.InstanceOut(fleet.InstanceID(id)) {
		return server, 0, instanceOut
	}
	slots, _, ok := o.Claim(id)
	if !ok {
		return server, 0, notOwner
	}
	return server, slots, nil
}

// run takes an admitted task through the queue and the transport to its result.
func (o *Owner) run(g *gate, t *task) {
	defer t.cancel()
	if refusal := g.await(t); refusal != nil {
		g.drop(t)
		t.deliver(o.refusal(g, t, refusal))
		return
	}
	call := Call{
		RequestID: o.prefix + strconv.FormatUint(o.counter.Add(1), 10), Service: t.part.Service, Shard: t.part.Shard,
		Version: t.part.Version, Deadline: t.part.Deadline, Idempotent: t.part.Idempotent, Query: t.part.Query,
		Permitted: o.Fresh,
	}
	server, refusal := o.recheck(g, t)
	if refusal != nil {
		g.release(time.Now(), t)
		t.deliver(o.refusal(g, t, refusal))
		return
	}
	// The transport repeats this check directly before the write; here it spares a fenced process the connection.
	if !o.Fresh() {
		g.release(time.Now(), t)
		t.deliver(o.refusal(g, t, fenced))
		return
	}
	begun := time.Now()
	reply, err := o.Transport.Do(t.ctx, server, call)
	t.deliver(g.finish(begun, t, reply, err))
}

// await waits until the task has a slot.
func (g *gate) await(t *task) *verdict.Error {
	if t.settled == nil {
		return nil
	}
	timer := time.NewTimer(t.patience)
	defer timer.Stop()
	refusal := overloaded
	select {
	case settled := <-t.settled:
		return settled
	case <-timer.C:
	case <-t.ctx.Done():
		refusal = ended(t.ctx)
	}
	if g.abandon(t) {
		return refusal
	}
	return <-t.settled
}

// recheck repeats the rules after the queue, where views may have changed.
func (o *Owner) recheck(g *gate, t *task) (fleet.Server, *verdict.Error) {
	if t.ctx.Err() != nil {
		return fleet.Server{}, ended(t.ctx)
	}
	server, _, refusal := o.check(t.part.Server)
	if refusal != nil {
		return server, refusal
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.saysLeaving {
		return server, leaving
	}
	return server, nil
}

// drop forgets a task that never had a slot.
func (g *gate) drop(t *task) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(t)
}

// release returns the slot of a task that was not sent.
func (g *gate) release(now time.Time, t *task) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(t)
	g.inUse--
	g.pump(now)
}

// finish records the outcome of a call, returns its slot and composes the result.
func (g *gate) finish(begun time.Time, t *task, reply Reply, err error) query.Result {
	now := time.Now()
	elapsed := now.Sub(begun)
	failure := failureOf(err)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(t)
	g.inUse--
	g.learnt = true
	if failure == nil {
		g.succeeded(now, t.epoch, elapsed, reply, g.slots)
		g.held = reply.Held
	} else {
		g.failed(now, t.epoch, elapsed, failure.Reason, t.ctx.Err() != nil)
	}
	if g.saysLeaving {
		g.refuseQueued(leaving)
	}
	g.pump(now)
	result := g.result(now, t)
	result.Elapsed = elapsed
	result.Err = failure
	if failure == nil {
		result.Rows = reply.Rows
		result.Held = reply.Held
		result.Leaving = g.saysLeaving || reply.Leaving
	}
	return result
}

// result composes what every result of this server carries. The caller holds the lock.
func (g *gate) result(now time.Time, t *task) query.Result {
	return query.Result{
		Attempt: t.part.Attempt, Shard: t.part.Shard, Server: t.part.Server, Version: t.part.Version,
		Leaving: g.saysLeaving, Warm: g.state == Warm, Wait: g.wait(now, t.class, t.expected),
	}
}

// refusal composes the result of a part that was not sent.
func (o *Owner) refusal(g *gate, t *task, refusal *verdict.Error) query.Result {
	result := query.Result{
		Attempt: t.part.Attempt, Shard: t.part.Shard, Server: t.part.Server, Version: t.part.Version,
	}
	if g != nil {
		g.mutex.Lock()
		result = g.result(time.Now(), t)
		result.Held = slices.Clone(g.held)
		g.mutex.Unlock()
	}
	result.Err = refusal
	return result
}

func (o *Owner) known(id fleet.ServerID) *gate {
	if value, ok := o.gates.Load(id); ok {
		return value.(*gate)
	}
	return nil
}

func (o *Owner) gate(id fleet.ServerID, now time.Time) *gate {
	if g := o.known(id); g != nil {
		return g
	}
	value, _ := o.gates.LoadOrStore(id, newGate(id, now))
	return value.(*gate)
}

// replaced returns the gate that takes the place of a removed one.
func (o *Owner) replaced(removed *gate, now time.Time) *gate {
	o.gates.CompareAndDelete(removed.id, removed)
	return o.gate(removed.id, now)
}
