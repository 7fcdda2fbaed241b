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
	// MinRemainingTime is the shortest remaining time with which a part is sent: one crossing between availability
	// zones each way.
	MinRemainingTime = 2 * time.Millisecond
	// returnMargin is the time reserved for results to return across availability zones and for composing the answer.
	returnMargin = 4 * time.Millisecond
	// maxVersionSwitches bounds how often one query switches to another version.
	maxVersionSwitches = 2
	// maxReroutes bounds how often a part is sent to the same backend server again through another owner.
	maxReroutes = 2
	// maxRefusedHedges bounds how often a part schedules another hedge after an owner refused one.
	maxRefusedHedges = 2
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
	// partDeadline is sent to the owners. composeAt is the latest time at which the answer is composed.
	partDeadline time.Time
	composeAt    time.Time
	// nextHedge is the earliest time at which a part is due for a hedge; zero if none is scheduled.
	nextHedge time.Time
	version   snapshot.Version
	// triedVersions are the versions that the query has pinned, including the current one.
	triedVersions []snapshot.Version
	shards        []shardRun
	// shardByAttempt maps the id of an attempt to the index of its shard in shards.
	shardByAttempt map[uint64]int
	// answered and failed count the shards that have ended.
	answered int
	failed   int
	// outbox has the parts of attempts that have not been passed to the Sender.
	outbox  []outgoingPart
	results *resultQueue
	rng     splitMix64
	// abandonedMayHaveRun is set if a part may have run in a version from which the query has switched away.
	abandonedMayHaveRun bool
	// needsOtherVersion is set if no replica of some shard holds the version any more.
	needsOtherVersion bool
}

// shardRun is the state of one shard of a query.
type shardRun struct {
	id      snapshot.ShardID
	service *service
	// tried has the replicas that are not chosen again for this shard.
	tried    []*replicaState
	attempts []attempt
	rows     []byte
	answered bool
	failed   bool
	hedged   bool
	reroutes int
	// refusedHedges counts the hedges that owners refused.
	refusedHedges int
	sent          time.Time
	// hedgeAt is when the part is due for a hedge; zero if no hedge is scheduled.
	hedgeAt time.Time
	// verdict is the strongest verdict of the ended attempts. reason and retryAfter are those of the last failure that
	// was not a refused hedge.
	verdict    verdict.Verdict
	reason     verdict.Reason
	retryAfter time.Duration
	// Most shards have one or two attempts. These buffers avoid allocations for them.
	triedBuffer    [2]*replicaState
	attemptsBuffer [2]attempt
}

// attempt is one try of a part at one replica through its owner. Unlike a send of internal/lookup, it begins when the
// part is put into the outbox, and may end before anything reaches the replica.
type attempt struct {
	id       uint64
	owner    fleet.InstanceID
	replica  replica
	sent     time.Time
	inFlight bool
	hedge    bool
}

// outgoingPart is a part in the outbox with the owner to which it is sent.
type outgoingPart struct {
	owner fleet.InstanceID
	part  Part
}

func newQuery(ctx context.Context, e *Engine, current *plan, app *application, request Request, now, deadline time.Time) *query {
	margin := min(returnMargin, deadline.Sub(now)/4)
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
		rng:          splitMix64(e.seed + e.querySeq.Add(1)*0x9e3779b97f4a7c15),
	}
}

// run sends the parts, and processes results and hedges until the answer or a refusal is ready.
func (q *query) run() (api.Answer, *api.Refusal) {
	if refusal := q.pinVersion(); refusal != nil {
		return api.Answer{}, refusal
	}
	q.results = newResultQueue(len(q.shards)+len(q.shards)/8+1, &q.engine.counters.LateResults)
	q.queueFirstAttempts(time.Now())
	timer := time.NewTimer(time.Until(q.composeAt))
	defer timer.Stop()
	var results []Result
	for {
		if refusal := q.earlyRefusal(); refusal != nil {
			return api.Answer{}, refusal
		}
		if q.answered+q.failed == len(q.shards) {
			return q.compose()
		}
		q.sendOutbox()
		timer.Reset(time.Until(q.nextEvent()))
		select {
		case <-q.results.ready:
		case <-timer.C:
		case <-q.ctx.Done():
			return api.Answer{}, q.refusal(verdict.Cancelled, "the caller cancelled the query")
		}
		now := time.Now()
		results = q.results.drain(results)
		for i := range results {
			q.handleResult(&results[i], now)
		}
		q.switchVersion(now)
		if !now.Before(q.composeAt) {
			q.expireShards()
			return q.compose()
		}
		q.hedgeSlowParts(now)
	}
}

