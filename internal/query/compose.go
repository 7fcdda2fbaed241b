package query

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// defaultRetryAfter is the time after which the caller may retry if no backend server named one.
const defaultRetryAfter = time.Second

// minAnswered returns the smallest number of answered shards for which an answer is sent. It is at least 1, even if the
// service allows partial answers.
func (q *query) minAnswered() int {
	if q.app.policy.BelowFloor == catalogue.Partial {
		return 1
	}
	return max(1, q.coverageFloor())
}

// coverageFloor returns the number of shards that the coverage floor of the service requires.
func (q *query) coverageFloor() int {
	// The subtraction makes up for rounding errors: without it, 0.55 of 100, which is about 55.00000000000001, would
	// require 56 shards.
	return int(math.Ceil(q.app.policy.MinCoverage*float64(len(q.shards)) - 1e-9))
}

// earlyRefusal returns a refusal as soon as it is certain that too few shards can be answered, and nil before.
func (q *query) earlyRefusal() *api.Refusal {
	if len(q.shards)-q.failed >= q.minAnswered() {
		return nil
	}
	if q.answered+q.failed < len(q.shards) && q.maySwitchVersion(time.Now()) {
		// The results of the parts in flight may show that another version can be answered completely.
		return nil
	}
	return q.refuseBelowFloor()
}

// compose returns the answer, or a refusal if too few shards were answered.
func (q *query) compose() (api.Answer, *api.Refusal) {
	if q.answered < q.minAnswered() {
		return api.Answer{}, q.refuseBelowFloor()
	}
	answer := api.Answer{
		ID:       q.request.ID,
		Verdict:  verdict.Ran,
		Snapshot: uint64(q.version),
		Coverage: q.coverage(),
		Rows:     make(map[string]json.RawMessage, q.answered),
	}
	for i := range q.shards {
		if shard := &q.shards[i]; shard.answered {
			answer.Rows[string(shard.id)] = shard.rows
		}
	}
	return answer, nil
}

// coverage counts the answered shards and lists every other shard as missing.
func (q *query) coverage() api.Coverage {
	coverage := api.Coverage{Asked: len(q.shards), Answered: q.answered}
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.answered {
			continue
		}
		missing := api.Missing{Shard: string(shard.id), Reason: shard.reason, Verdict: shard.verdict}
		if !shard.failed {
			// The query was refused before this part ended.
			missing.Reason = verdict.Cancelled
		}
		if shard.inFlight() {
			missing.Verdict = max(missing.Verdict, verdict.MayHaveRun)
		}
		coverage.Missing = append(coverage.Missing, missing)
	}
	return coverage
}

// inFlight reports whether the shard has an attempt that has not ended.
func (s *shardRun) inFlight() bool {
	for i := range s.attempts {
		if s.attempts[i].inFlight {
			return true
		}
	}
	return false
}

// refuseBelowFloor returns the refusal of a query with too few answered shards. If no shard was answered and all failed
// for the same reason, the refusal has that reason.
func (q *query) refuseBelowFloor() *api.Refusal {
	reason := verdict.CoverageBelowFloor
	if q.answered == 0 {
		reason = q.commonReason()
	}
	return q.refusal(reason, fmt.Sprintf("%d of %d shards answered, %d needed", q.answered, len(q.shards), q.minAnswered()))
}

// commonReason returns the reason that all failed shards share, None if no shard has failed, and CoverageBelowFloor if
// the reasons differ.
func (q *query) commonReason() verdict.Reason {
	common := verdict.None
	for i := range q.shards {
		shard := &q.shards[i]
		switch {
		case !shard.failed || shard.reason == common:
		case common == verdict.None:
			common = shard.reason
		default:
			return verdict.CoverageBelowFloor
		}
	}
	return common
}

// refusal returns a refusal whose verdict holds for all parts together: NotRun only if no part can have run, Ran only
// if every part has run, and MayHaveRun otherwise.
func (q *query) refusal(reason verdict.Reason, detail string) *api.Refusal {
	q.withdrawUnsent()
	coverage := q.coverage()
	refusal := &api.Refusal{
		ID:       q.request.ID,
		Verdict:  verdict.NotRun,
		Reason:   reason,
		Detail:   detail,
		Coverage: &coverage,
	}
	ran := coverage.Answered
	for _, missing := range coverage.Missing {
		switch missing.Verdict {
		case verdict.Ran:
			ran++
		case verdict.MayHaveRun:
			refusal.Verdict = verdict.MayHaveRun
		}
	}
	switch {
	case ran == coverage.Asked:
		refusal.Verdict = verdict.Ran
	case ran > 0 || q.abandonedMayHaveRun:
		refusal.Verdict = verdict.MayHaveRun
	}
	refusal.RetryAfterMillis = q.retryAfterMillis()
	return refusal
}

// retryAfterMillis returns when the caller may retry, and 0 if backend servers have rejected the request itself in so
// many shards that a retry cannot reach the required number of answered shards.
func (q *query) retryAfterMillis() int64 {
	retryAfter, permanent := time.Duration(0), 0
	for i := range q.shards {
		shard := &q.shards[i]
		retryAfter = max(retryAfter, shard.retryAfter)
		if shard.failed && (shard.reason == verdict.InvalidRequest || shard.reason == verdict.Unauthorised) {
			permanent++
		}
	}
	if len(q.shards) > 0 && len(q.shards)-permanent < q.minAnswered() {
		return 0
	}
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return max(1, retryAfter.Milliseconds())
}

// withdrawUnsent ends the attempts that are still in the outbox, so that they are not reported as parts that may have
// run.
func (q *query) withdrawUnsent() {
	for _, item := range q.outbox {
		unsent := q.shards[q.shardByAttempt[item.part.Attempt]].attempt(item.part.Attempt)
		if unsent.inFlight {
			unsent.inFlight = false
			unsent.replica.state.inFlight.Add(-1)
		}
	}
	q.outbox = q.outbox[:0]
}
