package query

import (
	"context"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// LeastTime is the shortest deadline that is tried: one zone crossing each way.
	LeastTime = 2 * time.Millisecond
	// wayBack is the time kept for results to come back across zones and for composing the answer.
	wayBack = 4 * time.Millisecond
	// mostMoves bounds how often one query is moved to another version.
	mostMoves = 2
	// mostReroutes bounds how often a part is sent to the same server through another owner.
	mostReroutes = 2
	// mostRefusedHedges bounds how often a part asks for a hedge again after an owner refused one.
	mostRefusedHedges = 2
)

// query is the state of one query. Only the goroutine that called Engine.Run uses it.
type query struct {
	engine     *Engine
	ctx        context.Context
	plan       *plan
	app        *application
	request    Request
	idempotent bool
	mayHedge   bool
	// partDeadline is passed to owners; composeAt is when the answer is composed at the latest.
	partDeadline time.Time
	composeAt    time.Time
	nextHedge    time.Time
	version      snapshot.Version
	ruledOut     []snapshot.Version
	shards       []shardRun
	byAttempt    map[uint64]int
	answered     int
	failed       int
	outbox       []outgoing
	mail         *mailbox
	draw         random
	// dropped is set when a part of a version that was given up may have run.
	dropped bool
	// wantsMove is set when every replica of a shard has lost the version.
	wantsMove bool
}

// shardRun is the state of one shard of a query.
type shardRun struct {
	shard    snapshot.ShardID
	service  *service
	tried    []*replicaState
	attempts []attempt
	rows     []byte
	done     bool
	failed   bool
	hedged   bool
	reroutes int
	// refused counts the hedges that owners refused.
	refused int
	sent    time.Time
	hedgeAt time.Time
	// verdict is the strongest of the ended attempts; reason and after are those of the last failure.
	verdict verdict.Verdict
	reason  verdict.Reason
	after   time.Duration
	// Most shards have one or two attempts; room for them here spares allocations.
	triedRoom   [2]*replicaState
	attemptRoom [2]attempt
}

type attempt struct {
	id    uint64
	owner fleet.InstanceID
	to    replica
	sent  time.Time
	live  bool
	hedge bool
}

type outgoing struct {
	owner fleet.InstanceID
	part  Part
}

func newQuery(ctx context.Context, e *Engine, current *plan, app *application, request Request, now, deadline time.Time) *query {
	margin := min(wayBack, deadline.Sub(now)/4)
	idempotent := app.policy.Idempotent && !request.AtMostOnce
	return &query{
		engine:       e,
		ctx:          ctx,
		plan:         current,
		app:          app,
		request:      request,
		idempotent:   idempotent,
		mayHedge:     idempotent && app.policy.Class != catalogue.Settlement,
		partDeadline: deadline.Add(-margin),
		composeAt:    deadline.Add(-margin / 2),
		draw:         random(e.seed + e.queries.Add(1)*0x9e3779b97f4a7c15),
	}
}

func (q *query) run() (api.Answer, *api.Refusal) {
	if refusal := q.pin(); refusal != nil {
		return api.Answer{}, refusal
	}
	q.mail = newMailbox(len(q.shards)+len(q.shards)/8+1, &q.engine.counters.Late)
	q.start(time.Now())
	timer := time.NewTimer(time.Until(q.composeAt))
	defer timer.Stop()
	var results []Result
	for {
		if refusal := q.hopeless(); refusal != nil {
			return api.Answer{}, refusal
		}
		if q.answered+q.failed == len(q.shards) {
			return q.compose()
		}
		q.flush()
		timer.Reset(time.Until(q.nextEvent()))
		select {
		case <-q.mail.ready:
		case <-timer.C:
		case <-q.ctx.Done():
			return api.Answer{}, q.refusal(verdict.Cancelled, "the caller gave the query up")
		}
		now := time.Now()
		results = q.mail.take(results)
		for i := range results {
			q.handle(&results[i], now)
		}
		q.move(now)
		if !now.Before(q.composeAt) {
			q.expire()
			return q.compose()
		}
		q.hedge(now)
	}
}

