package lookup

import (
	"context"
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// hedgeDelayShare is the share of the latency objective after which a part without an answer is hedged. A part
	// whose replica is found stalled is hedged earlier.
	hedgeDelayShare = 0.38
	// checkInterval is how often a request checks whether the replicas that it waits for have stalled.
	checkInterval = 8 * time.Millisecond
	// rejectedRetryDelay is the delay before a replica that rejected a part is asked again.
	rejectedRetryDelay = 15 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a request that cannot reach its coverage floor: replicas that are
	// down come back, or are replaced, within seconds.
	unavailableRetryAfter = time.Second
	// maxUnrunSends is how many sends beyond the route's attempts (MaxAttempts) a part may use if replicas did not run
	// some of the earlier ones.
	maxUnrunSends = 2
)

// fanout is the state of one request to all shards of a route. Only the goroutine that called Engine.Run uses it.
type fanout struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	// detachCaller stops the caller's context from cancelling the sends that linger; that context is also done once the
	// caller has its answer.
	detachCaller     func() bool
	request          *Request
	stats            *routeStats
	limiter          *limiter
	expected         time.Duration // the route's mean send time
	started          time.Time     // when the limiter admitted the request; zero before
	answerDueAt      time.Time     // when the answer must be sent to meet the objective; at the latest giveUpAt
	giveUpAt         time.Time
	required         int // the minimum number of shards for an answer
	parts            []part
	results          chan sendResult
	answered         int
	failed           int
	mayHaveRun       bool
	overloadRecorded bool
	// trial is set for a request that most likely cannot reach its floor but is sent to find out whether replicas have
	// recovered.
	trial bool
	// limited is set if the request needed the request limit of a replica when it was last checked.
	limited bool
	trace   Trace
}

func newFanout(ctx context.Context, e *Engine, request *Request, waited time.Duration) *fanout {
	route := request.Route
	f := &fanout{
		engine:   e,
		request:  request,
		stats:    e.routeStatsOf(route),
		giveUpAt: request.Deadline.Add(-deadlineMargin),
		required: requiredShards(route),
		parts:    make([]part, len(route.Shards)),
		results:  make(chan sendResult, len(route.Shards)*(max(route.MaxAttempts, 1)+maxUnrunSends)),
	}
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	f.detachCaller = context.AfterFunc(ctx, f.cancel)
	f.expected = f.stats.meanSendTime()
	f.limiter = e.limiterOf(route)
	f.answerDueAt = f.giveUpAt
	if objective := request.ArrivedAt.Add(route.Objective - request.Connection.transferReserve() - waited); route.Objective > 0 && objective.Before(f.giveUpAt) {
		f.answerDueAt = objective
	}
	f.trace.Shards = len(f.parts)
	return f
}

func (f *fanout) run() Result {
	f.countRequest(time.Now())
	if refusal := f.waitUntilReachable(); refusal != nil {
		return f.refuse(refusal)
	}
	if !f.limiter.throttle.admit() {
		return f.refuse(overloadedError())
	}
	work := float64(f.stats.unqueued.time())
	if !f.limiter.acquire(f.ctx, work, f.maxQueueWait()) {
		return f.refuse(overloadedError())
	}
	defer f.limiter.release(work)
	for !f.start(time.Now()) {
		if refusal := f.waitUntilReachable(); refusal != nil {
			return f.refuse(refusal)
		}
	}
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	ticked := true
	for {
		if result, ended := f.finished(time.Now(), ticked); ended {
			return result
		}
		ticked = false
		timer.Reset(f.untilNextCheck(time.Now()))
		select {
		case received := <-f.results:
			f.handleResult(&received, time.Now())
			f.drainResults()
		case <-timer.C:
			ticked = true
		case <-f.ctx.Done():
			return f.refuse(f.cancelledError())
		}
		f.checkParts(time.Now())
	}
}

