package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// finished reports whether the request has its answer or can no longer get one, and returns the result. Until the
// latency objective it waits for every part. After the objective it answers as soon as enough parts are there, because
// lateness costs more than a missing part. It checks whether the floor can still be reached only on ticks, because that
// check examines every replica of the shards.
func (f *fanout) finished(now time.Time, ticked bool) (Result, bool) {
	if !now.Before(f.answerDueAt) {
		f.recordOverload(now)
	}
	switch {
	case f.held:
		return f.refuse(quarantinedError(f.verdict(), f.engine.quarantine.UntilTrial(f.request.fingerprint(), now))), true
	case f.canary.failed:
		return f.refuse(f.belowFloorError("no replica left to try a suspected request at")), true
	case f.answered+f.failed == len(f.parts) && f.answered >= f.required,
		!now.Before(f.answerDueAt) && f.answered >= f.required:
		return f.mergeAnswer(), true
	case len(f.parts)-f.failed < f.required:
		return f.refuse(f.belowFloorError("too many shards failed")), true
	case !now.Before(f.giveUpAt):
		return f.refuse(f.belowFloorError("too few shards answered before the deadline")), true
	case ticked && !f.canary.inProgress() && f.answered+f.answerableParts(now) < f.required:
		return f.refuse(f.belowFloorError("too few shards have a replica that is expected to answer")), true
	}
	return Result{}, false
}

// answerableParts returns the number of parts without an answer that may still get one: their replica is not
// unresponsive, or another replica of their shard is expected to answer, or they wait for the end of a pause.
func (f *fanout) answerableParts(now time.Time) int {
	view := f.engine.view.Load()
	count := 0
	for i := range f.parts {
		p := &f.parts[i]
		if p.answer != nil || p.failed {
			continue
		}
		g := view.groups[p.service]
		if p.hasResponsiveReplica(now) || g.availability(f.request.Route, now) != unavailable || f.awaitsPauseEnd(p, g, now) {
			count++
		}
	}
	return count
}

// awaitsPauseEnd reports whether the part waits for the end of a pause that a replica has asked for, and would still be
// in time then.
func (f *fanout) awaitsPauseEnd(p *part, g *replicaGroup, now time.Time) bool {
	if p.retryAt.IsZero() {
		return false
	}
	from, ok := g.availableAt(f.request.Route, now)
	return ok && from.After(now) && f.answersInTime(from)
}

func (f *fanout) belowFloorError(detail string) *verdict.Error {
	failure := verdict.New(f.verdict(), verdict.CoverageBelowFloor, "%s: %d of %d shards answered, %d are required", detail, f.answered, len(f.parts), f.required)
	now := time.Now()
	from, ok := f.engine.view.Load().floorAvailableAt(f.request.Route, f.required, now)
	switch {
	case !ok:
		return failure.WithRetryAfter(max(unavailableRetryAfter, f.engine.callerRetryAfter(now)))
	case from.After(now) || failure.Verdict == verdict.NotRun || f.engine.Isolated():
		return failure.WithRetryAfter(max(from.Sub(now), f.engine.callerRetryAfter(now)))
	}
	return failure // no RetryAfter: another replica or instance may answer at once
}

// verdict says whether a replica may have run a part of the request.
func (f *fanout) verdict() verdict.Verdict {
	if f.mayHaveRun {
		return verdict.MayHaveRun
	}
	for i := range f.parts {
		if f.parts[i].possibleRuns > 0 {
			return verdict.MayHaveRun
		}
	}
	return verdict.NotRun
}

// observeLate tells the limiter of a request that ends before its early answers are there, if they are late already.
func (f *fanout) observeLate(now time.Time) {
	unqueued := f.stats.unqueued.time()
	if f.answered < f.earlyAnswers() && !f.started.IsZero() && isLate(now.Sub(f.started), unqueued) {
		f.limiter.observe(now, now.Sub(f.started), unqueued)
	}
}

// recordOverload records once for each request whether it misses the objective because its replicas are overloaded: it
// would have reached its floor but for the parts that were rejected or that wait at replicas that reject other
// requests. Parts that are late for other reasons must not reduce the share of requests that are admitted.
func (f *fanout) recordOverload(now time.Time) {
	if f.overloadRecorded || f.started.IsZero() {
		return
	}
	f.overloadRecorded = true
	if f.answered >= f.required {
		f.limiter.throttle.observe(now, false)
		return
	}
	overloaded := 0
	for i := range f.parts {
		if f.parts[i].overloaded(now) {
			overloaded++
		}
	}
	f.limiter.throttle.observe(now, f.answered+overloaded >= f.required)
}

