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

// Router knows the owner of a backend server.
type Router interface {
	// Route returns the entry instance that parts for the server are sent to; false if none can be
	// reached. It is called on the request path from any goroutine.
	Route(server fleet.ServerID) (fleet.InstanceID, bool)
}

// Request is one query of a caller, already admitted.
type Request struct {
	Application catalogue.ApplicationID
	ID          string
	// Deadline is when the caller needs the answer. The service's longest deadline applies as well.
	Deadline time.Time
	// Query is passed to the backend servers unchanged.
	Query json.RawMessage
	// Shards restricts the query; empty means every shard of the snapshot.
	Shards []snapshot.ShardID
	// AtMostOnce forbids a second send of a part that may have run, also where the catalogue has the
	// services as idempotent. Services that are not idempotent are always run this way.
	AtMostOnce bool
}

// Counters counts the engine's work since it was made.
type Counters struct {
	Queries, Answers, Refusals atomic.Int64
	// Firsts counts first attempts; Retries and Hedges are the extra load.
	Firsts, Retries, Hedges atomic.Int64
	// HedgesWon counts hedges that answered first; Cancelled counts attempts given up.
	HedgesWon, Cancelled atomic.Int64
	// RetriesDenied and HedgesDenied count those that the budget did not allow.
	RetriesDenied, HedgesDenied atomic.Int64
	// Moves counts queries that were moved to another version.
	Moves atomic.Int64
	// Late, Duplicate, Mismatched and Unmatched count results that were ignored.
	Late, Duplicate, Mismatched, Unmatched atomic.Int64
}

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	zone     fleet.ZoneID
	sender   Sender
	router   Router
	holdings *snapshot.Holdings
	seed     uint64
	plan     atomic.Pointer[plan]
	attempts atomic.Uint64
	queries  atomic.Uint64
	counters Counters
	// overall has the latency of services that are too new for a percentile of their own.
	overall serviceStats

	// updating guards the states that outlive a plan.
	updating sync.Mutex
	replicas map[fleet.ServerID]*replicaState
	services map[fleet.ServiceID]*serviceStats
	trials   map[catalogue.ApplicationID]*atomic.Int64
}

// New returns an engine for an entry instance of the zone. It refuses queries until Update is called.
func New(zone fleet.ZoneID, sender Sender, router Router, holdings *snapshot.Holdings, seed uint64) *Engine {
	e := &Engine{
		zone:     zone,
		sender:   sender,
		router:   router,
		holdings: holdings,
		seed:     seed,
		replicas: make(map[fleet.ServerID]*replicaState),
		services: make(map[fleet.ServiceID]*serviceStats),
		trials:   make(map[catalogue.ApplicationID]*atomic.Int64),
	}
	e.plan.Store(&plan{})
	return e
}

// Counters returns the engine's counters; they go on counting.
func (e *Engine) Counters() *Counters { return &e.counters }

// Run runs one query on the calling goroutine. It returns an answer, or a refusal that is not nil.
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

func (e *Engine) run(ctx context.Context, request Request) (api.Answer, *api.Refusal) {
	current := e.plan.Load()
	app, ok := current.applications[request.Application]
	if !ok {
		return api.Answer{}, refuse(request, verdict.UnknownApplication, 0, "no application "+string(request.Application))
	}
	if app.index == nil || len(app.index.Versions()) == 0 {
		return api.Answer{}, refuse(request, verdict.NoSnapshot, defaultRetryAfter, "the application has no index version")
	}
	now := time.Now()
	deadline := request.Deadline
	if limit := now.Add(app.policy.Deadline); app.policy.Deadline > 0 && limit.Before(deadline) {
		deadline = limit
	}
	if deadline.Sub(now) < LeastTime {
		return api.Answer{}, refuse(request, verdict.DeadlineTooShort, 0, "less than 2 ms left")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := newQuery(ctx, e, current, app, request, now, deadline)
	defer q.end()
	return q.run()
}

// refuse returns a refusal of a query of which nothing was sent.
func refuse(request Request, reason verdict.Reason, after time.Duration, detail string) *api.Refusal {
	return &api.Refusal{
		ID:               request.ID,
		Verdict:          verdict.NotRun,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: after.Milliseconds(),
	}
}
