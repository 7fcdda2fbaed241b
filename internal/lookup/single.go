package lookup

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// singleHedgeShare is the part of the objective after which an idempotent request to one replica is sent to another.
const singleHedgeShare = 0.6

// single is the state of one request to one replica. Only the goroutine that called Engine.Run uses it.
type single struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	// callerStays keeps the end of the caller's context from ending the sends that linger.
	callerStays func() bool
	request     *Request
	usual       *pace
	part        part
	arrivals    chan arrival
	giveUpAt    time.Time
	expected    time.Duration
	// last is the replica's own failure that is passed on if nothing better comes.
	last  *Outcome
	ran   bool
	trace Trace
}

func newSingle(ctx context.Context, e *Engine, request *Request) *single {
	s := &single{
		engine:   e,
		request:  request,
		usual:    e.paceOf(request.Route),
		giveUpAt: request.Deadline.Add(-lastMoment),
		arrivals: make(chan arrival, max(request.Route.Attempts, 1)+extraSends),
	}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.callerStays = context.AfterFunc(ctx, s.cancel)
	s.expected = s.usual.usual()
	s.part.service = request.Route.Choose()
	s.trace.Shards = 1
	return s
}

func (s *single) run() Result {
	now := time.Now()
	chosen, g := s.engine.choose(s.request.Route, s.part.service, nil, false, s.expected, now)
	if g == nil {
		return s.refuse(verdict.New(verdict.NotRun, verdict.NoReplica, "service %s has no replica", s.part.service).WithRetryAfter(retryAfter))
	}
	g.extra.request(now, s.engine.allowance(now))
	if chosen != nil {
		s.send(chosen, g, false, nil, now)
	} else { // all connections are in use, or the replicas are cold or want no requests
		s.part.reason = verdict.Overloaded
		if !s.wait(g, now) {
			return s.fail()
		}
	}
	timer := time.NewTimer(s.untilNext(now))
	defer timer.Stop()
	for {
		select {
		case a := <-s.arrivals:
			if result, ended := s.handle(&a, time.Now()); ended {
				return result
			}
		case <-timer.C:
		case <-s.ctx.Done():
			return s.refuse(verdict.New(s.verdict(), verdict.Cancelled, "the caller has left"))
		}
		now = time.Now()
		if !now.Before(s.giveUpAt) {
			return s.refuse(verdict.New(s.verdict(), verdict.DeadlinePassed, "no answer in time"))
		}
		if result, ended := s.check(now); ended {
			return result
		}
		timer.Reset(s.untilNext(now))
	}
}

func (s *single) untilNext(now time.Time) time.Duration {
	next := s.giveUpAt
	if !s.part.retryAt.IsZero() && s.part.retryAt.Before(next) {
		next = s.part.retryAt
	}
	if at, ok := s.hedgeAt(); ok && at.Before(next) {
		next = at
	}
	return max(next.Sub(now), time.Millisecond)
}

func (s *single) send(to *member, g *group, hedge bool, paid *budget, now time.Time) {
	a := &attempt{to: to, sent: now, expected: s.expected, hedge: hedge, paid: paid}
	s.part.attempts = append(s.part.attempts, a)
	s.part.tried = append(s.part.tried, to.load)
	s.part.mayRun++
	s.part.retryAt = time.Time{}
	s.trace.Sends++
	s.trace.Replicas = append(s.trace.Replicas, string(to.ID))
	s.engine.launch(s.ctx, s.request, g, a, 0, s.usual, s.arrivals)
}

func (s *single) handle(a *arrival, now time.Time) (Result, bool) {
	a.attempt.ended = true
	if a.outcome.Verdict != verdict.NotRun {
		s.ran = true
	}
	if a.outcome.Reason == verdict.None {
		s.callerStays()
		time.AfterFunc(linger, s.cancel)
		s.trace.Answered = 1
		return Result{Answer: &a.outcome, Trace: s.trace}, true
	}
	s.part.reason = a.outcome.Reason
	s.part.arrived = s.part.arrived || !a.outcome.Unsent
	s.trace.Failed++
	switch {
	case a.outcome.Verdict == verdict.NotRun:
		s.part.mayRun--
		s.trace.Rejected++
	case a.outcome.Reason == verdict.ServerError:
		s.last = &a.outcome
	}
	if s.part.live() {
		return Result{}, false
	}
	return s.retry(now)
}

