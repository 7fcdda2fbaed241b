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

// sender sends the parts of this instance's own queries to the owners.
type sender struct{ *Instance }

// Send implements query.Sender.
func (s sender) Send(ctx context.Context, owner fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	deliver = traceOf(ctx).sent(parts, deliver)
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

// forwardedAttempt marks the attempt numbers of forwarded parts, which are numbered anew: the coordinator's
// numbers could be those of this instance's own attempts at the same peer.
const forwardedAttempt = 1 << 63

// parts runs the parts that peers send, and forwards once those that another instance owns.
type parts struct {
	instance *Instance
	inFlight atomic.Int64
	numbers  atomic.Uint64

	mutex     sync.Mutex
	forwarded map[coordinated]route
}

type coordinated struct {
	from    fleet.InstanceID
	attempt uint64
}

type route struct {
	to      fleet.InstanceID
	attempt uint64
}

// Run implements peer.PartsRunner.
func (p *parts) Run(ctx context.Context, from fleet.InstanceID, all []query.Part, deliver func(query.Result)) {
	p.inFlight.Add(int64(len(all)))
	counted := func(result query.Result) {
		deliver(result)
		p.inFlight.Add(-1)
	}
	own := all[:0:0]
	elsewhere := make(map[fleet.InstanceID][]query.Part)
	table := p.instance.members.table.Load()
	for _, part := range all {
		owner, ok := table.Route(part.Server)
		if ok && owner != p.instance.settings.Instance && !peer.Forwarded(ctx) {
			elsewhere[owner] = append(elsewhere[owner], part)
			continue
		}
		own = append(own, part) // the owner refuses what it has not claimed
	}
	if len(own) > 0 {
		p.instance.owner.Run(ctx, from, own, counted)
	}
	for owner, group := range elsewhere {
		p.forward(ctx, from, owner, group, counted)
	}
}

func (p *parts) forward(ctx context.Context, from, owner fleet.InstanceID, group []query.Part, deliver func(query.Result)) {
	original := make(map[uint64]uint64, len(group))
	p.mutex.Lock()
	if p.forwarded == nil {
		p.forwarded = make(map[coordinated]route)
	}
	for n := range group {
		number := forwardedAttempt | p.numbers.Add(1)
		original[number] = group[n].Attempt
		p.forwarded[coordinated{from, group[n].Attempt}] = route{owner, number}
		group[n].Attempt = number
	}
	p.mutex.Unlock()
	p.instance.node.Send(ctx, owner, group, func(result query.Result) {
		result.Attempt = original[result.Attempt]
		p.mutex.Lock()
		delete(p.forwarded, coordinated{from, result.Attempt})
		p.mutex.Unlock()
		deliver(result)
	})
}

// Cancel implements peer.PartsRunner.
func (p *parts) Cancel(from fleet.InstanceID, attempt uint64) {
	p.mutex.Lock()
	to, ok := p.forwarded[coordinated{from, attempt}]
	p.mutex.Unlock()
	if ok {
		p.instance.node.Cancel(to.to, to.attempt)
		return
	}
	p.instance.owner.Cancel(from, attempt)
}

// wait returns when no part of a peer is in progress.
func (p *parts) wait(ctx context.Context) error {
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