func (q *query) nextEvent() time.Time {
	if !q.nextHedge.IsZero() && q.nextHedge.Before(q.composeAt) {
		return q.nextHedge
	}
	return q.composeAt
}

// pin chooses the version and sets up its shards.
func (q *query) pin() *api.Refusal {
	choice, ok := q.choice(q.idempotent && q.app.mayTry(time.Now()))
	if !ok {
		refusal := refuse(q.request, verdict.UnknownShard, 0, "no index version has every shard of the query")
		refusal.Field = "shards"
		return refusal
	}
	q.take(choice.Version)
	return nil
}

func (q *query) choice(trial bool) (snapshot.Choice, bool) {
	now := time.Now()
	skip := func(version snapshot.Version) bool { return slices.Contains(q.ruledOut, version) }
	best := func(service fleet.ServiceID, version snapshot.Version) snapshot.Belief {
		return q.plan.best(service, version, q.engine.router, now)
	}
	return q.app.index.Pin(q.request.Shards, trial, skip, best)
}

func (q *query) take(version snapshot.Version) {
	q.version = version
	q.ruledOut = append(q.ruledOut, version)
	all := q.app.versions[version]
	q.shards = make([]shardRun, 0, len(all))
	for _, planned := range all {
		if len(q.request.Shards) == 0 || slices.Contains(q.request.Shards, planned.shard) {
			q.shards = append(q.shards, shardRun{shard: planned.shard, service: planned.service})
		}
	}
	q.byAttempt = make(map[uint64]int, len(q.shards))
	q.answered, q.failed, q.nextHedge, q.wantsMove = 0, 0, time.Time{}, false
	q.outbox = make([]outgoing, 0, len(q.shards))
}

// start chooses a replica for each shard.
func (q *query) start(now time.Time) {
	for i := range q.shards {
		shard := &q.shards[i]
		chosen, owner := q.choose(shard, false, now)
		if chosen == nil {
			q.fail(shard, shard.service.absence(q.version, now))
			continue
		}
		q.engine.counters.Firsts.Add(1)
		if len(q.ruledOut) == 1 {
			shard.service.stats.retries.earn(retryEarn)
			shard.service.stats.hedges.earn(hedgeEarn)
		}
		q.post(i, *chosen, owner, false, now)
	}
}

// choose returns a replica with a reachable owner. It uses the newest plan, so that a server that was
// taken out or leaves while the query runs gets no new part.
func (q *query) choose(shard *shardRun, hedge bool, now time.Time) (*replica, fleet.InstanceID) {
	if current := q.engine.plan.Load(); current != shard.service.plan {
		known, ok := current.services[shard.service.id]
		if !ok {
			return nil, ""
		}
		shard.service = known
	}
	tried := shard.tried
	for {
		chosen := shard.service.choose(q.version, tried, hedge, &q.draw, now)
		if chosen == nil {
			return nil, ""
		}
		if owner, reachable := q.engine.router.Route(chosen.id); reachable {
			return chosen, owner
		}
		tried = append(tried[:len(tried):len(tried)], chosen.state)
	}
}

