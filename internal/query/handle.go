package query

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// handle takes one result. Results that match no live attempt of this query are counted and ignored.
func (q *query) handle(result *Result, now time.Time) {
	index, ok := q.byAttempt[result.Attempt]
	if !ok {
		q.engine.counters.Unmatched.Add(1)
		return
	}
	shard := &q.shards[index]
	ended := shard.attempt(result.Attempt)
	if result.Shard != shard.shard || result.Version != q.version || result.Server != ended.to.id {
		q.engine.counters.Mismatched.Add(1)
		return
	}
	if !ended.live {
		if shard.done {
			q.engine.counters.Late.Add(1)
		} else {
			q.engine.counters.Duplicate.Add(1)
		}
		return
	}
	if result.Err == nil && result.Rows == nil {
		result.Err = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the answer has no rows")
	}
	ended.live = false
	ended.to.state.inFlight.Add(-1)
	ended.to.state.account(result, ended.sent, now)
	if result.Err == nil {
		q.succeed(shard, ended, result, now)
		return
	}
	q.lose(index, ended, result.Err, now)
}

// attempt returns the attempt of an id that byAttempt has.
func (s *shardRun) attempt(id uint64) *attempt {
	for i := range s.attempts {
		if s.attempts[i].id == id {
			return &s.attempts[i]
		}
	}
	return nil
}

func (q *query) succeed(shard *shardRun, ended *attempt, result *Result, now time.Time) {
	q.observe(shard, now.Sub(ended.sent))
	if ended.hedge {
		q.engine.counters.HedgesWon.Add(1)
	}
	shard.done = true
	shard.verdict = verdict.Ran
	shard.rows = result.Rows
	q.answered++
	for i := range shard.attempts {
		if loser := &shard.attempts[i]; loser.live {
			q.observe(shard, now.Sub(loser.sent))
		}
	}
	q.giveUp(shard, now, true)
}

// observe adds a latency, or for an attempt that lost to a hedge the time that it took at least.
func (q *query) observe(shard *shardRun, took time.Duration) {
	if shard.service.stats.samples.Load() < leastSamples {
		q.engine.overall.observe(took)
	}
	shard.service.stats.observe(took)
}

// lose takes a failed attempt: it waits for another one that runs, retries, or gives the shard up. A
// shard of which every replica has lost the version makes the query want another version.
func (q *query) lose(index int, ended *attempt, err *verdict.Error, now time.Time) {
	shard := &q.shards[index]
	shard.verdict = max(shard.verdict, err.Verdict)
	if err.Reason == verdict.HedgeRefused {
		// The owner refused the hedge because of its budget; the replica is still good for a retry.
		shard.tried = without(shard.tried, ended.to.state)
		if shard.refused++; shard.refused <= mostRefusedHedges {
			shard.hedged = false
			q.hedgeLater(shard, now.Add(q.hedgeDelay(shard, now)))
		}
	} else {
		shard.reason, shard.after = err.Reason, err.RetryAfter
	}
	if shard.inFlight() {
		return
	}
	if q.retry(index, ended, err, now) {
		return
	}
	q.wantsMove = q.wantsMove || shard.reason == verdict.VersionNotHeld
	q.fail(shard, shard.reason)
}

// retry sends the part once more where the verdict, the budget and the time left allow it.
func (q *query) retry(index int, ended *attempt, err *verdict.Error, now time.Time) bool {
	shard := &q.shards[index]
	switch err.Reason {
	case verdict.Cancelled, verdict.InvalidRequest, verdict.Unauthorised:
		return false
	}
	if !q.idempotent && shard.verdict != verdict.NotRun {
		return false
	}
	if q.partDeadline.Sub(now) < LeastTime {
		return false
	}
	free := failedBeforeServer(err) || err.Reason == verdict.VersionNotHeld ||
		err.Reason == verdict.Cold && err.Verdict == verdict.NotRun
	if failedBeforeServer(err) && shard.reroutes < mostReroutes {
		if owner, ok := q.engine.router.Route(ended.to.id); ok && owner != ended.owner {
			shard.reroutes++
			shard.tried = without(shard.tried, ended.to.state)
		}
	}
	chosen, owner := q.choose(shard, false, now)
	if chosen == nil {
		return false
	}
	// A part that the backend server did not see, or answered by "version not held", costs it next to
	// nothing; the number of these is bounded by the replicas.
	if !free && !shard.service.stats.retries.take() {
		q.engine.counters.RetriesDenied.Add(1)
		return false
	}
	q.engine.counters.Retries.Add(1)
	q.post(index, *chosen, owner, false, now)
	return true
}

// mayMove tells whether the query can still be moved to another version. A query that is not idempotent
// moves only while no part can have run.
func (q *query) mayMove(now time.Time) bool {
	if !q.wantsMove || len(q.ruledOut) > mostMoves || q.partDeadline.Sub(now) < 2*LeastTime {
		return false
	}
	if !q.idempotent && !q.untouched() {
		return false
	}
	app, ok := q.engine.plan.Load().applications[q.request.Application]
	if !ok || app.index == nil {
		return false
	}
	for _, version := range app.index.Versions() {
		if !slices.Contains(q.ruledOut, version.Version) {
			return true
		}
	}
	return false
}

// move drops every result and starts the query again on another version that can be answered whole. It
// is tried again after each result, because the answers of the other shards tell what is held.
func (q *query) move(now time.Time) {
	if !q.mayMove(now) || !q.idempotent && q.anyLive() {
		return
	}
	q.plan = q.engine.plan.Load()
	q.app = q.plan.applications[q.request.Application]
	choice, ok := q.choice(false)
	if !ok || !choice.Whole {
		return
	}
	q.withdrawUnsent()
	for i := range q.shards {
		shard := &q.shards[i]
		q.dropped = q.dropped || shard.verdict != verdict.NotRun || shard.inFlight()
		q.giveUp(shard, now, true)
	}
	q.engine.counters.Moves.Add(1)
	q.take(choice.Version)
	q.start(now)
}

// untouched tells whether no part that has ended can have run.
func (q *query) untouched() bool {
	for i := range q.shards {
		if q.shards[i].verdict != verdict.NotRun {
			return false
		}
	}
	return true
}

func (q *query) anyLive() bool {
	for i := range q.shards {
		if q.shards[i].inFlight() {
			return true
		}
	}
	return false
}

func (q *query) fail(shard *shardRun, reason verdict.Reason) {
	shard.failed = true
	shard.reason = reason
	q.failed++
}

// expire marks the shards that have no result at the deadline. Their attempts stay live, so that the
// answer has them as parts that may have run.
func (q *query) expire() {
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.done || shard.failed {
			continue
		}
		q.fail(shard, verdict.DeadlinePassed)
	}
}

func without(tried []*replicaState, state *replicaState) []*replicaState {
	return slices.DeleteFunc(tried, func(other *replicaState) bool { return other == state })
}
