package query

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// OwnerLookup looks up the owner of a backend server.
type OwnerLookup interface {
	// Owner returns the entry instance to which parts for the backend server are sent, and false if none can be
	// reached. It is called on the request path and must be safe for concurrent use.
	Owner(server fleet.ServerID) (fleet.InstanceID, bool)
}

// Request is one query of a caller that admission control has accepted.
type Request struct {
	Application catalogue.ApplicationID
	ID          string
	// Deadline is when the caller needs the answer. The longest deadline of the service applies as well.
	Deadline time.Time
	// Query is passed to the backend servers unchanged.
	Query json.RawMessage
	// Shards restricts the query to these shards; empty means every shard of the index version.
	Shards []snapshot.ShardID
	// AtMostOnce forbids sending a part again if it may have run, even if the catalogue marks the services as
	// idempotent. Services that are not idempotent are always run this way.
	AtMostOnce bool
}

// Counters counts the work of an engine since it was created.
type Counters struct {
	Queries, Answers, Refusals atomic.Int64
	// FirstAttempts counts first attempts of parts. Retries and Hedges are the extra load on top of them.
	FirstAttempts, Retries, Hedges atomic.Int64
	// HedgesWon counts hedges that were answered before the other attempt; CancelledAttempts counts abandoned attempts.
	HedgesWon, CancelledAttempts atomic.Int64
	// RetriesDenied and HedgesDenied count the retries and hedges that the budget of the service did not allow.
	RetriesDenied, HedgesDenied atomic.Int64
	// VersionSwitches counts the times that a query was restarted on another index version.
	VersionSwitches atomic.Int64
	// These count results that were ignored. LateResults arrived after their shard was answered or their query ended,
	// DuplicateResults came again for an attempt that had ended, MismatchedResults name another shard, version or
	// backend server than their attempt, and UnmatchedResults belong to no attempt of the query.
	LateResults, DuplicateResults, MismatchedResults, UnmatchedResults atomic.Int64
}

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	zone       fleet.ZoneID
	sender     Sender
	owners     OwnerLookup
	holdings   *snapshot.Holdings
	seed       uint64
	plan       atomic.Pointer[plan]
	attemptSeq atomic.Uint64
	querySeq   atomic.Uint64
	counters   Counters
	// pooledStats holds the latency over all services that have too few samples for a percentile of their own.
	pooledStats serviceStats

	// updateMu guards the maps below. Their entries outlive a plan, so that an update keeps what was measured.
	updateMu   sync.Mutex
	replicas   map[fleet.ServerID]*replicaState
	services   map[fleet.ServiceID]*serviceStats
	lastTrials map[catalogue.ApplicationID]*atomic.Int64
}

// New returns an engine for an entry instance of the availability zone. It refuses all queries until Update is called.
func New(zone fleet.ZoneID, sender Sender, owners OwnerLookup, holdings *snapshot.Holdings, seed uint64) *Engine {
	e := &Engine{
		zone:       zone,
		sender:     sender,
		owners:     owners,
		holdings:   holdings,
		seed:       seed,
		replicas:   make(map[fleet.ServerID]*replicaState),
		services:   make(map[fleet.ServiceID]*serviceStats),
		lastTrials: make(map[catalogue.ApplicationID]*atomic.Int64),
	}
	e.plan.Store(&plan{})
	return e
}

// Counters returns the counters of the engine, which continue to change.
func (e *Engine) Counters() *Counters { return &e.counters }

// Run runs one query on the calling goroutine. It returns an answer and a nil refusal, or a refusal.
func (e *Engine) Run(ctx context.Context, request Request) (api.Answer, *api.Refusal) {
	e.counters.Queries.Add(1)
	answer, refusal := e.run(ctx, request)
	if refusal != nil {
		e.counters.Refusals.Add(1)
		return api.Answer{}, refusal
	}
	e.counters.Answers.Add(1)
	return answer, nil
}

// run checks that the query can be run at all, sets its deadline and runs it.
func (e *Engine) run(ctx context.Context, request Request) (api.Answer, *api.Refusal) {
	current := e.plan.Load()
	app, ok := current.applications[request.Application]
	if !ok {
		return api.Answer{}, refusalBeforeSend(request, verdict.UnknownApplication, 0, "no application "+string(request.Application))
	}
	if app.index == nil || len(app.index.Versions()) == 0 {
		return api.Answer{}, refusalBeforeSend(request, verdict.NoSnapshot, defaultRetryAfter, "the application has no index version")
	}
	now := time.Now()
	deadline := request.Deadline
	if limit := now.Add(app.policy.Deadline); app.policy.Deadline > 0 && limit.Before(deadline) {
		deadline = limit
	}
	if deadline.Sub(now) < MinRemainingTime {
		return api.Answer{}, refusalBeforeSend(request, verdict.DeadlineTooShort, 0, "less than 2 ms left until the deadline")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := newQuery(ctx, e, current, app, request, now, deadline)
	defer q.close()
	return q.run()
}

// refusalBeforeSend returns the refusal of a query of which no part has been sent.
func refusalBeforeSend(request Request, reason verdict.Reason, retryAfter time.Duration, detail string) *api.Refusal {
	return &api.Refusal{
		ID:               request.ID,
		Verdict:          verdict.NotRun,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}
