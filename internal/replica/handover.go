package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// adoptedStateTTL is how long adopted state stays valid without a claim. The claim follows the handover by up to
// fleet.ClaimDelay and a few heartbeat rounds.
const adoptedStateTTL = 5 * time.Second

// maxDeadlineOverrun is how long after its deadline a call may still be held by the transport, while the server may
// still work on it.
const maxDeadlineOverrun = 100 * time.Millisecond

// Handover returns the state of servers that another instance takes over. The caller must have given up its claims to
// them before, so that nothing is sent after the state has been read.
func (o *Owner) Handover(servers []fleet.ServerID) []HandoverState {
	now := time.Now()
	var states []HandoverState
	for _, id := range servers {
		if l := o.existingLimiter(id); l != nil {
			states = append(states, l.handoverState(now))
		}
	}
	return states
}

func (l *serverLimiter) handoverState(now time.Time) HandoverState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := HandoverState{
		Server: l.id, State: l.state, Ramp: l.limit, StartMark: l.startMark,
		ServiceTime: l.meanServiceTime, Samples: l.samples, InUse: l.inUse,
	}
	if l.inUse == 0 {
		return h
	}
	for _, t := range l.tasks {
		if !t.queued {
			h.Until = max(h.Until, t.part.Deadline.Add(maxDeadlineOverrun).Sub(now))
		}
	}
	return h
}

// Adopt takes over the state of servers from their previous owner. State that this instance has learnt from calls of
// its own is newer and is kept.
func (o *Owner) Adopt(states []HandoverState) {
	now := time.Now()
	for _, h := range states {
		l := o.limiter(h.Server, now)
		for !l.adopt(now, h) {
			l = o.replaceLimiter(l, now)
		}
	}
}

// adopt applies the state of the previous owner. It reports false if the limiter has been removed meanwhile.
func (l *serverLimiter) adopt(now time.Time, h HandoverState) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.removed {
		return false
	}
	if h.InUse > 0 && h.Until > 0 {
		l.reservedSlots, l.reservedUntil = h.InUse, now.Add(h.Until)
		time.AfterFunc(h.Until, func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.dispatch(time.Now())
		})
	}
	if l.hasOutcome && !l.stale {
		return true
	}
	l.stale = false
	l.adoptedAt = now
	l.limit = max(1, h.Ramp)
	l.startMark = h.StartMark
	l.meanServiceTime, l.samples = h.ServiceTime, h.Samples
	if h.State == Leaving {
		l.reportedLeaving = true
	}
	l.setState(now, h.State, l.reason)
	return true
}

// Refresh applies a new ownership table, fleet view or catalogue. It refuses the parts queued for servers that this
// instance may no longer send to, and starts queued parts for which slots have become available.
func (o *Owner) Refresh() {
	now := time.Now()
	o.limiters.Range(func(key, value any) bool {
		_, slots, refusal := o.checkPolicy(key.(fleet.ServerID))
		if value.(*serverLimiter).refresh(now, slots, refusal) {
			o.limiters.CompareAndDelete(key, value)
		}
		return true
	})
}

// refresh applies the current number of slots, or the refusal that holds for every part to the server. It reports
// whether the limiter is no longer needed: the server is not listed and no call is left.
func (l *serverLimiter) refresh(now time.Time, slots int, refusal *verdict.Error) (unused bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.slots = slots
	if refusal != nil {
		l.stale = refusal != errNotOwner || now.Sub(l.adoptedAt) >= adoptedStateTTL
		l.refuseQueued(refusal)
		l.removed = refusal == errUnknownServer && len(l.tasks) == 0 && l.inUse == 0
		return l.removed
	}
	l.resetIfStale(now)
	l.dispatch(now)
	return false
}

// resetIfStale resets the ramp of a server that this instance could not send to for a while, because the server may
// have restarted meanwhile.
func (l *serverLimiter) resetIfStale(now time.Time) {
	if !l.stale {
		return
	}
	l.stale = false
	l.hasOutcome = false
	if l.state == Leaving {
		return
	}
	l.resetRamp(now, Cold, verdict.Cold)
}

// ApplyStateHint applies what a server's state endpoint returned.
func (o *Owner) ApplyStateHint(server fleet.ServerID, startMark string, leaving bool) {
	if l := o.existingLimiter(server); l != nil {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.applyStateHint(time.Now(), startMark, leaving)
	}
}
