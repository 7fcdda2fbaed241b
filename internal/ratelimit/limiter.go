package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// downTime is how long an allocator that did not answer is asked only if no other one is left.
	downTime = 500 * time.Millisecond
	// poolIdleTime is how long the pool of a customer without requests is kept.
	poolIdleTime = 30 * time.Second
	// exhaustedTime is the time without a refusal after which a customer counts as within its limit again.
	exhaustedTime = 5 * time.Second
	// sweepInterval is the time between two removals of idle state; observeInterval between two looks at the store's age.
	sweepInterval, observeInterval = 10 * time.Second, 250 * time.Millisecond
)

// PeerClient calls a method of another instance.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, into any) error
}

// Options are the dependencies of a Limiter.
type Options struct {
	Self   directory.Instance
	Bounds Bounds
	Peers  PeerClient
	// Store holds the assignment.
	Store AssignmentStore
	// FirstStart is set if no earlier process of this instance can have granted tokens.
	FirstStart bool
	// Clock is a clock that is never set and runs on while the machine is suspended.
	Clock func() time.Duration
	// LastStoreContact returns when the store was last heard, directly or through another instance.
	LastStoreContact func() time.Time
}

// Counters count since the start of the process.
type Counters struct {
	// Admitted and Refused are requests of limited customers; Returned are tokens of requests that reached no replica.
	Admitted, Refused, Returned atomic.Int64
	// Calls are calls to allocators, FailedCalls those without an answer, and Granted the tokens that this instance has
	// granted.
	Calls, FailedCalls, Granted atomic.Int64
}

// Limiter admits the requests of limited customers at one instance, and is an allocator of some of them. It is safe for
// concurrent use.
type Limiter struct {
	Options
	allocator *allocator
	counters  Counters
	keeper    *keeper
	contact   storeContact

	mutex     sync.Mutex
	customers *customer.Registry
	limited   bool
	addresses map[fleet.InstanceID]string
	pools     map[string]*pool
	queues    map[fleet.InstanceID]*queue
	downUntil map[fleet.InstanceID]time.Duration
	// callTime is the mean time of a call.
	callTime time.Duration
}

// New returns a limiter that knows no assignment and refuses the requests of limited customers until it does.
func New(options Options) *Limiter {
	now := options.Clock()
	return &Limiter{
		Options: options, allocator: newAllocator(options.Self.ID, options.Bounds, options.FirstStart, now), keeper: newKeeper(options.Self.ID, options.Store),
		addresses: make(map[fleet.InstanceID]string), pools: make(map[string]*pool), queues: make(map[fleet.InstanceID]*queue),
		downUntil: make(map[fleet.InstanceID]time.Duration),
	}
}

// Counters returns the counters, which continue to change.
func (l *Limiter) Counters() *Counters { return &l.counters }

// SetView puts the customers, the instances and the assignment of a view into effect.
func (l *Limiter) SetView(view *directory.View) {
	now := l.Clock()
	if l.allocator.setAssignment(view.Assignment, now) {
		klog.InfoS("Allocators of customers' limits assigned", "epoch", view.Assignment.Epoch, "members", len(view.Assignment.Members), "previous", len(view.Assignment.Previous))
	}
	addresses := make(map[fleet.InstanceID]string, len(view.Instances))
	for _, instance := range view.Instances {
		addresses[instance.ID] = instance.PeerAddress
	}
	customers := view.Table.Customers()
	limited := false
	for i := range customers.All() {
		limited = limited || customers.All()[i].Limited()
	}
	l.mutex.Lock()
	l.customers, l.limited, l.addresses = customers, limited, addresses
	l.mutex.Unlock()
	if limited {
		l.allocator.wantGrace(now)
	}
	l.keeper.setInstances(view.Instances, now)
}

// StoreRestored makes the limiter write the assignment again if the store has lost it. It never blocks.
func (l *Limiter) StoreRestored() { l.keeper.restored.Store(true) }

// Token is the right to send one request of a customer. The zero value is that of a customer without a limit.
type Token struct {
	customer string
	expires  time.Duration
}

// Admit takes a token for a request of the customer. It waits for at most the given time for the answers of allocators.
// Without a token it returns false, and the time after which there may be one.
func (l *Limiter) Admit(ctx context.Context, who *customer.Customer, within time.Duration) (Token, time.Duration, bool) {
	if !who.Limited() {
		return Token{}, 0, true
	}
	assignment, count, _ := l.allocator.current()
	if assignment == nil {
		l.counters.Refused.Add(1)
		return Token{}, maxRetry, false
	}
	now := l.Clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.pools[who.Name]
	if p == nil {
		p = newPool()
		l.pools[who.Name] = p
	}
	p.prepare(l.Self, who, l.Bounds, assignment, count)
	p.observe(now)
	p.waiting++
	defer func() { p.waiting-- }()
	until := now + within
	for {
		if expires, ok := p.take(now); ok {
			l.counters.Admitted.Add(1)
			return Token{who.Name, expires}, 0, true
		}
		patience := within / 3
		calling := l.request(p, who, assignment.Epoch, patience, until, now)
		if p.held(now) > 0 {
			continue
		}
		if calling && now < until && ctx.Err() == nil {
			now = l.wait(ctx, p, min(patience, until-now))
			continue
		}
		return Token{}, l.refuse(p, who, now), false
	}
}

