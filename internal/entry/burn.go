package entry

// Records the outcome of every query and of its parts for the error budget (burn) report. The query engine is not
// involved: the parts are recorded when they are sent to their owners, in a trace that the query's context carries.

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// trace records the attempts of one query. Results that arrive after shardOutcomes has returned have no effect on the
// report. A nil trace records nothing.
type trace struct {
	started time.Time

	mutex    sync.Mutex
	attempts []tracedAttempt
	coverage *api.Coverage
}

// tracedAttempt is one attempt at one part, and its result once done is set.
type tracedAttempt struct {
	number  uint64
	service fleet.ServiceID
	shard   string
	server  fleet.ServerID
	version uint64
	done    bool
	elapsed time.Duration
	reason  verdict.Reason
}

type traceContextKey struct{}

// traceFromContext returns the trace that the context carries, or nil.
func traceFromContext(ctx context.Context) *trace {
	found, _ := ctx.Value(traceContextKey{}).(*trace)
	return found
}

// recordSent records parts that are about to be sent. It returns a function that records their results and passes them
// to deliver.
func (t *trace) recordSent(parts []query.Part, deliver func(query.Result)) func(query.Result) {
	if t == nil {
		return deliver
	}
	t.mutex.Lock()
	first := len(t.attempts)
	for _, part := range parts {
		t.attempts = append(t.attempts, tracedAttempt{
			number: part.Attempt, service: part.Service, shard: string(part.Shard), server: part.Server, version: uint64(part.Version),
		})
	}
	last := len(t.attempts)
	t.mutex.Unlock()
	return func(result query.Result) {
		t.recordResult(first, last, &result)
		deliver(result)
	}
}

// recordResult records the result of an attempt. first and last delimit the attempts that were sent together with it,
// last excluded.
func (t *trace) recordResult(first, last int, result *query.Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := first; n < last; n++ {
		attempt := &t.attempts[n]
		if attempt.number != result.Attempt || attempt.done {
			continue
		}
		attempt.done, attempt.elapsed = true, time.Since(t.started)
		if result.Err != nil {
			attempt.reason = result.Err.Reason
		}
		return
	}
}

// recordCoverage records the coverage of the answer in the trace that ctx carries, if any.
func recordCoverage(ctx context.Context, answer *api.Answer) {
	if t := traceFromContext(ctx); t != nil {
		t.coverage = &answer.Coverage
	}
}

// execute runs a query in this instance and records its outcome for the burn report.
func (i *Instance) execute(ctx context.Context, request httpapi.Request, atMostOnce bool) (json.RawMessage, *api.Refusal) {
	t := &trace{started: time.Now()}
	answer, refusal := i.admitAndRun(context.WithValue(ctx, traceContextKey{}, t), request, atMostOnce)
	outcome := burn.Outcome{Application: request.Application, Zone: string(i.settings.Zone), Latency: time.Since(t.started)}
	coverage := t.coverage
	if refusal != nil {
		outcome.RefusalReason, coverage = refusal.Reason, refusal.Coverage
	}
	outcome.Parts = t.shardOutcomes(coverage, i.zoneOf, func(shard string) string { return i.serviceOf(request.Application, shard) })
	i.burn.Record(outcome)
	return answer, refusal
}

func (i *Instance) zoneOf(id fleet.ServerID) string {
	server, _ := i.members.server(id)
	return string(server.Zone)
}

// serviceOf returns the service of a shard in the newest version of the application's index that has the shard, or ""
// if there is none.
func (i *Instance) serviceOf(application, shard string) string {
	indexes := i.indexes.Load()
	if indexes == nil || (*indexes)[catalogue.ApplicationID(application)] == nil {
		return ""
	}
	for _, version := range (*indexes)[catalogue.ApplicationID(application)].Versions() {
		if service, ok := version.Shards[snapshot.ShardID(shard)]; ok {
			return string(service)
		}
	}
	return ""
}

// shardOutcomes returns the outcome of each shard, or nil for a query without coverage. For a query that moved to
// another version, only the attempts of the last version count, but their time is measured from the start of the query.
func (t *trace) shardOutcomes(coverage *api.Coverage, zoneOf func(fleet.ServerID) string, serviceOf func(shard string) string) []burn.Part {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if coverage == nil {
		return nil
	}
	var last uint64
	if len(t.attempts) > 0 {
		last = t.attempts[len(t.attempts)-1].version
	}
	byShard := slices.DeleteFunc(t.attempts, func(a tracedAttempt) bool { return a.version != last })
	slices.SortStableFunc(byShard, func(a, b tracedAttempt) int { return cmp.Compare(a.shard, b.shard) })
	missing := make(map[string]verdict.Reason, len(coverage.Missing))
	for _, entry := range coverage.Missing {
		missing[entry.Shard] = entry.Reason
	}
	parts := make([]burn.Part, 0, coverage.Asked)
	for len(byShard) > 0 {
		end := 1
		for end < len(byShard) && byShard[end].shard == byShard[0].shard {
			end++
		}
		reason, isMissing := missing[byShard[0].shard]
		delete(missing, byShard[0].shard)
		parts = append(parts, shardOutcome(byShard[:end], reason, isMissing, zoneOf))
		byShard = byShard[end:]
	}
	// The remaining shards are those for which no attempt was sent; they have no server.
	for shard, reason := range missing {
		parts = append(parts, burn.Part{Service: serviceOf(shard), Shard: shard, Reason: reason})
	}
	return parts
}

// shardOutcome returns the outcome of one shard from its attempts, which are in the order of sending. The time of an
// answer is attributed to the server of the first attempt, because later attempts are its hedges and retries; a missing
// answer is attributed to the server of the last attempt that failed for the same reason.
func shardOutcome(attempts []tracedAttempt, reason verdict.Reason, isMissing bool, zoneOf func(fleet.ServerID) string) burn.Part {
	attributedTo := attempts[0]
	part := burn.Part{Service: string(attributedTo.service), Shard: attributedTo.shard, Reason: attributedTo.reason}
	if isMissing {
		part.Reason = reason
		for _, attempt := range attempts {
			if attempt.done && attempt.reason == reason {
				attributedTo = attempt
			}
		}
	}
	for _, attempt := range attempts {
		if !isMissing && attempt.done && attempt.reason == verdict.None {
			part.Answered, part.Latency = true, attempt.elapsed
			break
		}
	}
	part.Server, part.Zone = string(attributedTo.server), zoneOf(attributedTo.server)
	return part
}

// recordUnreachablePeer records a query with a ticket that did not reach the instance that issued the ticket. All other
// queries with tickets are recorded by the instance that runs them.
func (i *Instance) recordUnreachablePeer(request httpapi.Request, failure *verdict.Error) {
	if failure != nil && failure.Reason == verdict.PeerUnreachable {
		i.burn.Record(burn.Outcome{Application: request.Application, Zone: string(i.settings.Zone), RefusalReason: failure.Reason})
	}
}

// Burn implements httpapi.Reporter.
func (r reporter) Burn() any { return r.burn.Snapshot() }