// refuse ends the request without an answer and cancels its sends. Those of a trial go on for as long as an answer
// usually takes, because they show which replicas have recovered, unless the caller has cancelled the request.
func (f *fanout) refuse(failure *verdict.Error) Result {
	if f.trial && failure.Reason != verdict.Cancelled {
		f.detachCaller()
		time.AfterFunc(stallAfter(f.expected), f.cancel)
	} else {
		f.cancel()
	}
	f.observeLate(time.Now())
	if failure.Reason != verdict.Cancelled {
		f.recordOverload(time.Now())
	}
	f.recordMissingShards()
	return Result{Failure: failure, Unreachable: f.isUnreachable(failure), AttemptsUsed: f.attemptsUsed(), Trace: f.trace}
}

// attemptsUsed returns the largest number of replicas at which a part may have run.
func (f *fanout) attemptsUsed() (most int) {
	for i := range f.parts {
		most = max(most, f.parts[i].possibleRuns)
	}
	return most
}

// isUnreachable reports whether another instance should serve the refused request, because this one does not reach the
// replicas that it needs. If some parts may have run, the sends of the other instance to their shards are extra ones and
// are charged here; they count towards the attempts of the route.
func (f *fanout) isUnreachable(failure *verdict.Error) bool {
	switch {
	case failure.Reason == verdict.Cancelled || !f.unreachable && !f.connectFailed():
		return false
	case failure.Verdict == verdict.NotRun:
		return true
	}
	return f.attemptsUsed() < f.request.Route.MaxAttempts && f.request.isForwardable() && f.payForRepeat(time.Now())
}

// payForRepeat charges an extra send to the budget of each shard whose part may have run. It reports whether all budgets
// permit it; otherwise nothing is charged.
func (f *fanout) payForRepeat(now time.Time) bool {
	view, allowed := f.engine.view.Load(), f.engine.allowance(now)
	var charged []*retryBudget
	for i := range f.parts {
		g := view.groups[f.parts[i].service]
		if f.parts[i].possibleRuns == 0 || g == nil {
			continue
		}
		if !g.budget.take(now, allowed) {
			for _, budget := range charged {
				budget.refund()
			}
			return false
		}
		charged = append(charged, g.budget)
	}
	return true
}

// connectFailed reports whether some parts have no answer because no connection to a replica could be opened, and none
// for another reason.
func (f *fanout) connectFailed() bool {
	found := false
	for i := range f.parts {
		p := &f.parts[i]
		if p.answer != nil || p.reason == verdict.None {
			continue
		}
		if p.reason != verdict.ConnectFailed {
			return false
		}
		found = true
	}
	return found
}

func (f *fanout) mergeAnswer() Result {
	f.recordOverload(time.Now())
	if f.limiter.limiting() {
		f.cancel() // other requests need the slots
	} else {
		f.detachCaller()
		time.AfterFunc(lingerTimeout, f.cancel)
	}
	bodies := make([][]byte, 0, f.answered)
	result := Result{Receipts: make([]string, 0, f.answered), MissingShards: len(f.parts) - f.answered}
	for i := range f.parts {
		if answer := f.parts[i].answer; answer != nil {
			bodies = append(bodies, answer.Body)
			result.Receipts = append(result.Receipts, answer.Receipt)
		}
	}
	result.Records = merge(bodies, f.request.Route.MaxRecords)
	f.recordMissingShards()
	result.Trace = f.trace
	return result
}

// recordMissingShards counts the shards without an answer by reason. A request that was refused before anything was
// sent has none.
func (f *fanout) recordMissingShards() {
	f.trace.Answered = f.answered
	for i := range f.parts {
		if p := &f.parts[i]; p.answer == nil && (p.reason != verdict.None || len(p.sends) > 0) {
			if f.trace.MissingShards == nil {
				f.trace.MissingShards = make(map[verdict.Reason]int)
			}
			reason := p.reason
			if reason == verdict.None {
				reason = verdict.DeadlinePassed
			}
			f.trace.MissingShards[reason]++
			f.engine.recordMissingShard(p.service, reason)
		}
	}
}
