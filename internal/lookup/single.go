package lookup

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/workload"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// singleHedgeDelayShare is the share of the latency objective after which an idempotent request to a single replica is
// hedged.
const singleHedgeDelayShare = 0.6

// single is the state of one request to a single replica. Only the goroutine that called Engine.Run uses it.
type single struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	// detachCaller stops the caller's context from cancelling the sends that linger.
	detachCaller func() bool
	request      *Request
	stats        *routeStats
	part         part
	results      chan sendResult
	giveUpAt     time.Time
	expected     time.Duration
	work         workload.Request
	// lastFailure is the last error answer of a replica; it is passed on if no replica succeeds.
	lastFailure *Outcome
	mayHaveRun  bool
	// suspected is set if the request is suspected of crashing replicas; it is then at one replica at a time.
	suspected bool
	// turn is set if the request counts as the one with its fingerprint that is being tried.
	turn bool
	// unreachable is set if the request was refused because no replica is expected to answer.
	unreachable bool
	trace       Trace
}

func newSingle(ctx context.Context, e *Engine, request *Request) *single {
	s := &single{
		engine:   e,
		request:  request,
		stats:    e.routeStatsOf(request.Route),
		giveUpAt: request.Deadline.Add(-deadlineMargin),
		results:  make(chan sendResult, request.maxAttempts()+maxUnrunSends),
	}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.detachCaller = context.AfterFunc(ctx, s.cancel)
	s.part.service, s.work = request.Route.ChooseService(), e.estimate(request)
	s.expected = expectedTime(s.work, s.stats.meanSendTime())
	s.trace.Shards = 1
	return s
}

func (s *single) run() Result {
	if refusal := s.awaitTurn(); refusal != nil {
		return s.refuse(refusal)
	}
	defer s.releaseTurn()
	now := time.Now()
	var avoided []*replicaHealth
	if s.suspected {
		avoided = s.engine.suspectedAt(s.part.service)
	}
	chosen, g := s.engine.choose(s.request.Route, s.part.service, avoided, false, s.expected, now)
	if g == nil {
		return s.refuse(verdict.New(verdict.NotRun, verdict.NoReplica, "service %s has no replica that the route allows", s.part.service).WithRetryAfter(defaultRetryAfter))
	}
	// Unresponsive replicas are doubtful as well.
	if g.isDoubtful(s.request.Route, now) && (s.request.mayBeServedElsewhere() || s.engine.Partitioned() && g.isUnresponsive(s.request.Route, now)) {
		s.unreachable = true
		return s.refuse(verdict.New(verdict.NotRun, verdict.NoReplica, "no replica of service %s is expected to answer", s.part.service).
			WithRetryAfter(max(unavailableRetryAfter, s.engine.callerRetryAfter(now))))
	}
	g.budget.countRequest(now, s.engine.allowance(now))
	if chosen != nil {
		s.send(chosen, g, false, nil, now)
	} else { // all connections are in use, or the replicas are cold or accept no requests
		s.part.reason = verdict.Overloaded
		if !s.scheduleRetry(g, now) {
			return s.fail()
		}
	}
	timer := time.NewTimer(s.untilNextCheck(now))
	defer timer.Stop()
	for {
		select {
		case received := <-s.results:
			if result, ended := s.handleResult(&received, time.Now()); ended {
				return result
			}
		case <-timer.C:
		case <-s.engine.stopped:
			return s.refuse(stoppedError(s.verdict()))
		case <-s.ctx.Done():
			return s.refuse(verdict.New(s.verdict(), verdict.Cancelled, "the caller cancelled the request"))
		}
		now = time.Now()
		if !now.Before(s.giveUpAt) {
			return s.refuse(verdict.New(s.verdict(), verdict.DeadlinePassed, "no replica answered before the deadline"))
		}
		if result, ended := s.check(now); ended {
			return result
		}
		timer.Reset(s.untilNextCheck(now))
	}
}

