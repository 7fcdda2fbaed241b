package lookup

import (
	"context"
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// hedgeShare is the part of the objective after which a part that has no answer is sent to another replica, if the
	// first one is not found stalled before.
	hedgeShare = 0.38
	// checkInterval is how often a request looks whether replicas that it waits for have stalled.
	checkInterval = 8 * time.Millisecond
	// rejectedPause is the pause before a replica that rejected a part is asked again.
	rejectedPause = 15 * time.Millisecond
	// downRetryAfter is when a caller comes back whose request cannot reach its floor: replicas that are down come back, or
	// are replaced, after seconds.
	downRetryAfter = time.Second
	// extraSends is how many sends beyond the route's attempts a part may take when some were not run.
	extraSends = 2
)

// fanout is the state of one request to all shards. Only the goroutine that called Engine.Run uses it.
type fanout struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	// callerStays keeps the end of the caller's context, which also comes once it has its answer, from ending the sends
	// that linger.
	callerStays func() bool
	request     *Request
	usual       *pace
	gate        *gate
	expected    time.Duration
	began       time.Time
	composeAt   time.Time
	giveUpAt    time.Time
	floor       int
	parts       []part
	arrivals    chan arrival
	answered    int
	failed      int
	ran         bool
	judged      bool
	// trial is set for a request that most likely cannot reach its floor, and is sent to find out whether replicas are back.
	trial bool
	trace Trace
}

func newFanout(ctx context.Context, e *Engine, request *Request, waited time.Duration) *fanout {
	route := request.Route
	f := &fanout{
		engine:   e,
		request:  request,
		usual:    e.paceOf(route),
		giveUpAt: request.Deadline.Add(-lastMoment),
		floor:    floorOf(route),
		parts:    make([]part, len(route.Shards)),
		arrivals: make(chan arrival, len(route.Shards)*(max(route.Attempts, 1)+extraSends)),
	}
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	f.callerStays = context.AfterFunc(ctx, f.cancel)
	f.expected = f.usual.usual()
	f.gate = e.gateOf(route)
	f.composeAt = f.giveUpAt
	if objective := request.Arrived.Add(route.Objective - request.Connection.reserve() - waited); route.Objective > 0 && objective.Before(f.giveUpAt) {
		f.composeAt = objective
	}
	f.trace.Shards = len(f.parts)
	return f
}

func (f *fanout) run() Result {
	now := time.Now()
	if refusal := f.reachable(now); refusal != nil {
		return f.refuse(refusal)
	}
	if !f.gate.intake.admit() {
		return f.refuse(refusedByGate())
	}
	work := float64(f.usual.alone.time())
	if !f.gate.enter(f.ctx, work, time.Duration(waitShare*float64(f.request.Route.Objective))) {
		return f.refuse(refusedByGate())
	}
	defer f.gate.leave(work)
	now = time.Now()
	f.began = now
	for i := range f.parts {
		f.start(i, now)
	}
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	ticked := true
	for {
		if result, ended := f.ended(time.Now(), ticked); ended {
			return result
		}
		ticked = false
		timer.Reset(f.untilNextCheck(time.Now()))
		select {
		case a := <-f.arrivals:
			f.handle(&a, time.Now())
			f.drain()
		case <-timer.C:
			ticked = true
		case <-f.ctx.Done():
			return f.refuse(verdict.New(f.verdict(), verdict.Cancelled, "the caller has left"))
		}
		f.check(time.Now())
	}
}

// reachable refuses a request that most likely cannot reach its floor before anything is sent. It answers a zone that is
// cut off, or shards whose replicas are all down or want no requests: waiting would only keep the caller from another instance.
func (f *fanout) reachable(now time.Time) *verdict.Error {
	current := f.engine.plan.Load()
	for _, service := range f.request.Route.Shards {
		if g := current.groups[service]; g != nil {
			g.extra.request(now, f.engine.allowance(now))
		}
	}
	likely := f.engine.likely(current, f.request.Route, now)
	if likely >= f.floor {
		return nil
	}
	from, ok := current.floorTakesRequests(f.request.Route, f.floor, now)
	paused := ok && from.After(now)
	again := downRetryAfter
	switch {
	case paused && f.inTime(from):
		return nil
	case paused:
		again = max(retryAfter, from.Sub(now))
	case ok && !f.engine.Isolated() && f.engine.mayTry(now):
		f.trial = true
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.NoReplica, "%d of %d shards have a replica that answers, %d are needed",
		likely, len(f.parts), f.floor).WithRetryAfter(max(again, f.engine.returnAfter(now)))
}

// inTime tells whether a part that is sent at the time usually has its answer before the request is answered.
func (f *fanout) inTime(sent time.Time) bool { return !sent.Add(f.expected).After(f.composeAt) }

// wait makes a part without a live send wait until a replica of its shard takes requests again, and until the pause after a
// rejection has passed. A part that would come too late fails.
func (f *fanout) wait(p *part, g *group, now time.Time) {
	from, ok := g.takesRequests(f.request.Route, now)
	if !ok || from.After(now) && !f.inTime(from) {
		f.fail(p, verdict.Overloaded)
		return
	}
	p.tried = p.tried[:0]
	p.retryAt = latest(from, now.Add(rejectedPause))
}

// floorOf returns the least number of shards that makes an answer. The small amount keeps 0.95 of 20, which is
// 19.000000000000004 or so, from asking for 20.
func floorOf(route *routing.Route) int {
	return max(1, int(math.Ceil(route.Floor*float64(len(route.Shards))-1e-9)))
}

