package lookup

import (
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// suspicionOf returns the standing of the request for the services; of a held request it returns the refusal.
func (e *Engine) suspicionOf(request *Request, services []fleet.ServiceID, now time.Time) (quarantine.Standing, *verdict.Error) {
	if e.quarantine.Empty() || request.Fingerprint == nil {
		return quarantine.Unsuspected, nil
	}
	standing, until := e.quarantine.Standing(request.fingerprint(), services, now)
	if standing == quarantine.Held {
		return standing, quarantinedError(verdict.NotRun, until.Sub(now))
	}
	return standing, nil
}

// quarantinedError is the refusal of a request that is held until its next trial after the given time.
func quarantinedError(ran verdict.Verdict, untilTrial time.Duration) *verdict.Error {
	return verdict.New(ran, verdict.Quarantined, "replicas crashed while they ran this request").WithRetryAfter(max(untilTrial, unavailableRetryAfter))
}

// canaryTurns holds, for each suspected request that is being sent to one replica, a channel that is closed when
// another one with the same fingerprint may be. It is safe for concurrent use.
type canaryTurns struct {
	mutex   sync.Mutex
	running map[quarantine.Fingerprint]chan struct{}
}

// begin reports whether no other request with the fingerprint is being tried, and if so counts this one as such until
// end. Otherwise it returns the channel that is closed at its end.
func (r *canaryTurns) begin(identity quarantine.Fingerprint) (ended <-chan struct{}, begun bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if running, found := r.running[identity]; found {
		return running, false
	}
	if r.running == nil {
		r.running = make(map[quarantine.Fingerprint]chan struct{})
	}
	r.running[identity] = make(chan struct{})
	return nil, true
}

func (r *canaryTurns) end(identity quarantine.Fingerprint) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	close(r.running[identity])
	delete(r.running, identity)
}

// releaseCanary lets the next request with the fingerprint be tried, here or at another instance.
func (e *Engine) releaseCanary(identity quarantine.Fingerprint) {
	e.quarantine.Unclaim(identity)
	e.canaryTurns.end(identity)
}

// canary is the state of a suspected request. Until a replica has answered the request it is sent to one replica at a time.
type canary struct {
	// active is set until a replica has answered the request.
	active bool
	// crashes is the number of replicas that crashed before one has answered.
	crashes int
	// turn is set if the request counts as the one with its fingerprint that is being tried; otherwise turnEnds is closed
	// when it may be.
	turn     bool
	turnEnds <-chan struct{}
	// send is the send to that replica; nil while there is none. sends counts them.
	send  *replicaSend
	sends int
	// cautious is set if nothing is known against the request, but other requests have lately crashed replicas.
	cautious bool
	// failed is set if no replica is left to try, or if it was not the request's turn for too long.
	failed bool
}

// inProgress reports whether the canary send has no outcome yet.
func (c *canary) inProgress() bool { return c.send != nil && !c.send.ended }

const (
	// maxCanarySends bounds the canary sends of one request, including those that replicas rejected.
	maxCanarySends = 6
	// maxCanaryWait is how long a request of which nothing was sent waits for its turn: a few tries of others.
	maxCanaryWait = 250 * time.Millisecond
	// maxUnansweredCrashes is the number of crashes without an answer after which the sends in flight are abandoned: they
	// may still wait in the queues of replicas.
	maxUnansweredCrashes = 3
	// crashSettleTime is the time without a crash before a suspected request is sent to a replica. Replicas that crash at
	// the same time are crashed by the same request, and must not be held against another one.
	crashSettleTime = 50 * time.Millisecond
)

// holdBack handles a part that was lost with its replica before any replica has answered the request: nothing further is
// sent until one does, or until it is the request's turn to be tried at one replica.
func (f *fanout) holdBack(now time.Time) {
	f.canary.active = true
	f.canary.crashes++
	if f.canary.crashes == maxUnansweredCrashes {
		f.abandonSends()
	}
	f.advanceCanary(now)
}

// abandonSends cancels the sends that are in flight.
func (f *fanout) abandonSends() {
	f.cancelSends()
	for i := range f.parts {
		for _, send := range f.parts[i].sends {
			if !send.ended {
				send.ended, send.abandoned = true, true
				f.parts[i].reachedReplica = true
			}
		}
	}
	f.openSends()
}

// inFlight reports whether the request waits for a send.
func (f *fanout) inFlight() bool {
	return slices.ContainsFunc(f.parts, func(p part) bool { return p.inFlight() })
}

