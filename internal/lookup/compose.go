package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// ended tells whether the request has its answer or can get none any more. Until the objective it waits for every part;
// after it, the first moment with enough parts is best, because lateness costs more than a missing part. Whether the floor
// is still in reach is judged on ticks only, because it looks at every replica of the shards.
func (f *fanout) ended(now time.Time, ticked bool) (Result, bool) {
	if !now.Before(f.composeAt) {
		f.judgeLoad(now)
	}
	switch {
	case f.answered+f.failed == len(f.parts) && f.answered >= f.floor,
		!now.Before(f.composeAt) && f.answered >= f.floor:
		return f.compose(), true
	case len(f.parts)-f.failed < f.floor:
		return f.refuse(f.belowFloor("too many shards have failed")), true
	case !now.Before(f.giveUpAt):
		return f.refuse(f.belowFloor("too few shards have answered in time")), true
	case ticked && f.answered+f.hopeful(now) < f.floor:
		return f.refuse(f.belowFloor("too few shards have a replica that answers")), true
	}
	return Result{}, false
}

// hopeful returns the number of parts without an answer that may still get one: they wait at a replica that is not
// silent, or another replica of their shard is not.
func (f *fanout) hopeful(now time.Time) int {
	current := f.engine.plan.Load()
	hopeful := 0
	for i := range f.parts {
		p := &f.parts[i]
		if p.answer != nil || p.failed {
			continue
		}
		g := current.groups[p.service]
		if p.sound(now) || f.engine.answers(f.request.Route, g, now) || f.pauseEnds(p, g, now) {
			hopeful++
		}
	}
	return hopeful
}

// pauseEnds tells whether the part waits for the end of a pause that a replica has asked for.
func (f *fanout) pauseEnds(p *part, g *group, now time.Time) bool {
	if p.retryAt.IsZero() {
		return false
	}
	from, ok := g.takesRequests(f.request.Route, now)
	return ok && from.After(now) && f.inTime(from)
}

func (f *fanout) belowFloor(detail string) *verdict.Error {
	failure := verdict.New(f.verdict(), verdict.CoverageBelowFloor, "%s: %d of %d, %d are needed", detail, f.answered, len(f.parts), f.floor)
	now := time.Now()
	from, ok := f.engine.plan.Load().floorTakesRequests(f.request.Route, f.floor, now)
	switch {
	case !ok:
		return failure.WithRetryAfter(max(downRetryAfter, f.engine.returnAfter(now)))
	case from.After(now) || failure.Verdict == verdict.NotRun || f.engine.Isolated():
		return failure.WithRetryAfter(max(from.Sub(now), f.engine.returnAfter(now)))
	}
	return failure // another replica or instance may answer at once
}

// verdict says whether a replica may have run a part.
func (f *fanout) verdict() verdict.Verdict {
	if f.ran {
		return verdict.MayHaveRun
	}
	for i := range f.parts {
		if f.parts[i].mayRun > 0 {
			return verdict.MayHaveRun
		}
	}
	return verdict.NotRun
}

// judgeLate tells the gate of a request that ends before its early answers are there, if they are late already.
func (f *fanout) judgeLate(now time.Time) {
	alone := f.usual.alone.time()
	if f.answered < f.early() && !f.began.IsZero() && isLate(now.Sub(f.began), alone) {
		f.gate.observe(now, now.Sub(f.began), alone)
	}
}

// judgeLoad tells the intake, once for each request, whether it will be late because its replicas have too much to do: without
// the parts that were rejected, or that wait at replicas that reject others, it would have reached its floor. Parts that are late
// for other reasons are no reason to let in less.
func (f *fanout) judgeLoad(now time.Time) {
	if f.judged || f.began.IsZero() {
		return
	}
	f.judged = true
	if f.answered >= f.floor {
		f.gate.intake.observe(now, false)
		return
	}
	overloaded := 0
	for i := range f.parts {
		if f.parts[i].overloaded(now) {
			overloaded++
		}
	}
	f.gate.intake.observe(now, f.answered+overloaded >= f.floor)
}

// refuse ends the request without an answer. Nobody waits for its parts any more, but those of a trial show which replicas are
// well, and go on for as long as an answer takes.
func (f *fanout) refuse(failure *verdict.Error) Result {
	if f.trial && failure.Reason != verdict.Cancelled {
		f.callerStays()
		time.AfterFunc(stallAfter(f.expected), f.cancel)
	} else {
		f.cancel()
	}
	f.judgeLate(time.Now())
	if failure.Reason != verdict.Cancelled {
		f.judgeLoad(time.Now())
	}
	f.missed()
	return Result{Failure: failure, Trace: f.trace}
}

func (f *fanout) compose() Result {
	f.judgeLoad(time.Now())
	if f.gate.congested() {
		f.cancel() // others need the slots
	} else {
		f.callerStays()
		time.AfterFunc(linger, f.cancel)
	}
	bodies := make([][]byte, 0, f.answered)
	result := Result{Receipts: make([]string, 0, f.answered), Missing: len(f.parts) - f.answered}
	for i := range f.parts {
		if answer := f.parts[i].answer; answer != nil {
			bodies = append(bodies, answer.Body)
			result.Receipts = append(result.Receipts, answer.Receipt)
		}
	}
	result.Records = merge(bodies, f.request.Route.Keep)
	f.missed()
	result.Trace = f.trace
	return result
}

// missed counts the shards without an answer by reason. A request that was refused before anything was sent misses none.
func (f *fanout) missed() {
	f.trace.Answered = f.answered
	for i := range f.parts {
		if p := &f.parts[i]; p.answer == nil && (p.reason != verdict.None || len(p.attempts) > 0) {
			if f.trace.Missed == nil {
				f.trace.Missed = make(map[verdict.Reason]int)
			}
			reason := p.reason
			if reason == verdict.None {
				reason = verdict.DeadlinePassed
			}
			f.trace.Missed[reason]++
			f.engine.recordMissed(p.service, reason)
		}
	}
}
