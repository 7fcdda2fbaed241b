package lookup

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/workload"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// hedgeDelayShare is the share of the latency objective after which a part without an answer is hedged. A part
	// whose replica is found stalled is hedged earlier.
	hedgeDelayShare = 0.38
	// minShardsToDoubt is the number of shards from which a request is not hedged before any replica has answered it: if
	// none of so many does in the usual time, the request itself may be the reason, and hedges would spread it.
	minShardsToDoubt = 4
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
	// sendCtx is the context of the sends, and cancelSends cancels them.
	sendCtx     context.Context
	cancelSends context.CancelFunc
	// detachCaller stops the caller's context from cancelling the sends that linger; that context is also done once the
	// caller has its answer.
	detachCaller     func() bool
	request          *Request
	stats            *routeStats
	limiter          *limiter
	expected         time.Duration // of a send
	work             workload.Request
	started          time.Time // when the limiter admitted the request; zero before
	answerDueAt      time.Time // when the answer must be sent to meet the objective; at the latest giveUpAt
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
	// unreachable is set if the request was refused because too few shards have a replica that is expected to answer.
	unreachable bool
	// standing is how the request was to be treated when it began. held is set once it is to be refused.
	standing quarantine.Standing
	held     bool
	canary   canary
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
		results:  make(chan sendResult, len(route.Shards)*(request.maxAttempts()+maxUnrunSends)),
	}
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	f.openSends()
	f.detachCaller = context.AfterFunc(ctx, f.cancel)
	f.work = e.estimate(request)
	f.expected = expectedTime(f.work, f.stats.meanSendTime())
	f.limiter = e.limiterOf(route)
	f.answerDueAt = f.giveUpAt
	if objective := request.ArrivedAt.Add(route.Objective - request.Connection.transferReserve() - waited); route.Objective > 0 && objective.Before(f.giveUpAt) {
		f.answerDueAt = objective
	}
	f.trace.Shards = len(f.parts)
	return f
}

// openSends prepares a context for the next sends.
func (f *fanout) openSends() { f.sendCtx, f.cancelSends = context.WithCancel(f.ctx) }

func (f *fanout) run() Result {
	defer f.releaseTurn()
	var refusal *verdict.Error
	if f.standing, refusal = f.engine.suspicionOf(f.request, f.request.Route.Shards, time.Now()); refusal != nil {
		return f.refuse(refusal)
	}
	refusal = f.waitUntilReachable()
	if !f.unreachable || !f.request.mayBeServedElsewhere() {
		f.countRequest(time.Now()) // the instance that serves the request counts it
	}
	if refusal != nil {
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
		case <-f.canary.turnEnds:
			f.canary.turnEnds = nil
			f.advanceCanary(time.Now())
		case <-f.engine.stopped:
			return f.refuse(stoppedError(f.verdict()))
		case <-f.ctx.Done():
			return f.refuse(f.cancelledError())
		}
		f.checkParts(time.Now())
	}
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

func (f *fanout) send(i int, to *member, g *replicaGroup, hedge bool, paidFrom *retryBudget, now time.Time) {
	f.startSend(i, &replicaSend{to: to, sent: now, expected: f.expected, work: f.work, hedge: hedge, paidFrom: paidFrom, suspected: f.parts[i].suspected}, g)
}

// sendSuspected sends a part of a suspected request.
func (f *fanout) sendSuspected(i int, to *member, g *replicaGroup, paidFrom *retryBudget, now time.Time) *replicaSend {
	send := &replicaSend{to: to, sent: now, expected: f.expected, work: f.work, paidFrom: paidFrom, suspected: true}
	f.startSend(i, send, g)
	return send
}

func (f *fanout) startSend(i int, send *replicaSend, g *replicaGroup) {
	p := &f.parts[i]
	p.sends = append(p.sends, send)
	p.tried = append(p.tried, send.to.health)
	p.possibleRuns++
	p.retryAt = time.Time{}
	f.trace.Sends++
	f.engine.startSend(f.sendCtx, f.request, g, send, i, f.stats, f.results)
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
		defer f.endCanaryAfterAnswer(now)
		if f.answered++; f.answered == f.earlyAnswers() {
			f.limiter.observe(now, now.Sub(f.started), f.stats.unqueued.time())
		}
		return
	}
	p.suspected = p.suspected || received.crashed
	p.reason = received.outcome.Reason
	p.reachedReplica = p.reachedReplica || !received.outcome.Unsent
	f.trace.Failed++
	if received.outcome.Verdict == verdict.NotRun {
		f.trace.Rejected++
		p.possibleRuns--
		p.shed = p.shed || received.outcome.Reason == verdict.Shedding
	}
	switch {
	case received.standing == quarantine.Held:
		f.held = true
	case received.send.abandoned:
	case received.crashed && f.answered == 0:
		f.holdBack(now)
	case p.inFlight():
	case f.canary.active:
		f.advanceCanary(now)
	default:
		f.retry(received.shard, now)
	}
}

// earlyAnswers returns the number of answers after which the elapsed time shows how busy the replicas are.
func (f *fanout) earlyAnswers() int { return max(1, int(earlyAnswerShare*float64(len(f.parts)))) }

// retry sends a part again after a failure: at once to another replica, or after a delay to one that rejected it.
func (f *fanout) retry(i int, now time.Time) {
	p := &f.parts[i]
	attempts := f.request.maxAttempts()
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
	if f.canary.active {
		f.advanceCanary(now)
		return
	}
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
	if f.answered == 0 && len(f.parts) >= minShardsToDoubt {
		return false
	}
	if len(p.sends) == 0 || p.suspected || p.possibleRuns >= f.request.maxAttempts() || now.After(f.answerDueAt) {
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
	return waited > last.expected && last.to.health.isStalled(now)
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