// advanceCanary sends the request to the next replica when it is its turn and no answer can arrive any more.
func (f *fanout) advanceCanary(now time.Time) {
	c := &f.canary
	if !c.active || c.failed || f.held || f.inFlight() {
		return
	}
	standing := f.engine.quarantine.Peek(f.request.fingerprint(), f.request.Route.Shards, now)
	switch {
	case standing == quarantine.Unsuspected && !c.cautious: // cleared by another request
		f.endCanary(now)
		return
	case c.cautious && c.sends > 0 && standing != quarantine.Unsuspected:
		c.failed = true // others of its kind would crash a replica for each try
		return
	case standing == quarantine.Held && f.standing != quarantine.OnTrial:
		f.held = true
		return
	case f.trace.Sends == 0 && now.Sub(f.request.ArrivedAt) > maxCanaryWait:
		c.failed = true
		return
	case !c.turn && c.turnEnds == nil:
		c.turnEnds, c.turn = f.engine.canaryTurns.begin(f.request.fingerprint())
	}
	settled := c.cautious || now.Sub(f.engine.lastCrash()) >= crashSettleTime
	if c.turn && (f.standing == quarantine.OnTrial || f.engine.quarantine.Claim(f.request.fingerprint(), now)) && settled {
		c.failed = !f.sendCanary(now)
	}
}

// sendCanary sends one part and reports whether it did. It prefers shards that keep another replica if this one crashes,
// and of these the ones of which a replica has crashed. If no shard does, it sends nothing unless the route keeps enough
// shards for its floor.
func (f *fanout) sendCanary(now time.Time) bool {
	crashed := f.engine.quarantine.CrashedServices(f.request.fingerprint())
	view := f.engine.view.Load()
	spare := view.shardCounts(f.request.Route, now).expected() > f.required
	start := int(f.engine.selections.Add(1) * 0x9e3779b97f4a7c15 >> 33 % uint64(len(f.parts)))
	for _, wanted := range []struct{ redundant, crashed bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		if !wanted.redundant && !spare {
			break
		}
		for k := range f.parts {
			at := (start + k) % len(f.parts)
			p := &f.parts[at]
			if crashed[p.service] == wanted.crashed && view.groups[p.service].isRedundant(f.request.Route, now) == wanted.redundant && f.trySendCanary(at, now) {
				return true
			}
		}
	}
	return false
}

// isRedundant reports whether two replicas of the group that the route allows are expected to answer. The group may be
// nil.
func (g *replicaGroup) isRedundant(route *routing.Route, now time.Time) bool {
	count := 0
	if g != nil {
		for i := range g.members {
			if route.Allows(g.members[i].Region) && g.members[i].health.availability(now) != unavailable {
				count++
			}
		}
	}
	return count > 1
}

func (f *fanout) trySendCanary(at int, now time.Time) bool {
	p := &f.parts[at]
	attempts := f.request.maxAttempts()
	if p.answer != nil || p.failed || p.possibleRuns >= attempts || len(p.sends) >= attempts+maxUnrunSends || f.canary.sends >= maxCanarySends {
		return false
	}
	chosen, g := f.engine.choose(f.request.Route, p.service, f.engine.suspectedAt(p.service), true, f.expected, now)
	if chosen == nil {
		return false
	}
	paidFrom, ok := f.takeBudget(p, g, now)
	if !ok {
		return false
	}
	f.canary.send = f.sendSuspected(at, chosen, g, paidFrom, now)
	f.canary.sends++
	return true
}

// suspectedAt returns the replicas of the service at which this instance has a suspected request in progress. If one of
// them crashes with two of these, it is not known which one is to blame.
func (e *Engine) suspectedAt(service fleet.ServiceID) (replicas []*replicaHealth) {
	g := e.view.Load().groups[service]
	if g == nil {
		return nil
	}
	for i := range g.members {
		if health := g.members[i].health; health.suspectedSends.Load() > 0 {
			replicas = append(replicas, health)
		}
	}
	return replicas
}

// endCanaryAfterAnswer sends the parts that are left, if the request waits for its canary.
func (f *fanout) endCanaryAfterAnswer(now time.Time) {
	if f.canary.active {
		f.endCanary(now)
	}
}

// endCanary sends the parts that are left as usual, after a replica has answered the request.
func (f *fanout) endCanary(now time.Time) {
	f.releaseTurn()
	f.canary = canary{}
	for i := range f.parts {
		p := &f.parts[i]
		switch {
		case p.answer != nil || p.failed || p.inFlight():
		case len(p.sends) == 0:
			f.startPart(i, now)
		default:
			p.tried, p.retryAt = p.tried[:0], time.Time{}
			f.retry(i, now)
		}
	}
}

// releaseTurn lets the next request with the same fingerprint be tried.
func (f *fanout) releaseTurn() {
	if f.canary.turn {
		f.canary.turn = false
		f.engine.releaseCanary(f.request.fingerprint())
	}
}
