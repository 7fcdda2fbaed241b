package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/peer"
	"github.com/medlarlatch/medlarlatch/internal/query"
)

// sender sends the parts of the queries that this instance coordinates to the owners of the servers.
type sender struct{ *Instance }

// Send implements query.Sender.
func (s sender) Send(ctx context.Context, owner fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	deliver = traceFromContext(ctx).recordSent(parts, deliver)
	if owner == s.settings.Instance {
		s.owner.Run(ctx, owner, parts, deliver)
		return
	}
	s.node.Send(ctx, owner, parts, deliver)
}

// Cancel implements query.Sender.
func (s sender) Cancel(owner fleet.InstanceID, attempt uint64) {
	if owner == s.settings.Instance {
		s.owner.Cancel(owner, attempt)
		return
	}
	s.node.Cancel(owner, attempt)
}

// forwardedAttemptBit is set in the attempt numbers of forwarded parts. They get new numbers because the coordinator's
// could equal those of this instance's own attempts at the same peer.
const forwardedAttemptBit = 1 << 63

// partsRunner runs the parts that peers send. Parts for servers that another instance owns are forwarded to the owner,
// but at most once. It is safe for concurrent use.
type partsRunner struct {
	instance   *Instance
	inFlight   atomic.Int64
	lastNumber atomic.Uint64

	mutex     sync.Mutex
	forwarded map[attemptKey]forwardedRoute
}

// attemptKey identifies a forwarded attempt by its coordinator and the coordinator's attempt number.
type attemptKey struct {
	from    fleet.InstanceID
	attempt uint64
}

// forwardedRoute is the owner that an attempt was forwarded to, and the attempt number that it has there.
type forwardedRoute struct {
	owner   fleet.InstanceID
	attempt uint64
}

// Run implements peer.PartsRunner.
func (p *partsRunner) Run(ctx context.Context, from fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	p.inFlight.Add(int64(len(parts)))
	counted := func(result query.Result) {
		deliver(result)
		p.inFlight.Add(-1)
	}
	local := parts[:0:0]
	byOwner := make(map[fleet.InstanceID][]query.Part)
	table := p.instance.members.table.Load()
	for _, part := range parts {
		owner, ok := table.Owner(part.Server)
		if ok && owner != p.instance.settings.Instance && !peer.Forwarded(ctx) {
			byOwner[owner] = append(byOwner[owner], part)
			continue
		}
		local = append(local, part) // replica.Owner refuses parts for servers that this instance has not claimed
	}
	if len(local) > 0 {
		p.instance.owner.Run(ctx, from, local, counted)
	}
	for owner, group := range byOwner {
		p.forward(ctx, from, owner, group, counted)
	}
}

// forward sends the parts of group to their owner under new attempt numbers and delivers the results under the
// original ones.
func (p *partsRunner) forward(ctx context.Context, from, owner fleet.InstanceID, group []query.Part, deliver func(query.Result)) {
	original := make(map[uint64]uint64, len(group))
	p.mutex.Lock()
	if p.forwarded == nil {
		p.forwarded = make(map[attemptKey]forwardedRoute)
	}
	for n := range group {
		number := forwardedAttemptBit | p.lastNumber.Add(1)
		original[number] = group[n].Attempt
		p.forwarded[attemptKey{from, group[n].Attempt}] = forwardedRoute{owner, number}
		group[n].Attempt = number
	}
	p.mutex.Unlock()
	p.instance.node.Send(ctx, owner, group, func(result query.Result) {
		result.Attempt = original[result.Attempt]
		p.mutex.Lock()
		delete(p.forwarded, attemptKey{from, result.Attempt})
		p.mutex.Unlock()
		deliver(result)
	})
}

// Cancel implements peer.PartsRunner. A forwarded attempt is cancelled at its owner.
func (p *partsRunner) Cancel(from fleet.InstanceID, attempt uint64) {
	p.mutex.Lock()
	route, ok := p.forwarded[attemptKey{from, attempt}]
	p.mutex.Unlock()
	if ok {
		p.instance.node.Cancel(route.owner, route.attempt)
		return
	}
	p.instance.owner.Cancel(from, attempt)
}

// waitIdle waits until no part of a peer is in progress. It returns the error of ctx if ctx ends first.
func (p *partsRunner) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for p.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
