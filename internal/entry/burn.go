package entry

// Records the outcome of every query and of its parts for the burn report. The engine does not know of it: the parts
// are seen where they leave for their owners, and a query's context carries the trace that collects them.

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

// trace collects the attempts of one query. Results that come after end has returned change nothing.
type trace struct {
	started time.Time

	mutex    sync.Mutex
	attempts []tracedAttempt
	coverage *api.Coverage
}

type tracedAttempt struct {
	number  uint64
	service fleet.ServiceID
	shard   string
	server  fleet.ServerID
	version uint64
	done    bool
	took    time.Duration
	reason  verdict.Reason
}

type traceKey struct{}

func traceOf(ctx context.Context) *trace {
	found, _ := ctx.Value(traceKey{}).(*trace)
	return found
}

// sent notes parts that leave and returns deliver with the results noted as well.
func (t *trace) sent(parts []query.Part, deliver func(query.Result)) func(query.Result) {
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
		t.result(first, last, &result)
		deliver(result)
	}
}

func (t *trace) result(first, last int, result *query.Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := first; n < last; n++ {
		attempt := &t.attempts[n]
		if attempt.number != result.Attempt || attempt.done {
			continue
		}
		attempt.done, attempt.took = true, time.Since(t.started)
		if result.Err != nil {
			attempt.reason = result.Err.Reason
		}
		return
	}
}

// answered notes the coverage of the answer of the query that ctx belongs to.
func answered(ctx context.Context, answer *api.Answer) {
	if t := traceOf(ctx); t != nil {
		t.coverage = &answer.Coverage
	}
}

// execute runs a query in this instance and records its outcome.
func (i *Instance) execute(ctx context.Context, request httpapi.Request, once bool) (json.RawMessage, *api.Refusal) {
	t := &trace{started: time.Now()}
	answer, refusal := i.admitAndRun(context.WithValue(ctx, traceKey{}, t), request, once)
	outcome := burn.Outcome{Application: request.Application, Zone: string(i.settings.Zone), Took: time.Since(t.started)}
	coverage := t.coverage
	if refusal != nil {
		outcome.Refused, coverage = refusal.Reason, refusal.Coverage
	}
	outcome.Parts = t.end(coverage, i.zoneOf, func(shard string) string { return i.serviceOf(request.Application, shard) })
	i.burn.Record(outcome)
	return answer, refusal
}

func (i *Instance) zoneOf(id fleet.ServerID) string {
	server, _ := i.members.server(id)
	return string(server.Zone)
}

// serviceOf returns the service that the newest version with the shard maps it to.
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

// end returns the outcome of each shard. A query that moved to another version is judged by the attempts of the
// last one, and its time counts from the start.
func (t *trace) end(coverage *api.Coverage, zoneOf func(fleet.ServerID) string, serviceOf func(shard string) string) []burn.Part {
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
	for _, one := range coverage.Missing {
		missing[one.Shard] = one.Reason
	}
	parts := make([]burn.Part, 0, coverage.Asked)
	for len(byShard) > 0 {
		end := 1
		for end < len(byShard) && byShard[end].shard == byShard[0].shard {
			end++
		}
		reason, lost := missing[byShard[0].shard]
		delete(missing, byShard[0].shard)
		parts = append(parts, partOf(byShard[:end], reason, lost, zoneOf))
		byShard = byShard[end:]
	}
	// Shards for which no attempt was sent have no server.
	for shard, reason := range missing {
		parts = append(parts, burn.Part{Service: serviceOf(shard), Shard: shard, Reason: reason})
	}
	return parts
}

// partOf judges one shard by its attempts in the order of sending. A late answer is blamed on the first attempt,
// because later ones are hedges and retries for it; a missing one on the last attempt that failed for its reason.
func partOf(attempts []tracedAttempt, reason verdict.Reason, lost bool, zoneOf func(fleet.ServerID) string) burn.Part {
	blamed := attempts[0]
	part := burn.Part{Service: string(blamed.service), Shard: blamed.shard, Reason: blamed.reason}
	if lost {
		part.Reason = reason
		for _, attempt := range attempts {
			if attempt.done && attempt.reason == reason {
				blamed = attempt
			}
		}
	}
	for _, attempt := range attempts {
		if !lost && attempt.done && attempt.reason == verdict.None {
			part.Answered, part.Took = true, attempt.took
			break
		}
	}
	part.Server, part.Zone = string(blamed.server), zoneOf(blamed.server)
	return part
}

// notForwarded records a ticketed query that did not reach the instance which issued its ticket. Every other
// ticketed query is recorded where it runs.
func (i *Instance) notForwarded(request httpapi.Request, failure *verdict.Error) {
	if failure != nil && failure.Reason == verdict.PeerUnreachable {
		i.burn.Record(burn.Outcome{Application: request.Application, Zone: string(i.settings.Zone), Refused: failure.Reason})
	}
}

// Burn implements httpapi.Reporter.
func (r reporter) Burn() any { return r.burn.Snapshot() }
