package ratelimit

import (
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// lookahead is the time for whose demand tokens are requested beyond those that requests wait for. It is much shorter
	// than the life of a token, so that few of them expire.
	lookahead = 100 * time.Millisecond
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// maxBatches bounds the grants that a pool holds; older ones are about to expire.
	maxBatches = 16
)

// batch is a number of tokens that were granted together.
type batch struct {
	tokens  int
	expires time.Duration
}

// pool holds the tokens of one customer at this instance.
type pool struct {
	// batches are in the order of their expiry.
	batches []batch
	// demand is the number of requests a second as of at.
	demand float64
	at     time.Duration
	// waiting is the number of requests that wait for a token; changed is closed when a call for tokens has ended.
	waiting int
	changed chan struct{}
	// allocators are those of the customer in order of preference, for the epoch and the limit named here.
	allocators  []fleet.InstanceID
	epoch       uint64
	rate, burst float64
	states      map[fleet.InstanceID]*allocatorState
	// exhaustedSince is when requests began to be refused; 0 while none is.
	exhaustedSince, refusedAt time.Duration
}

// allocatorState is what this instance knows of an allocator's share of one limit.
type allocatorState struct {
	// retryAt is when the allocator may have tokens again.
	retryAt time.Duration
	// calledAt is when the call in progress began.
	calledAt time.Duration
	calling  bool
}

func newPool() *pool {
	return &pool{changed: make(chan struct{}), states: make(map[fleet.InstanceID]*allocatorState)}
}

// observe counts a request.
func (p *pool) observe(now time.Duration) {
	p.demand = p.demandAt(now) + 1/demandTime.Seconds()
	p.at = now
}

func (p *pool) demandAt(now time.Duration) float64 {
	return p.demand * math.Exp(-float64(max(0, now-p.at))/float64(demandTime))
}

// want returns the number of tokens to request.
func (p *pool) want(now time.Duration) int {
	return min(max(1, p.waiting)+int(p.demandAt(now)*lookahead.Seconds()), maxWant)
}

// take takes a token that has not expired.
func (p *pool) take(now time.Duration) (expires time.Duration, ok bool) {
	for len(p.batches) > 0 && (p.batches[0].tokens == 0 || now >= p.batches[0].expires) {
		p.batches = p.batches[1:]
	}
	if len(p.batches) == 0 {
		return 0, false
	}
	p.batches[0].tokens--
	return p.batches[0].expires, true
}

// add adds tokens.
func (p *pool) add(tokens int, expires time.Duration) {
	at := len(p.batches)
	for at > 0 && p.batches[at-1].expires > expires {
		at--
	}
	p.batches = append(p.batches[:at:at], append([]batch{{tokens, expires}}, p.batches[at:]...)...)
	if len(p.batches) > maxBatches {
		p.batches = p.batches[1:]
	}
}

// held returns the number of tokens that have not expired.
func (p *pool) held(now time.Duration) (tokens int) {
	for _, b := range p.batches {
		if now < b.expires {
			tokens += b.tokens
		}
	}
	return tokens
}

// prepare brings the order of the allocators up to date: this instance, then those of its zone, then the others in an
// order that differs between the instances.
func (p *pool) prepare(self directory.Instance, who *customer.Customer, bounds Bounds, assignment *directory.Assignment, count int) {
	if p.epoch == assignment.Epoch && p.rate == who.Rate && p.burst == who.Burst {
		return
	}
	p.epoch, p.rate, p.burst = assignment.Epoch, who.Rate, who.Burst
	members := allocatorsOf(who.Name, assignment.Members, bounds.newShare(who.Rate, who.Burst, count).allocators)
	var near, far []fleet.InstanceID
	own := false
	for _, member := range members {
		switch {
		case member.ID == self.ID:
			own = true
		case member.Zone == self.Zone:
			near = append(near, member.ID)
		default:
			far = append(far, member.ID)
		}
	}
	fleet.SortByWeight(string(self.ID)+"/"+who.Name, near)
	fleet.SortByWeight(string(self.ID)+"/"+who.Name, far)
	p.allocators = append(near, far...)
	if own {
		p.allocators = append([]fleet.InstanceID{self.ID}, p.allocators...)
	}
	p.states = make(map[fleet.InstanceID]*allocatorState, len(p.allocators))
	for _, id := range p.allocators {
		p.states[id] = &allocatorState{}
	}
}