func (f *fanout) start(i int, now time.Time) {
	p := &f.parts[i]
	p.service = f.request.Route.Shards[i]
	p.attempts, p.tried = p.attemptRoom[:0], p.triedRoom[:0]
	chosen, g := f.engine.choose(f.request.Route, p.service, nil, false, f.expected, now)
	switch {
	case g == nil:
		f.fail(p, verdict.NoReplica)
		return
	case chosen == nil && !f.engine.worthWaiting(g):
		f.fail(p, verdict.Overloaded)
		return
	case chosen == nil:
		p.reason = verdict.Overloaded
		f.wait(p, g, now)
		return
	}
	f.send(i, chosen, g, false, nil, now)
}

func (f *fanout) send(i int, to *member, g *group, hedge bool, paid *budget, now time.Time) {
	p := &f.parts[i]
	a := &attempt{to: to, sent: now, expected: f.expected, hedge: hedge, paid: paid}
	p.attempts = append(p.attempts, a)
	p.tried = append(p.tried, to.load)
	p.mayRun++
	p.retryAt = time.Time{}
	f.trace.Sends++
	f.engine.launch(f.ctx, f.request, g, a, i, f.usual, f.arrivals)
}

func (f *fanout) fail(p *part, reason verdict.Reason) {
	p.failed = true
	p.reason = reason
	f.failed++
}

// drain handles the arrivals that are already here, so that one wake-up serves several parts.
func (f *fanout) drain() {
	for {
		select {
		case a := <-f.arrivals:
			f.handle(&a, time.Now())
		default:
			return
		}
	}
}

func (f *fanout) handle(a *arrival, now time.Time) {
	p := &f.parts[a.shard]
	a.attempt.ended = true
	if a.outcome.Verdict != verdict.NotRun {
		f.ran = true
	}
	if p.answer != nil || p.failed {
		return
	}
	if a.outcome.Reason == verdict.None {
		p.answer = &a.outcome
		if f.answered++; f.answered == f.early() {
			f.gate.observe(now, now.Sub(f.began), f.usual.alone.time())
		}
		return
	}
	p.reason = a.outcome.Reason
	p.arrived = p.arrived || !a.outcome.Unsent
	f.trace.Failed++
	if a.outcome.Verdict == verdict.NotRun {
		f.trace.Rejected++
		p.mayRun--
		p.shed = p.shed || a.outcome.Reason == verdict.Shedding
	}
	if p.live() {
		return
	}
	f.retry(a.shard, now)
}

// early is the number of answers that show how busy the replicas are.
func (f *fanout) early() int { return max(1, int(earlyShare*float64(len(f.parts)))) }

// retry sends a part again after a failure, at once to another replica or a little later to one that rejected it.
func (f *fanout) retry(i int, now time.Time) {
	p := &f.parts[i]
	attempts := max(f.request.Route.Attempts, 1)
	if p.mayRun >= attempts || len(p.attempts) >= attempts+extraSends {
		f.fail(p, p.reason)
		return
	}
	chosen, g := f.engine.choose(f.request.Route, p.service, p.tried, false, f.expected, now)
	if chosen == nil {
		if g == nil || p.mayRun > 0 {
			f.fail(p, p.reason)
			return
		}
		f.wait(p, g, now)
		return
	}
	paid, ok := f.take(p, g, now)
	if !ok {
		f.fail(p, p.reason)
		return
	}
	if len(p.attempts) > 0 {
		f.trace.Retries++
		f.engine.counters.Retries.Add(1)
	}
	f.send(i, chosen, g, false, paid, now)
}

// take uses the service's allowance of extra sends. The send is not extra, and nothing is paid, while none of the part's
// sends can have reached a replica.
func (f *fanout) take(p *part, g *group, now time.Time) (paid *budget, ok bool) {
	if !p.arrived && !p.live() {
		return nil, true
	}
	if g.extra.take(now, f.engine.allowance(now)) {
		return g.extra, true
	}
	if !p.starved {
		p.starved = true
		f.trace.Starved++
		f.engine.counters.Starved.Add(1)
	}
	return nil, false
}

// check hedges the parts that wait too long or wait at a replica that has stalled, and sends those again whose pause has
// passed.
func (f *fanout) check(now time.Time) {
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

func (f *fanout) wantsHedge(p *part, now time.Time) bool {
	if len(p.attempts) == 0 || p.mayRun >= f.request.Route.Attempts || now.After(f.composeAt) {
		return false
	}
	last := p.attempts[len(p.attempts)-1]
	if last.ended || last.hedge {
		return false
	}
	waited := now.Sub(last.sent)
	// Where the gate limits, a part waits because its replica has much to do, as the others have.
	if waited >= time.Duration(hedgeShare*float64(f.request.Route.Objective)) && !f.gate.congested() {
		return true
	}
	return waited > f.expected && last.to.load.isStalled(now)
}

func (f *fanout) hedge(i int, now time.Time) {
	p := &f.parts[i]
	chosen, g := f.engine.choose(f.request.Route, p.service, p.tried, true, f.expected, now)
	if chosen == nil || chosen.load.rejecting(now) >= failingState {
		return
	}
	paid, ok := f.take(p, g, now)
	if !ok {
		return
	}
	f.trace.Hedges++
	f.engine.counters.Hedges.Add(1)
	f.send(i, chosen, g, true, paid, now)
}

func (f *fanout) untilNextCheck(now time.Time) time.Duration {
	wait := checkInterval
	for _, at := range []time.Time{f.composeAt, f.giveUpAt} {
		if left := at.Sub(now); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}