// post records an attempt and puts its part into the outbox.
func (q *query) post(index int, to replica, owner fleet.InstanceID, hedge bool, now time.Time) {
	shard := &q.shards[index]
	id := q.engine.attempts.Add(1)
	q.byAttempt[id] = index
	if shard.attempts == nil {
		shard.tried, shard.attempts = shard.triedRoom[:0], shard.attemptRoom[:0]
	}
	shard.tried = append(shard.tried, to.state)
	shard.attempts = append(shard.attempts, attempt{id: id, owner: owner, to: to, sent: now, live: true, hedge: hedge})
	to.state.inFlight.Add(1)
	if !hedge {
		shard.sent = now
		if q.mayHedge && !shard.hedged {
			q.hedgeLater(shard, now.Add(q.hedgeDelay(shard, now)))
		}
	}
	q.outbox = append(q.outbox, outgoing{owner: owner, part: Part{
		Attempt:    id,
		Service:    shard.service.id,
		Shard:      shard.shard,
		Server:     to.id,
		Version:    q.version,
		Deadline:   q.partDeadline,
		Hedge:      hedge,
		Idempotent: q.idempotent,
		Query:      q.request.Query,
	}})
}

// flush sends the outbox, one call for each owner.
func (q *query) flush() {
	if len(q.outbox) == 0 {
		return
	}
	slices.SortStableFunc(q.outbox, func(a, b outgoing) int {
		switch {
		case a.owner < b.owner:
			return -1
		case a.owner > b.owner:
			return 1
		}
		return 0
	})
	for first := 0; first < len(q.outbox); {
		owner := q.outbox[first].owner
		end := first
		for end < len(q.outbox) && q.outbox[end].owner == owner {
			end++
		}
		parts := make([]Part, 0, end-first)
		for _, item := range q.outbox[first:end] {
			parts = append(parts, item.part)
		}
		q.engine.sender.Send(q.ctx, owner, parts, q.mail.deliver)
		first = end
	}
	q.outbox = q.outbox[:0]
}

func (q *query) hedgeDelay(shard *shardRun, now time.Time) time.Duration {
	return shard.service.stats.hedgeDelay(&q.engine.overall, q.partDeadline.Sub(now))
}

func (q *query) hedgeLater(shard *shardRun, at time.Time) {
	shard.hedgeAt = at
	if q.nextHedge.IsZero() || at.Before(q.nextHedge) {
		q.nextHedge = at
	}
}

// hedge sends a second attempt of the parts that run too long.
func (q *query) hedge(now time.Time) {
	if q.nextHedge.IsZero() || now.Before(q.nextHedge) {
		return
	}
	q.nextHedge = time.Time{}
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.done || shard.failed || shard.hedged || shard.hedgeAt.IsZero() {
			continue
		}
		if now.Before(shard.hedgeAt) {
			q.hedgeLater(shard, shard.hedgeAt)
			continue
		}
		q.suspect(shard, now)
		shard.hedged = true
		chosen, owner := q.choose(shard, true, now)
		if chosen == nil {
			continue
		}
		if !shard.service.stats.hedges.take() {
			q.engine.counters.HedgesDenied.Add(1)
			continue
		}
		q.engine.counters.Hedges.Add(1)
		q.post(i, *chosen, owner, true, now)
	}
}

// suspect counts attempts that run for too long as slow while they still run. Otherwise each query until the
// first of them ends would go to the same straggler.
func (q *query) suspect(shard *shardRun, now time.Time) {
	for i := range shard.attempts {
		if running := &shard.attempts[i]; running.live && !running.hedge {
			running.to.state.learnAtLeast(now.Sub(running.sent), now)
		}
	}
}

// end gives up what is still in flight; the cancelled context tells the owners.
func (q *query) end() {
	now := time.Now()
	for i := range q.shards {
		q.giveUp(&q.shards[i], now, false)
	}
	if q.mail != nil {
		q.mail.close()
	}
}

// giveUp ends the live attempts of a shard on this side.
func (q *query) giveUp(shard *shardRun, now time.Time, cancel bool) {
	for i := range shard.attempts {
		lost := &shard.attempts[i]
		if !lost.live {
			continue
		}
		lost.live = false
		lost.to.state.inFlight.Add(-1)
		lost.to.state.learnAtLeast(now.Sub(lost.sent), now)
		q.engine.counters.Cancelled.Add(1)
		if cancel {
			q.engine.sender.Cancel(lost.owner, lost.id)
		}
	}
}