// awaitTurn waits until no other request with the same fingerprint is being tried, if this one is suspected. It refuses
// a request that is held, and one that would have to wait for too long.
func (s *single) awaitTurn() *verdict.Error {
	services := []fleet.ServiceID{s.part.service}
	timer := time.NewTimer(s.maxWait())
	defer timer.Stop()
	for {
		standing, refusal := s.engine.suspicionOf(s.request, services, time.Now())
		s.suspected = standing != quarantine.Unsuspected
		if refusal != nil || !s.suspected {
			return refusal
		}
		turnEnds, begun := s.engine.canaryTurns.begin(s.request.fingerprint())
		if begun && (standing == quarantine.OnTrial || s.engine.quarantine.Claim(s.request.fingerprint(), time.Now())) {
			s.turn = true
			return nil
		}
		if begun { // another instance is trying the request
			s.engine.canaryTurns.end(s.request.fingerprint())
			ended := make(chan struct{})
			time.AfterFunc(checkInterval, func() { close(ended) })
			turnEnds = ended
		}
		select {
		case <-turnEnds:
		case <-timer.C:
			return verdict.New(verdict.NotRun, verdict.Overloaded, "another request with the same fingerprint is being tried").WithRetryAfter(defaultRetryAfter)
		case <-s.ctx.Done():
			return verdict.New(verdict.NotRun, verdict.Cancelled, "the caller cancelled the request")
		}
	}
}

// releaseTurn lets the next request with the same fingerprint be tried.
func (s *single) releaseTurn() {
	if s.turn {
		s.engine.releaseCanary(s.request.fingerprint())
	}
}

// untilNextCheck returns the time until the next retry, hedge or the end of the request.
func (s *single) untilNextCheck(now time.Time) time.Duration {
	next := s.giveUpAt
	if !s.part.retryAt.IsZero() && s.part.retryAt.Before(next) {
		next = s.part.retryAt
	}
	if at, ok := s.hedgeAt(); ok && at.Before(next) {
		next = at
	}
	return max(next.Sub(now), time.Millisecond)
}

func (s *single) send(to *member, g *replicaGroup, hedge bool, paidFrom *retryBudget, now time.Time) {
	send := &replicaSend{to: to, sent: now, expected: s.expected, work: s.work, hedge: hedge, paidFrom: paidFrom, suspected: s.suspected}
	s.part.sends = append(s.part.sends, send)
	s.part.tried = append(s.part.tried, to.health)
	s.part.possibleRuns++
	s.part.retryAt = time.Time{}
	s.trace.Sends++
	s.trace.Replicas = append(s.trace.Replicas, string(to.ID))
	s.engine.startSend(s.ctx, s.request, g, send, 0, s.stats, s.results)
}

func (s *single) handleResult(received *sendResult, now time.Time) (Result, bool) {
	received.send.ended = true
	if received.outcome.Verdict != verdict.NotRun {
		s.mayHaveRun = true
	}
	if received.outcome.Reason == verdict.None {
		s.detachCaller()
		time.AfterFunc(lingerTimeout, s.cancel)
		s.trace.Answered = 1
		return Result{Answer: &received.outcome, Trace: s.trace}, true
	}
	s.suspected = s.suspected || received.crashed
	s.part.reason = received.outcome.Reason
	s.part.reachedReplica = s.part.reachedReplica || !received.outcome.Unsent
	s.trace.Failed++
	switch {
	case received.outcome.Verdict == verdict.NotRun:
		s.part.possibleRuns--
		s.trace.Rejected++
	case received.outcome.Reason == verdict.ServerError:
		s.lastFailure = &received.outcome
	}
	if received.standing == quarantine.Held {
		return s.refuse(quarantinedError(s.verdict(), s.engine.quarantine.UntilTrial(s.request.fingerprint(), now))), true
	}
	if s.part.inFlight() {
		return Result{}, false
	}
	return s.retry(now)
}

