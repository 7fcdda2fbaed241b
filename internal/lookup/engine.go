package lookup

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// lastMoment is the time kept before the deadline for a final refusal or a late answer.
	lastMoment = 20 * time.Millisecond
	// linger is how long sends that are still running go on after their request was answered: a part that is nearly done
	// keeps its connection, and its answer shows that its replica is well. Longer ones use slots that others need: 300 ms
	// cost 0.01 of the score on both deployments.
	linger = 40 * time.Millisecond
	// defaultInstances stands for the number of entry instances until it is known.
	defaultInstances = 8
	// firstRegistrations is the time within which instances that start together have registered, and have heard of each other.
	firstRegistrations = 4 * time.Second
	// routeShare is the part of the memory, as a divisor, that the requests of one route may hold: replicas of one index that
	// send large answers must not keep the other routes from theirs.
	routeShare = 4
	// mostRequests bounds the requests in progress in one process; each holds its parts in memory.
	mostRequests = 3000
)

// Options are what an Engine is made of.
type Options struct {
	Zone   fleet.ZoneID
	Sender Sender
	// Recorder may be nil.
	Recorder Recorder
	// Seen is told of sends that went badly, for the other instances; it may be nil and must not block.
	Seen func(sighting.Sighting)
	// Extra bounds the sends beyond the first of each request, for each service over all instances.
	Extra Allowance
	// FirstStart is set where no process of this instance has run before, so that none can have used its part of the bounds.
	FirstStart bool
	// Memory is the account of what answers hold; nil for none.
	Memory *memory.Account
	// Forget is called for each replica that is gone; it may be nil.
	Forget func(fleet.ServerID)
	Random *rand.Rand
}

// Counters counts the engine's work since its start.
type Counters struct {
	Requests, Sends, Hedges, Retries, Starved atomic.Int64
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	zone       fleet.ZoneID
	sender     Sender
	recorder   Recorder
	seen       func(sighting.Sighting)
	extra      atomic.Pointer[Allowance]
	memory     *memory.Account
	forgotten  func(fleet.ServerID)
	started    time.Time
	firstStart bool
	plan       atomic.Pointer[plan]
	// population is never nil.
	population atomic.Pointer[population]
	draw       atomic.Uint64
	running    atomic.Int64
	tried      atomic.Int64 // Unix nanoseconds of the last request let through by mayTry
	isolation  isolation
	reach      reach // used by the goroutine of WatchReach only
	counters   Counters
	paces      sync.Map // name of a route to *pace
	gates      sync.Map // first shard of a route to *gate
	networks   networks

	// updating guards the states that outlive a plan.
	updating sync.Mutex
	loads    map[fleet.ServerID]known
	contacts map[fleet.ZoneID]*contact
	budgets  map[fleet.ServiceID]*budget
}

// New returns an engine that knows no replica until Update is called.
func New(options Options) *Engine {
	e := &Engine{
		zone:       options.Zone,
		sender:     options.Sender,
		recorder:   options.Recorder,
		seen:       options.Seen,
		memory:     options.Memory,
		forgotten:  options.Forget,
		started:    time.Now(),
		firstStart: options.FirstStart,
		loads:      make(map[fleet.ServerID]known),
		contacts:   make(map[fleet.ZoneID]*contact),
		budgets:    make(map[fleet.ServiceID]*budget),
		reach:      reach{doubtful: make(map[fleet.ZoneID]time.Time)},
	}
	e.SetExtra(options.Extra)
	e.draw.Store(options.Random.Uint64())
	e.population.Store(&population{count: defaultInstances})
	e.plan.Store(&plan{})
	return e
}

// Counters returns the engine's counters; they go on counting.
func (e *Engine) Counters() *Counters { return &e.counters }

// SetExtra replaces the bound on extra sends.
func (e *Engine) SetExtra(allowed Allowance) { e.extra.Store(&allowed) }

// allowance returns this instance's part of the bound on extra sends. In the first window after its start it has no part of the
// constant, because the process before it may have used that up just before it ended. Without a process before it, it has its
// part once all instances are known that started with it.
func (e *Engine) allowance(now time.Time) Allowance {
	allowed := *e.extra.Load()
	without := allowed.Window
	if e.firstStart {
		without = min(without, firstRegistrations)
	}
	if now.Sub(e.started) < without {
		allowed.Extra = 0
	}
	return allowed.share(e.Instances())
}

// Reserve opens a reservation for a request of the route and its answer.
func (e *Engine) Reserve(route *routing.Route) *memory.Reservation {
	return e.paceOf(route).memory.Open()
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int64 { return e.running.Load() }

func (e *Engine) forget(id fleet.ServerID) {
	if e.forgotten != nil {
		e.forgotten(id)
	}
}

func (e *Engine) recordSend(to *member, reason verdict.Reason, elapsed time.Duration) {
	if e.recorder != nil {
		e.recorder.Sent(to.Service, to.Zone, reason, elapsed)
	}
}

func (e *Engine) recordMissed(service fleet.ServiceID, reason verdict.Reason) {
	if e.recorder != nil {
		e.recorder.Missed(service, reason)
	}
}

func (e *Engine) paceOf(route *routing.Route) *pace {
	if found, ok := e.paces.Load(route.Name); ok {
		return found.(*pace)
	}
	found, _ := e.paces.LoadOrStore(route.Name, newPace(route, e.memory.Part(routeShare)))
	return found.(*pace)
}

// gateOf returns the gate before the shards of a route. Routes over the same index share it.
func (e *Engine) gateOf(route *routing.Route) *gate {
	if found, ok := e.gates.Load(route.Shards[0]); ok {
		return found.(*gate)
	}
	fresh := &gate{name: route.Shards[0], intake: intake{name: route.Shards[0]}}
	fresh.setSlots(e.slotsOf(e.plan.Load(), route.Shards[0]))
	found, _ := e.gates.LoadOrStore(route.Shards[0], fresh)
	return found.(*gate)
}

// slotsOf returns this instance's part of the slots of a service.
func (e *Engine) slotsOf(current *plan, service fleet.ServiceID) float64 {
	slots := 0
	if g := current.groups[service]; g != nil {
		for i := range g.members {
			slots += g.members[i].Slots
		}
	}
	return float64(slots) / float64(e.Instances())
}

// Run runs one request on the calling goroutine. The end of ctx means that the caller has left.
func (e *Engine) Run(ctx context.Context, request *Request) Result {
	e.counters.Requests.Add(1)
	if e.running.Add(1) > mostRequests {
		e.running.Add(-1)
		return Result{Failure: verdict.New(verdict.NotRun, verdict.Overloaded, "%d requests in progress", mostRequests).WithRetryAfter(retryAfter)}
	}
	defer e.running.Add(-1)
	usual := e.paceOf(request.Route)
	if usual.memory.Full() {
		return Result{Failure: verdict.New(verdict.NotRun, verdict.Overloaded, "no memory left for answers").WithRetryAfter(retryAfter)}
	}
	waited, sure := usual.given.waited(request.Left, request.Route.Objective)
	request.Connection.learn(waited, sure)
	if len(request.Route.Shards) > 0 {
		return newFanout(ctx, e, request, waited).run()
	}
	return newSingle(ctx, e, request).run()
}

// retryAfter is when a caller comes back where nothing better is known.
const retryAfter = 250 * time.Millisecond
