package query

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// handleResult processes one result. A result that matches no attempt in flight of this query is counted and otherwise
// ignored.
func (q *query) handleResult(result *Result, now time.Time) {
	index, ok := q.shardByAttempt[result.Attempt]
	if !ok {
		q.engine.counters.UnmatchedResults.Add(1)
		return
	}
	shard := &q.shards[index]
	ended := shard.attempt(result.Attempt)
	if result.Shard != shard.id || result.Version != q.version || result.Server != ended.replica.id {
		q.engine.counters.MismatchedResults.Add(1)
		return
	}
	if !ended.inFlight {
		if shard.answered {
			q.engine.counters.LateResults.Add(1)
		} else {
			q.engine.counters.DuplicateResults.Add(1)
		}
		return
	}
	if result.Err == nil && result.Rows == nil {
		result.Err = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the answer has no rows")
	}
	ended.inFlight = false
	ended.replica.state.inFlight.Add(-1)
	ended.replica.state.recordResult(result, ended.sent, now)
	if result.Err == nil {
		q.recordAnswer(shard, ended, result, now)
		return
	}
	q.handleFailure(index, ended, result.Err, now)
}

// attempt returns the attempt with the id. It is nil for ids that shardByAttempt does not map to this shard.
func (s *shardRun) attempt(id uint64) *attempt {
	for i := range s.attempts {
		if s.attempts[i].id == id {
			return &s.attempts[i]
		}
	}
	return nil
}

// recordAnswer stores the rows of the shard, records the latency of its attempts and cancels those in flight.
func (q *query) recordAnswer(shard *shardRun, ended *attempt, result *Result, now time.Time) {
	q.observeLatency(shard, now.Sub(ended.sent))
	if ended.hedge {
		q.engine.counters.HedgesWon.Add(1)
	}
	shard.answered = true
	shard.verdict = verdict.Ran
	shard.rows = result.Rows
	q.answered++
	for i := range shard.attempts {
		if slower := &shard.attempts[i]; slower.inFlight {
			q.observeLatency(shard, now.Sub(slower.sent))
		}
	}
	q.abandonAttempts(shard, now, true)
}

// observeLatency records the latency of an attempt of the shard. For an attempt that is cancelled because another one
// was answered first, latency is the time that it has run so far, which is a lower bound.
func (q *query) observeLatency(shard *shardRun, latency time.Duration) {
	if shard.service.stats.samples.Load() < minSamples {
		q.engine.pooledStats.observe(latency)
	}
	shard.service.stats.observe(latency)
}

// handleFailure processes a failed attempt. If another attempt of the shard is in flight, it waits for that one;
// otherwise it retries the part or fails the shard. If the shard fails because no replica holds the version any more,
// the query needs another version.
func (q *query) handleFailure(index int, ended *attempt, err *verdict.Error, now time.Time) {
	shard := &q.shards[index]
	shard.verdict = max(shard.verdict, err.Verdict)
	if err.Reason == verdict.HedgeRefused {
		// The owner had no hedge budget left; the replica itself may still be used for a retry.
		shard.tried = withoutState(shard.tried, ended.replica.state)
		if shard.refusedHedges++; shard.refusedHedges <= maxRefusedHedges {
			shard.hedged = false
			q.scheduleHedge(shard, now.Add(q.hedgeDelay(shard, now)))
		}
	} else {
		shard.reason, shard.retryAfter = err.Reason, err.RetryAfter
	}
	if shard.inFlight() {
		return
	}
	if q.retryPart(index, ended, err, now) {
		return
	}
	q.needsOtherVersion = q.needsOtherVersion || shard.reason == verdict.VersionNotHeld
	q.failShard(shard, shard.reason)
}