// retry sends the request again, if that is allowed: after a failure that may have run only where it is idempotent.
func (s *single) retry(now time.Time) (Result, bool) {
	route := s.request.Route
	attempts := max(route.Attempts, 1)
	if s.ran && !route.Idempotent || s.part.mayRun >= attempts || len(s.part.attempts) >= attempts+extraSends {
		return s.fail(), true
	}
	chosen, g := s.engine.choose(s.request.Route, s.part.service, s.part.tried, false, s.expected, now)
	if chosen == nil {
		if g == nil || s.ran || !s.wait(g, now) {
			return s.fail(), true
		}
		return Result{}, false
	}
	paid := g.extra
	switch {
	case !s.part.arrived:
		paid = nil // nothing has reached a replica yet, so that the send is not extra
	case !g.extra.take(now, s.engine.allowance(now)):
		s.trace.Starved++
		s.engine.counters.Starved.Add(1)
		return s.fail(), true
	}
	if len(s.part.attempts) > 0 {
		s.trace.Retries++
		s.engine.counters.Retries.Add(1)
	}
	s.send(chosen, g, false, paid, now)
	return Result{}, false
}

// wait makes the request wait for a replica, but not for longer than longestWait after it arrived: one that all replicas have just
// rejected is tried once more in any case, unless they want no request for longer.
func (s *single) wait(g *group, now time.Time) bool {
	at, ok := g.takesRequests(s.request.Route, now)
	rejected := len(s.part.tried) > 0 && !at.After(now)
	at = latest(at, now.Add(rejectedPause))
	if !ok || !rejected && at.Sub(s.request.Arrived) > s.longestWait() {
		return false
	}
	s.part.tried = s.part.tried[:0]
	s.part.retryAt = at
	return true
}

// longestWait is how long the request waits for a replica that takes it at all: a caller that is refused soon can be served
// elsewhere in time.
func (s *single) longestWait() time.Duration {
	return time.Duration(waitShare * float64(s.request.Route.Objective))
}

// fail passes the replica's own failure on, or refuses.
func (s *single) fail() Result {
	if s.last != nil {
		s.cancel()
		return Result{Answer: s.last, Trace: s.trace}
	}
	failure := verdict.New(s.verdict(), s.part.reason, "the request could not be served")
	now := time.Now()
	from, ok := s.engine.plan.Load().groups[s.part.service].takesRequests(s.request.Route, now)
	switch {
	case !ok:
		failure = failure.WithRetryAfter(downRetryAfter)
	case from.After(now) || failure.Verdict == verdict.NotRun:
		failure = failure.WithRetryAfter(max(retryAfter, from.Sub(now)))
	}
	return s.refuse(failure)
}

// hedgeAt returns when the request is sent to a second replica.
func (s *single) hedgeAt() (time.Time, bool) {
	route := s.request.Route
	if !route.Idempotent || s.part.mayRun >= route.Attempts || len(s.part.attempts) == 0 {
		return time.Time{}, false
	}
	last := s.part.attempts[len(s.part.attempts)-1]
	if last.ended || last.hedge {
		return time.Time{}, false
	}
	return last.sent.Add(time.Duration(singleHedgeShare * float64(route.Objective))), true
}

// check sends a request again whose pause has passed, or hedges one that waits too long.
func (s *single) check(now time.Time) (Result, bool) {
	if !s.part.retryAt.IsZero() {
		if now.Before(s.part.retryAt) {
			return Result{}, false
		}
		s.part.retryAt = time.Time{}
		return s.retry(now)
	}
	at, ok := s.hedgeAt()
	if !ok || now.Before(at) {
		return Result{}, false
	}
	last := s.part.attempts[len(s.part.attempts)-1]
	last.hedge = true // one try; without room for it the request waits for its first send
	chosen, g := s.engine.choose(s.request.Route, s.part.service, s.part.tried, true, s.expected, now)
	if chosen == nil || !g.extra.take(now, s.engine.allowance(now)) {
		return Result{}, false
	}
	s.trace.Hedges++
	s.engine.counters.Hedges.Add(1)
	s.send(chosen, g, true, g.extra, now)
	return Result{}, false
}

func (s *single) verdict() verdict.Verdict {
	if s.ran || s.part.mayRun > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (s *single) refuse(failure *verdict.Error) Result {
	s.cancel()
	return Result{Failure: failure, Trace: s.trace}
}