// retry sends the request again if that is allowed. After a failure that may have run, it is allowed only for an
// idempotent route.
func (s *single) retry(now time.Time) (Result, bool) {
	route := s.request.Route
	attempts := s.request.maxAttempts()
	if s.mayHaveRun && !route.Idempotent || s.part.possibleRuns >= attempts || len(s.part.sends) >= attempts+maxUnrunSends {
		return s.fail(), true
	}
	chosen, g := s.engine.choose(s.request.Route, s.part.service, s.part.tried, false, s.expected, now)
	if chosen == nil {
		if g == nil || s.mayHaveRun || !s.scheduleRetry(g, now) {
			return s.fail(), true
		}
		return Result{}, false
	}
	paidFrom := g.budget
	switch {
	case !s.part.reachedReplica:
		paidFrom = nil // nothing has reached a replica yet, so this is not an extra send
	case !g.budget.take(now, s.engine.allowance(now)):
		s.trace.ExtraDenied++
		s.engine.counters.ExtraDenied.Add(1)
		return s.fail(), true
	}
	if len(s.part.sends) > 0 {
		s.trace.Retries++
		s.engine.counters.Retries.Add(1)
	}
	s.send(chosen, g, false, paidFrom, now)
	return Result{}, false
}

// scheduleRetry makes the request wait for a replica that accepts it, and reports whether it may wait. It may not wait
// for longer than maxWait after its arrival. As an exception, a request that all replicas have just rejected is tried
// once more in any case, unless they have asked for a pause.
func (s *single) scheduleRetry(g *replicaGroup, now time.Time) bool {
	at, ok := g.availableAt(s.request.Route, now)
	rejected := len(s.part.tried) > 0 && !at.After(now)
	at = latest(at, now.Add(rejectedRetryDelay))
	if !ok || !rejected && at.Sub(s.request.ArrivedAt) > s.maxWait() {
		return false
	}
	s.part.tried = s.part.tried[:0]
	s.part.retryAt = at
	return true
}

// maxWait returns how long the request may wait for a replica to accept it: a caller that is refused early can still be
// served by another instance in time.
func (s *single) maxWait() time.Duration {
	return time.Duration(maxQueueShare * float64(s.request.Route.Objective))
}

// fail passes on the last error answer of a replica, or refuses the request if there is none.
func (s *single) fail() Result {
	if s.lastFailure != nil {
		s.cancel()
		return Result{Answer: s.lastFailure, Trace: s.trace}
	}
	failure := verdict.New(s.verdict(), s.part.reason, "no replica of service %s could serve the request", s.part.service)
	now := time.Now()
	from, ok := s.engine.view.Load().groups[s.part.service].availableAt(s.request.Route, now)
	switch {
	case !ok:
		failure = failure.WithRetryAfter(unavailableRetryAfter)
	case from.After(now) || failure.Verdict == verdict.NotRun:
		failure = failure.WithRetryAfter(max(defaultRetryAfter, from.Sub(now)))
	}
	return s.refuse(failure)
}

// hedgeAt returns when the request is hedged; false means never.
func (s *single) hedgeAt() (time.Time, bool) {
	route := s.request.Route
	if !route.Idempotent || s.suspected || s.part.possibleRuns >= s.request.maxAttempts() || len(s.part.sends) == 0 {
		return time.Time{}, false
	}
	last := s.part.sends[len(s.part.sends)-1]
	if last.ended || last.hedge {
		return time.Time{}, false
	}
	return last.sent.Add(time.Duration(singleHedgeDelayShare * float64(route.Objective))), true
}

// check retries the request if its delay has passed, or hedges it if it has waited for too long.
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
	last := s.part.sends[len(s.part.sends)-1]
	last.hedge = true // one hedge only; if it is not allowed now, the request waits for its first send
	chosen, g := s.engine.choose(s.request.Route, s.part.service, s.part.tried, true, s.expected, now)
	if chosen == nil || !g.budget.take(now, s.engine.allowance(now)) {
		return Result{}, false
	}
	s.trace.Hedges++
	s.engine.counters.Hedges.Add(1)
	s.send(chosen, g, true, g.budget, now)
	return Result{}, false
}

func (s *single) verdict() verdict.Verdict {
	if s.mayHaveRun || s.part.possibleRuns > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (s *single) refuse(failure *verdict.Error) Result {
	s.cancel()
	unreachable := s.unreachable || failure.Verdict == verdict.NotRun && failure.Reason == verdict.ConnectFailed
	return Result{Failure: failure, Unreachable: unreachable, AttemptsUsed: s.part.possibleRuns, Trace: s.trace}
}