// start sends the parts for the first time and reports whether it did. Requests that need
// request limits are started one after the other: two that found the same tokens would each get some of them and miss
// their floors.
func (f *fanout) start(now time.Time) bool {
	if f.limited && !f.trial {
		f.limiter.startMutex.Lock()
		defer f.limiter.startMutex.Unlock()
		if startAt, refusal := f.checkReachable(now); refusal != nil || startAt.After(now) {
			return false
		}
	}
	f.started = now
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
	case ok && !f.engine.Isolated() && f.engine.admitTrial(now):
		f.trial = true
		return now, nil
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

// answersInTime reports whether a part that is sent at the given time usually has its answer before the merged answer
// is due.
func (f *fanout) answersInTime(sent time.Time) bool {
	return !sent.Add(f.expected).After(f.answerDueAt)
}

// scheduleRetry makes a part that has no send in flight wait until a replica of its shard accepts requests again, and
// at least for rejectedRetryDelay. A part that would be too late then fails.
func (f *fanout) scheduleRetry(p *part, g *replicaGroup, now time.Time) {
	from, ok := g.availableAt(f.request.Route, now)
	if !ok || from.After(now) && !f.answersInTime(from) {
		f.fail(p, verdict.Overloaded)
		return
	}
	p.tried = p.tried[:0]
	p.retryAt = latest(from, now.Add(rejectedRetryDelay))
}

// requiredShards returns the minimum number of shards for an answer, which is the route's coverage floor in shards. The
// small subtrahend compensates for floating-point error: 0.95 of 20 is computed as about 19.000000000000004 and must
// not be rounded up to 20.
func requiredShards(route *routing.Route) int {
	return max(1, int(math.Ceil(route.MinCoverage*float64(len(route.Shards))-1e-9)))
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

func (f *fanout) send(i int, to *member, g *replicaGroup, hedge bool, paidFrom *retryBudget, now time.Time) {
	p := &f.parts[i]
	send := &replicaSend{to: to, sent: now, expected: f.expected, hedge: hedge, paidFrom: paidFrom}
	p.sends = append(p.sends, send)
	p.tried = append(p.tried, to.health)
	p.possibleRuns++
	p.retryAt = time.Time{}
	f.trace.Sends++
	f.engine.startSend(f.ctx, f.request, g, send, i, f.stats, f.results)
}

func (f *fanout) fail(p *part, reason verdict.Reason) {
	p.failed = true
	p.reason = reason
	f.failed++
}

// drainResults handles the results that have already arrived, so that one wake-up serves several parts.
func (f *fanout) drainResults() {
	for {
		select {
		case received := <-f.results:
			f.handleResult(&received, time.Now())
		default:
			return
		}
	}
}

func (f *fanout) handleResult(received *sendResult, now time.Time) {
	p := &f.parts[received.shard]
	received.send.ended = true
	if received.outcome.Verdict != verdict.NotRun {
		f.mayHaveRun = true
	}
	if p.answer != nil || p.failed {
		return
	}
	if received.outcome.Reason == verdict.None {
		p.answer = &received.outcome
		if f.answered++; f.answered == f.earlyAnswers() {
			f.limiter.observe(now, now.Sub(f.started), f.stats.unqueued.time())
		}
		return
	}
	p.reason = received.outcome.Reason
	p.reachedReplica = p.reachedReplica || !received.outcome.Unsent
	f.trace.Failed++
	if received.outcome.Verdict == verdict.NotRun {
		f.trace.Rejected++
		p.possibleRuns--
		p.shed = p.shed || received.outcome.Reason == verdict.Shedding
	}
	if p.inFlight() {
		return
	}
	f.retry(received.shard, now)
}

// earlyAnswers returns the number of answers after which the elapsed time shows how busy the replicas are.
func (f *fanout) earlyAnswers() int { return max(1, int(earlyAnswerShare*float64(len(f.parts)))) }

// retry sends a part again after a failure: at once to another replica, or after a delay to one that rejected it.
func (f *fanout) retry(i int, now time.Time) {
	p := &f.parts[i]
	attempts := max(f.request.Route.MaxAttempts, 1)
	if p.possibleRuns >= attempts || len(p.sends) >= attempts+maxUnrunSends {
		f.fail(p, p.reason)
		return
	}
	chosen, g := f.engine.choose(f.request.Route, p.service, p.tried, false, f.expected, now)
	if chosen == nil {
		if g == nil || p.possibleRuns > 0 {
			f.fail(p, p.reason)
			return
		}
		f.scheduleRetry(p, g, now)
		return
	}
	paidFrom, ok := f.takeBudget(p, g, now)
	if !ok {
		f.fail(p, p.reason)
		return
	}
	if len(p.sends) > 0 {
		f.trace.Retries++
		f.engine.counters.Retries.Add(1)
	}
	f.send(i, chosen, g, false, paidFrom, now)
}

// takeBudget charges an extra send to the budget of the service and reports whether it is allowed. While none of the
// part's sends can have reached a replica, the next one is not an extra send and paidFrom is nil.
func (f *fanout) takeBudget(p *part, g *replicaGroup, now time.Time) (paidFrom *retryBudget, ok bool) {
	if !p.reachedReplica && !p.inFlight() {
		return nil, true
	}
	if g.budget.take(now, f.engine.allowance(now)) {
		return g.budget, true
	}
	if !p.budgetDenied {
		p.budgetDenied = true
		f.trace.ExtraDenied++
		f.engine.counters.ExtraDenied.Add(1)
	}
	return nil, false
}

// checkParts hedges the parts that wait for too long or whose replica has stalled, and retries those whose delay has
// passed.
func (f *fanout) checkParts(now time.Time) {
	for i := range f.parts {
		p := &f.parts[i]
		switch {
		case p.answer != nil || p.failed:
		case !p.retryAt.IsZero():
			if !now.Before(p.retryAt) {
				p.retryAt = time.Time{}
				f.retry(i, now)
			}
		case f.wantsHedge(p, now):
			f.hedge(i, now)
		}
	}
}

// wantsHedge reports whether a part should be hedged now. It returns false if the part was already hedged or has used
// up the route's attempts, and once the merged answer is due.
func (f *fanout) wantsHedge(p *part, now time.Time) bool {
	if len(p.sends) == 0 || p.possibleRuns >= f.request.Route.MaxAttempts || now.After(f.answerDueAt) {
		return false
	}
	last := p.sends[len(p.sends)-1]
	if last.ended || last.hedge {
		return false
	}
	waited := now.Sub(last.sent)
	// While the limiter holds requests back, a part is late because its replica is busy, as the other replicas are.
	if waited >= time.Duration(hedgeDelayShare*float64(f.request.Route.Objective)) && !f.limiter.limiting() {
		return true
	}
	return waited > f.expected && last.to.health.isStalled(now)
}

// hedge sends a part to another replica that is responding and does not reject many requests, if the budget permits it.
func (f *fanout) hedge(i int, now time.Time) {
	p := &f.parts[i]
	chosen, g := f.engine.choose(f.request.Route, p.service, p.tried, true, f.expected, now)
	if chosen == nil || chosen.health.rejectShare(now) >= failingThreshold {
		return
	}
	paidFrom, ok := f.takeBudget(p, g, now)
	if !ok {
		return
	}
	f.trace.Hedges++
	f.engine.counters.Hedges.Add(1)
	f.send(i, chosen, g, true, paidFrom, now)
}

func (f *fanout) untilNextCheck(now time.Time) time.Duration {
	wait := checkInterval
	for _, at := range []time.Time{f.answerDueAt, f.giveUpAt} {
		if remaining := at.Sub(now); remaining > 0 {
			wait = min(wait, remaining)
		}
	}
	return wait
}