// nextEvent returns when run has to wake up even if no result arrives.
func (q *query) nextEvent() time.Time {
	if !q.nextHedge.IsZero() && q.nextHedge.Before(q.composeAt) {
		return q.nextHedge
	}
	return q.composeAt
}

// pinVersion chooses the first version of the query and sets up its shards.
func (q *query) pinVersion() *api.Refusal {
	choice, ok := q.pickVersion(q.idempotent && q.app.allowTrial(time.Now()))
	if !ok {
		refusal := refusalBeforeSend(q.request, verdict.UnknownShard, 0, "no index version has every shard of the query")
		refusal.Field = "shards"
		return refusal
	}
	q.adoptVersion(choice.Version)
	return nil
}

// pickVersion chooses among the versions that the query has not pinned yet, and returns false if none of them has all
// requested shards. A trial accepts the newest version that no service is known to lack, even if it is not confirmed
// for each of them.
func (q *query) pickVersion(trial bool) (snapshot.Choice, bool) {
	now := time.Now()
	skip := func(version snapshot.Version) bool { return slices.Contains(q.triedVersions, version) }
	strongestBelief := func(service fleet.ServiceID, version snapshot.Version) snapshot.Belief {
		return q.plan.strongestBelief(service, version, q.engine.owners, now)
	}
	return q.app.index.Pin(q.request.Shards, trial, skip, strongestBelief)
}

// adoptVersion sets the version and resets the state of the shards to that before the first attempt.
func (q *query) adoptVersion(version snapshot.Version) {
	q.version = version
	q.triedVersions = append(q.triedVersions, version)
	planned := q.app.versions[version]
	q.shards = make([]shardRun, 0, len(planned))
	for _, shard := range planned {
		if len(q.request.Shards) == 0 || slices.Contains(q.request.Shards, shard.id) {
			q.shards = append(q.shards, shardRun{id: shard.id, service: shard.service})
		}
	}
	q.shardByAttempt = make(map[uint64]int, len(q.shards))
	q.answered, q.failed, q.nextHedge, q.needsOtherVersion = 0, 0, time.Time{}, false
	q.outbox = make([]outgoingPart, 0, len(q.shards))
}

// queueFirstAttempts chooses a replica for each shard and queues its first attempt. Shards without a usable replica
// fail. Only the first version of a query adds to the budgets, so that switching versions earns no extra load.
func (q *query) queueFirstAttempts(now time.Time) {
	for i := range q.shards {
		shard := &q.shards[i]
		chosen, owner := q.chooseReplica(shard, false, now)
		if chosen == nil {
			q.failShard(shard, shard.service.unavailableReason(q.version, now))
			continue
		}
		q.engine.counters.FirstAttempts.Add(1)
		if len(q.triedVersions) == 1 {
			shard.service.stats.retryBudget.deposit(retryDeposit)
			shard.service.stats.hedgeBudget.deposit(hedgeDeposit)
		}
		q.queueAttempt(i, *chosen, owner, false, now)
	}
}

// chooseReplica returns a usable replica and its owner, which is reachable; nil if there is none. It uses the newest
// plan, so that a backend server that is taken out of service or starts to leave while the query runs gets no new part.
func (q *query) chooseReplica(shard *shardRun, hedge bool, now time.Time) (*replica, fleet.InstanceID) {
	if current := q.engine.plan.Load(); current != shard.service.plan {
		updated, ok := current.services[shard.service.id]
		if !ok {
			return nil, ""
		}
		shard.service = updated
	}
	tried := shard.tried
	for {
		chosen := shard.service.chooseReplica(q.version, tried, hedge, &q.rng, now)
		if chosen == nil {
			return nil, ""
		}
		if owner, reachable := q.engine.owners.Owner(chosen.id); reachable {
			return chosen, owner
		}
		tried = append(tried[:len(tried):len(tried)], chosen.state)
	}
}

