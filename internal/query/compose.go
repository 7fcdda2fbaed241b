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

// defaultRetryAfter is when a caller comes back where no server said when.
const defaultRetryAfter = time.Second

// needed is the least number of answered shards for an answer. An answer without any shard is never
// sent, also where the service allows partial answers.
func (q *query) needed() int {
	if q.app.policy.BelowFloor == catalogue.Partial {
		return 1
	}
	return max(1, q.floor())
}

func (q *query) floor() int {
	// The small amount keeps 0.95 of 20, which is 19.000000000000004 or so, from asking for 20.
	return int(math.Ceil(q.app.policy.CoverageFloor*float64(len(q.shards)) - 1e-9))
}

// hopeless returns the refusal as soon as it is certain that too few shards can be answered.
func (q *query) hopeless() *api.Refusal {
	if len(q.shards)-q.failed >= q.needed() {
		return nil
	}
	if q.answered+q.failed < len(q.shards) && q.mayMove(time.Now()) {
		// The parts still in flight may show that another version can be answered whole.
		return nil
	}
	return q.belowFloor()
}

// compose returns the answer, or the refusal where too few shards were answered.
func (q *query) compose() (api.Answer, *api.Refusal) {
	if q.answered < q.needed() {
		return api.Answer{}, q.belowFloor()
	}
	answer := api.Answer{
		ID:       q.request.ID,
		Verdict:  verdict.Ran,
		Snapshot: uint64(q.version),
		Coverage: q.coverage(),
		Rows:     make(map[string]json.RawMessage, q.answered),
	}
	for i := range q.shards {
		if shard := &q.shards[i]; shard.done {
			answer.Rows[string(shard.shard)] = shard.rows
		}
	}
	return answer, nil
}

// coverage counts the shards that have a result; the others are missing by name.
func (q *query) coverage() api.Coverage {
	coverage := api.Coverage{Asked: len(q.shards), Answered: q.answered}
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.done {
			continue
		}
		missing := api.Missing{Shard: string(shard.shard), Reason: shard.reason, Verdict: shard.verdict}
		if !shard.failed {
			// The refusal was certain before this part ended.
			missing.Reason = verdict.Cancelled
		}
		if shard.inFlight() {
			missing.Verdict = max(missing.Verdict, verdict.MayHaveRun)
		}
		coverage.Missing = append(coverage.Missing, missing)
	}
	return coverage
}

// inFlight tells whether an attempt was sent that has not ended.
func (s *shardRun) inFlight() bool {
	for i := range s.attempts {
		if s.attempts[i].live {
			return true
		}
	}
	return false
}

func (q *query) belowFloor() *api.Refusal {
	reason := verdict.CoverageBelowFloor
	if q.answered == 0 {
		reason = q.commonReason()
	}
	return q.refusal(reason, fmt.Sprintf("%d of %d shards answered, %d needed", q.answered, len(q.shards), q.needed()))
}

// commonReason is the reason that every failed shard has, if it is one.
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

// refusal returns a refusal whose verdict is true over all parts: NotRun only if no part can have run,
// Ran only if every part has run, and otherwise MayHaveRun.
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
	case ran > 0 || q.dropped:
		refusal.Verdict = verdict.MayHaveRun
	}
	refusal.RetryAfterMillis = q.retryAfterMillis()
	return refusal
}

// retryAfterMillis is 0 where servers have refused the request itself in so many shards that sending it again cannot
// reach the shards needed.
func (q *query) retryAfterMillis() int64 {
	after, lasting := time.Duration(0), 0
	for i := range q.shards {
		shard := &q.shards[i]
		after = max(after, shard.after)
		if shard.failed && (shard.reason == verdict.InvalidRequest || shard.reason == verdict.Unauthorised) {
			lasting++
		}
	}
	if len(q.shards) > 0 && len(q.shards)-lasting < q.needed() {
		return 0
	}
	if after == 0 {
		after = defaultRetryAfter
	}
	return max(1, after.Milliseconds())
}

// withdrawUnsent ends the attempts that are still in the outbox, so that they do not count as parts that
// may have run.
func (q *query) withdrawUnsent() {
	for _, item := range q.outbox {
		unsent := q.shards[q.byAttempt[item.part.Attempt]].attempt(item.part.Attempt)
		if unsent.live {
			unsent.live = false
			unsent.to.state.inFlight.Add(-1)
		}
	}
	q.outbox = q.outbox[:0]
}