// retryPart queues another attempt of the part and reports whether it did. The verdict, the retry budget and the time
// left must allow it.
func (q *query) retryPart(index int, ended *attempt, err *verdict.Error, now time.Time) bool {
	shard := &q.shards[index]
	switch err.Reason {
	case verdict.Cancelled, verdict.InvalidRequest, verdict.Unauthorised:
		return false
	}
	if !q.idempotent && shard.verdict != verdict.NotRun {
		return false
	}
	if q.partDeadline.Sub(now) < MinRemainingTime {
		return false
	}
	budgetExempt := failedBeforeServer(err) || err.Reason == verdict.VersionNotHeld ||
		err.Reason == verdict.Cold && err.Verdict == verdict.NotRun
	if failedBeforeServer(err) && shard.reroutes < maxReroutes {
		if owner, ok := q.engine.owners.Owner(ended.replica.id); ok && owner != ended.owner {
			shard.reroutes++
			shard.tried = withoutState(shard.tried, ended.replica.state)
		}
	}
	chosen, owner := q.chooseReplica(shard, false, now)
	if chosen == nil {
		return false
	}
	// These failures are exempt from the budget: a part that did not reach the backend server, or that the server
	// rejected because it does not hold the version or is cold, costs it next to nothing. The number of replicas and
	// maxReroutes bound such retries.
	if !budgetExempt && !shard.service.stats.retryBudget.tryWithdraw() {
		q.engine.counters.RetriesDenied.Add(1)
		return false
	}
	q.engine.counters.Retries.Add(1)
	q.queueAttempt(index, *chosen, owner, false, now)
	return true
}

// maySwitchVersion reports whether the query can still switch to another version. A query that is not idempotent may
// switch only as long as no ended part can have run.
func (q *query) maySwitchVersion(now time.Time) bool {
	if !q.needsOtherVersion || len(q.triedVersions) > maxVersionSwitches || q.partDeadline.Sub(now) < 2*MinRemainingTime {
		return false
	}
	if !q.idempotent && !q.noEndedPartMayHaveRun() {
		return false
	}
	app, ok := q.engine.plan.Load().applications[q.request.Application]
	if !ok || app.index == nil {
		return false
	}
	for _, version := range app.index.Versions() {
		if !slices.Contains(q.triedVersions, version.Version) {
			return true
		}
	}
	return false
}

// switchVersion discards all results and restarts the query on another version that can be answered completely, if
// there is one. It is called after each batch of results, because the answers of other shards show which versions are
// held. A query that is not idempotent does not switch while parts are in flight, because these may still run.
func (q *query) switchVersion(now time.Time) {
	if !q.maySwitchVersion(now) || !q.idempotent && q.anyInFlight() {
		return
	}
	q.plan = q.engine.plan.Load()
	q.app = q.plan.applications[q.request.Application]
	choice, ok := q.pickVersion(false)
	if !ok || !choice.Complete {
		return
	}
	q.withdrawUnsent()
	for i := range q.shards {
		shard := &q.shards[i]
		q.abandonedMayHaveRun = q.abandonedMayHaveRun || shard.verdict != verdict.NotRun || shard.inFlight()
		q.abandonAttempts(shard, now, true)
	}
	q.engine.counters.VersionSwitches.Add(1)
	q.adoptVersion(choice.Version)
	q.queueFirstAttempts(now)
}

// noEndedPartMayHaveRun reports whether no part that has ended can have run. Parts in flight are not considered.
func (q *query) noEndedPartMayHaveRun() bool {
	for i := range q.shards {
		if q.shards[i].verdict != verdict.NotRun {
			return false
		}
	}
	return true
}

func (q *query) anyInFlight() bool {
	for i := range q.shards {
		if q.shards[i].inFlight() {
			return true
		}
	}
	return false
}

func (q *query) failShard(shard *shardRun, reason verdict.Reason) {
	shard.failed = true
	shard.reason = reason
	q.failed++
}

// expireShards fails the shards that have no result at the deadline. Their attempts remain in flight, so that the
// answer reports them as parts that may have run.
func (q *query) expireShards() {
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.answered || shard.failed {
			continue
		}
		q.failShard(shard, verdict.DeadlinePassed)
	}
}

// withoutState removes state from tried in place and returns the shortened slice.
func withoutState(tried []*replicaState, state *replicaState) []*replicaState {
	return slices.DeleteFunc(tried, func(other *replicaState) bool { return other == state })
}