// queueAttempt records an attempt and adds its part to the outbox. It schedules a hedge for attempts that may be
// hedged.
func (q *query) queueAttempt(index int, target replica, owner fleet.InstanceID, hedge bool, now time.Time) {
	shard := &q.shards[index]
	id := q.engine.attemptSeq.Add(1)
	q.shardByAttempt[id] = index
	if shard.attempts == nil {
		shard.tried, shard.attempts = shard.triedBuffer[:0], shard.attemptsBuffer[:0]
	}
	shard.tried = append(shard.tried, target.state)
	shard.attempts = append(shard.attempts, attempt{id: id, owner: owner, replica: target, sent: now, inFlight: true, hedge: hedge})
	target.state.inFlight.Add(1)
	if !hedge {
		shard.sent = now
		if q.mayHedge && !shard.hedged {
			q.scheduleHedge(shard, now.Add(q.hedgeDelay(shard, now)))
		}
	}
	q.outbox = append(q.outbox, outgoingPart{owner: owner, part: Part{
		Attempt:    id,
		Service:    shard.service.id,
		Shard:      shard.id,
		Server:     target.id,
		Version:    q.version,
		Deadline:   q.partDeadline,
		Hedge:      hedge,
		Idempotent: q.idempotent,
		Query:      q.request.Query,
	}})
}

// sendOutbox passes the outbox to the Sender, with one call for each owner.
func (q *query) sendOutbox() {
	if len(q.outbox) == 0 {
		return
	}
	slices.SortStableFunc(q.outbox, func(a, b outgoingPart) int {
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
		q.engine.sender.Send(q.ctx, owner, parts, q.results.deliver)
		first = end
	}
	q.outbox = q.outbox[:0]
}

func (q *query) hedgeDelay(shard *shardRun, now time.Time) time.Duration {
	return shard.service.stats.hedgeDelay(&q.engine.pooledStats, q.partDeadline.Sub(now))
}

// scheduleHedge sets the time at which the shard is due for a hedge.
func (q *query) scheduleHedge(shard *shardRun, at time.Time) {
	shard.hedgeAt = at
	if q.nextHedge.IsZero() || at.Before(q.nextHedge) {
		q.nextHedge = at
	}
}

// hedgeSlowParts queues a hedge for each part that is due for one, within the hedge budget of its service.
func (q *query) hedgeSlowParts(now time.Time) {
	if q.nextHedge.IsZero() || now.Before(q.nextHedge) {
		return
	}
	q.nextHedge = time.Time{}
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.answered || shard.failed || shard.hedged || shard.hedgeAt.IsZero() {
			continue
		}
		if now.Before(shard.hedgeAt) {
			q.scheduleHedge(shard, shard.hedgeAt)
			continue
		}
		q.recordSlowAttempts(shard, now)
		shard.hedged = true
		chosen, owner := q.chooseReplica(shard, true, now)
		if chosen == nil {
			continue
		}
		if !shard.service.stats.hedgeBudget.tryWithdraw() {
			q.engine.counters.HedgesDenied.Add(1)
			continue
		}
		q.engine.counters.Hedges.Add(1)
		q.queueAttempt(i, *chosen, owner, true, now)
	}
}

// recordSlowAttempts records the time that the attempts of the shard have run so far as a lower bound of their latency.
// Without it, all queries would choose a replica that has become slow until the first of its slow parts ends.
func (q *query) recordSlowAttempts(shard *shardRun, now time.Time) {
	for i := range shard.attempts {
		if running := &shard.attempts[i]; running.inFlight && !running.hedge {
			running.replica.state.addMinLatency(now.Sub(running.sent), now)
		}
	}
}

// close abandons all attempts in flight at the end of the query. The owners learn of it from the cancelled context.
func (q *query) close() {
	now := time.Now()
	for i := range q.shards {
		q.abandonAttempts(&q.shards[i], now, false)
	}
	if q.results != nil {
		q.results.close()
	}
}

// abandonAttempts ends the attempts of a shard that are in flight without waiting for their results. cancel also
// cancels them at their owners.
func (q *query) abandonAttempts(shard *shardRun, now time.Time, cancel bool) {
	for i := range shard.attempts {
		abandoned := &shard.attempts[i]
		if !abandoned.inFlight {
			continue
		}
		abandoned.inFlight = false
		abandoned.replica.state.inFlight.Add(-1)
		abandoned.replica.state.addMinLatency(now.Sub(abandoned.sent), now)
		q.engine.counters.CancelledAttempts.Add(1)
		if cancel {
			q.engine.sender.Cancel(abandoned.owner, abandoned.id)
		}
	}
}