// request asks the preferred allocator that may have tokens, unless one was asked so recently that its answer is worth
// waiting for. Only one is asked at a time, and none whose answer would come too late, because tokens that are not used
// here are missing elsewhere. It reports whether any call is in progress.
func (l *Limiter) request(p *pool, who *customer.Customer, epoch uint64, patience, until, now time.Duration) (calling bool) {
	for _, pass := range []bool{false, true} { // those that did not answer are asked last
		for _, id := range p.allocators {
			state := p.states[id]
			switch {
			case state.calling:
				calling = true
				if now-state.calledAt < patience {
					return true
				}
			case now < state.retryAt || (now < l.downUntil[id]) != pass:
				continue
			case id == l.Self.ID:
				granted, next := l.allocator.grant(who, id, epoch, p.want(now), now)
				l.counters.Granted.Add(int64(granted))
				l.receive(p, state, granted, next, now, now)
				if granted > 0 {
					return calling
				}
				continue
			case l.addresses[id] == "" && !pass, now+l.callTime*3/2 > until:
				continue
			case l.addresses[id] == "":
				state.retryAt = now + downTime
				continue
			default:
				state.calling, state.calledAt = true, now
				l.enqueue(id, who.Name, p.want(now))
				return true
			}
		}
	}
	return calling
}

// receive adds the tokens of an answer to the pool. The call was sent at the given time.
func (l *Limiter) receive(p *pool, state *allocatorState, granted int, next, sent, now time.Duration) {
	state.calling = false
	if granted > 0 {
		p.add(granted, sent+l.Bounds.tokenTTL())
	}
	if next > 0 {
		state.retryAt = now + next
	}
}

// wait releases the mutex until a call of the pool has ended, or for the longest time.
func (l *Limiter) wait(ctx context.Context, p *pool, longest time.Duration) (now time.Duration) {
	changed := p.changed
	l.mutex.Unlock()
	defer l.mutex.Lock()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.Clock()
}

// refuse counts a refusal and returns the time after which an allocator may have tokens.
func (l *Limiter) refuse(p *pool, who *customer.Customer, now time.Duration) time.Duration {
	l.counters.Refused.Add(1)
	if p.exhaustedSince == 0 {
		p.exhaustedSince = now
		klog.InfoS("Customer has no requests left", "customer", who.Name, "rate", who.Rate, "burst", who.Burst, "demand", p.demandAt(now))
	}
	p.refusedAt = now
	wait := maxRetry
	for _, id := range p.allocators {
		if until := p.states[id].retryAt - now; until < wait {
			wait = until
		}
	}
	return max(wait, minRetry)
}

// Return gives back the token of a request that reached no replica.
func (l *Limiter) Return(token Token) {
	if token.customer == "" {
		return
	}
	now := l.Clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if p := l.pools[token.customer]; p != nil && now < token.expires {
		p.add(1, token.expires)
		l.counters.Returned.Add(1)
	}
}

// Run keeps the assignment and removes idle state until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	swept := l.Clock()
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { l.confirmEpoch(ctx) })
	others.Go(func() { l.claimGrace(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := l.Clock()
		l.mutex.Lock()
		limited := l.limited
		l.mutex.Unlock()
		if at, known := l.contact.observe(now, time.Now(), l.LastStoreContact()); known {
			l.allocator.heard(at)
		}
		if limited {
			assignment, _, learnedAt := l.allocator.current()
			l.keeper.step(ctx, assignment, learnedAt, now)
		}
		if now-swept >= sweepInterval {
			swept = now
			l.sweep(now)
		}
	}
}

// sweep removes the state of customers without requests.
func (l *Limiter) sweep(now time.Duration) {
	l.allocator.forgetFull(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, p := range l.pools {
		if p.exhaustedSince != 0 && now-p.refusedAt >= exhaustedTime {
			klog.InfoS("Customer has requests left again", "customer", name, "after", now-p.exhaustedSince)
			p.exhaustedSince = 0
		}
		if p.waiting == 0 && p.exhaustedSince == 0 && now-p.at >= poolIdleTime {
			delete(l.pools, name)
		}
	}
}

// State describes a limiter for the metrics.
type State struct {
	// Epoch is that of the assignment; 0 if none is known. Members is the number of instances that it names.
	Epoch   uint64
	Members int
	// Held is the number of tokens here, Allocated the number of customers of whose limits this instance has granted
	// tokens lately, and Exhausted the number of customers that were refused lately.
	Held, Allocated, Exhausted int
}

// State returns the current state.
func (l *Limiter) State() (s State) {
	now := l.Clock()
	s.Allocated = l.allocator.forgetFull(now)
	if assignment, _, _ := l.allocator.current(); assignment != nil {
		s.Epoch, s.Members = assignment.Epoch, len(assignment.Members)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, p := range l.pools {
		s.Held += p.held(now)
		if p.exhaustedSince != 0 {
			s.Exhausted++
		}
	}
	return s
}

// storeContact converts the time of the last contact with the store to the clock that runs on while the machine is
// suspended.
type storeContact struct {
	clock time.Duration
	wall  time.Time
	// resumedAt is when a suspension was noticed. How old an earlier contact is cannot be told.
	resumedAt time.Time
}

// observe returns when the store was last heard, as a time of the clock, if that can be told.
func (s *storeContact) observe(clock time.Duration, wall, contact time.Time) (at time.Duration, known bool) {
	if !s.wall.IsZero() && clock-s.clock-wall.Sub(s.wall) > observeInterval {
		s.resumedAt = wall
	}
	s.clock, s.wall = clock, wall
	if contact.IsZero() || !contact.After(s.resumedAt) {
		return 0, false
	}
	return clock - wall.Sub(contact), true
}
