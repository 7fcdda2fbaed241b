package lookup

import (
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// start sends the parts for the first time and reports whether it did. Requests that need request limits are started
// one after the other: two that found the same tokens would each get some of them and miss their floors.
func (f *fanout) start(now time.Time) bool {
	if f.limited && !f.trial {
		f.limiter.startMutex.Lock()
		defer f.limiter.startMutex.Unlock()
		if startAt, refusal := f.checkReachable(now); refusal != nil || startAt.After(now) {
			return false
		}
	}
	f.started = now
	f.canary.cautious = f.standing == quarantine.Unsuspected && f.request.Fingerprint != nil && f.engine.quarantine.Cautious(f.request.Route.Shards, now)
	if f.standing != quarantine.Unsuspected || f.canary.cautious {
		crashed := f.engine.quarantine.CrashedServices(f.request.fingerprint())
		for i := range f.parts {
			f.parts[i].service = f.request.Route.Shards[i]
			f.parts[i].suspected = crashed[f.parts[i].service]
		}
		f.canary.active = true
		f.advanceCanary(now)
		return true
	}
	for i := range f.parts {
		f.startPart(i, now)
	}
	return true
}

// countRequest counts the request in the budgets of its shards.
func (f *fanout) countRequest(now time.Time) {
	view, allowed := f.engine.view.Load(), f.engine.allowance(now)
	for _, service := range f.request.Route.Shards {
		if g := view.groups[service]; g != nil {
			g.budget.countRequest(now, allowed)
		}
	}
}

// waitUntilReachable waits until the request can most likely reach its floor, and refuses it if it cannot or would have
// to wait for too long.
func (f *fanout) waitUntilReachable() *verdict.Error {
	for {
		now := time.Now()
		startAt, refusal := f.checkReachable(now)
		if refusal != nil || !startAt.After(now) {
			return refusal
		}
		timer := time.NewTimer(startAt.Sub(now))
		select {
		case <-timer.C:
		case <-f.ctx.Done():
			timer.Stop()
			return f.cancelledError()
		}
	}
}

// checkReachable returns when to start the request, or refuses it before any part is sent if it most likely cannot
// reach its floor. This is the case when this instance is isolated from the other zones, or when all replicas of some
// shards are down, have asked for a pause or have used up their request limits: waiting would only delay the caller's
// retry at another instance.
func (f *fanout) checkReachable(now time.Time) (startAt time.Time, refusal *verdict.Error) {
	view := f.engine.view.Load()
	counts := view.shardCounts(f.request.Route, now)
	f.limited = counts.limited()
	if counts.permitted() >= f.required {
		return now, nil
	}
	if from, ok := view.floorPermittedAt(f.request.Route, f.required, now); ok {
		return f.awaitRequestLimits(counts.permitted(), from, now)
	}
	from, ok := view.floorAvailableAt(f.request.Route, f.required, now)
	postponed := ok && from.After(now)
	retryAfter := unavailableRetryAfter
	switch {
	case postponed && f.answersInTime(from):
		return now, nil
	case postponed:
		retryAfter = max(defaultRetryAfter, from.Sub(now))
	case ok && f.engine.mayTry(f.request) && !f.engine.Isolated() && f.engine.admitTrial(now):
		f.trial = true
		return now, nil
	default:
		f.unreachable = true
	}
	return now, verdict.New(verdict.NotRun, verdict.NoReplica, "%d of %d shards have a replica that is expected to answer, %d are required",
		counts.expected(), len(f.parts), f.required).WithRetryAfter(max(retryAfter, f.engine.callerRetryAfter(now)))
}

// awaitRequestLimits returns when to start a request that the request limits of replicas keep from reaching its floor
// now, or refuses it. No part is sent before, because each one would use up tokens that another request needs for its
// floor.
func (f *fanout) awaitRequestLimits(permitted int, from, now time.Time) (startAt time.Time, refusal *verdict.Error) {
	if from.Sub(f.request.ArrivedAt) <= f.maxQueueWait() && f.answersInTime(from) {
		return from, nil
	}
	return now, verdict.New(verdict.NotRun, verdict.Overloaded, "the request limits of replicas permit parts of %d of %d shards, %d are required",
		permitted, len(f.parts), f.required).WithRetryAfter(max(defaultRetryAfter, from.Sub(now)))
}

// maxQueueWait returns how long the request may wait before its first part is sent.
func (f *fanout) maxQueueWait() time.Duration {
	return time.Duration(maxQueueShare * float64(f.request.Route.Objective))
}

func (f *fanout) cancelledError() *verdict.Error {
	return verdict.New(f.verdict(), verdict.Cancelled, "the caller cancelled the request")
}

// startPart sends a part for the first time. If no replica can take it now, it waits or fails.
func (f *fanout) startPart(i int, now time.Time) {
	p := &f.parts[i]
	p.service = f.request.Route.Shards[i]
	p.sends, p.tried = p.sendBuffer[:0], p.triedBuffer[:0]
	chosen, g := f.engine.choose(f.request.Route, p.service, nil, false, f.expected, now)
	switch {
	case g == nil:
		f.fail(p, verdict.NoReplica)
		return
	case chosen == nil && !f.engine.worthWaiting(g) && !g.postponed(f.request.Route, now):
		f.fail(p, verdict.Overloaded)
		return
	case chosen == nil:
		p.reason = verdict.Overloaded
		f.scheduleRetry(p, g, now)
		return
	}
	f.send(i, chosen, g, false, nil, now)
}

// requiredShards returns the minimum number of shards for an answer, which is the route's coverage floor in shards. The
// small subtrahend compensates for floating-point error: 0.95 of 20 is computed as about 19.000000000000004 and must
// not be rounded up to 20.
func requiredShards(route *routing.Route) int {
	return max(1, int(math.Ceil(route.MinCoverage*float64(len(route.Shards))-1e-9)))
}
