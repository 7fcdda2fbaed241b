package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// adoptionHold is how long adopted state waits for the claim, which follows the handover by up to a claim
// delay and a few heartbeat rounds.
const adoptionHold = 5 * time.Second

// endingTime is how long after its deadline the transport may keep a call that the server may still work on.
const endingTime = 100 * time.Millisecond

// Handover returns the state of servers that another instance takes over. The caller has given up its
// claim before, so that nothing is sent after the state was read.
func (o *Owner) Handover(servers []fleet.ServerID) []Handed {
	now := time.Now()
	var handed []Handed
	for _, id := range servers {
		if g := o.known(id); g != nil {
			handed = append(handed, g.handed(now))
		}
	}
	return handed
}

func (g *gate) handed(now time.Time) Handed {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	h := Handed{
		Server: g.id, State: g.state, Ramp: g.limit, StartMark: g.startMark,
		ServiceTime: g.mean, Samples: g.samples, InUse: g.inUse,
	}
	if g.inUse == 0 {
		return h
	}
	for _, t := range g.tasks {
		if !t.queued {
			h.Until = max(h.Until, t.part.Deadline.Add(endingTime).Sub(now))
		}
	}
	return h
}

// Adopt takes over the state of servers from their former owner. State that this instance has learnt
// from its own calls is newer and stays.
func (o *Owner) Adopt(handed []Handed) {
	now := time.Now()
	for _, h := range handed {
		g := o.gate(h.Server, now)
		for !g.adopt(now, h) {
			g = o.replaced(g, now)
		}
	}
}

// adopt is false for a gate that was removed meanwhile.
func (g *gate) adopt(now time.Time, h Handed) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.removed {
		return false
	}
	if h.InUse > 0 && h.Until > 0 {
		g.reserved, g.reservedUntil = h.InUse, now.Add(h.Until)
		time.AfterFunc(h.Until, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.pump(time.Now())
		})
	}
	if g.learnt && !g.stale {
		return true
	}
	g.stale = false
	g.adopted = now
	g.limit = max(1, h.Ramp)
	g.startMark = h.StartMark
	g.mean, g.samples = h.ServiceTime, h.Samples
	if h.State == Leaving {
		g.saysLeaving = true
	}
	g.enter(now, h.State, g.reason)
	return true
}

// Refresh applies a new ownership table, fleet view or catalogue: it refuses what is queued for servers
// that get nothing from this instance any more, and starts what has more room now.
func (o *Owner) Refresh() {
	now := time.Now()
	o.gates.Range(func(key, value any) bool {
		_, slots, refusal := o.allowed(key.(fleet.ServerID))
		if value.(*gate).refresh(now, slots, refusal) {
			o.gates.CompareAndDelete(key, value)
		}
		return true
	})
}

// refresh applies the rules to the gate and tells whether it is of no use any more: the server is not
// listed and no call is left.
func (g *gate) refresh(now time.Time, slots int, refusal *verdict.Error) (unused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	if refusal != nil {
		g.stale = refusal != notOwner || now.Sub(g.adopted) >= adoptionHold
		g.refuseQueued(refusal)
		g.removed = refusal == unknownServer && len(g.tasks) == 0 && g.inUse == 0
		return g.removed
	}
	g.renew(now)
	g.pump(now)
	return false
}

// renew starts the ramp again at a server that this instance did not send to for a while, because the
// server may have restarted meanwhile.
func (g *gate) renew(now time.Time) {
	if !g.stale {
		return
	}
	g.stale = false
	g.learnt = false
	if g.state == Leaving {
		return
	}
	g.distress(now, Cold, verdict.Cold)
}

// Hint takes what a server's state endpoint says.
func (o *Owner) Hint(server fleet.ServerID, startMark string, leaving bool) {
	if g := o.known(server); g != nil {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.hint(time.Now(), startMark, leaving)
	}
}
