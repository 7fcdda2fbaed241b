package lookup

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// deadlineMargin is the time before a request's deadline at which the engine stops waiting, so that a late answer
	// or the final refusal still reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// lingerTimeout is how long sends that are still in flight may go on after their request was answered: a send that
	// is nearly done keeps its connection, and its answer shows that its replica is healthy. Longer sends occupy
	// replica slots that other requests need: a timeout of 300 ms cost 0.01 of the score in both deployments.
	lingerTimeout = 40 * time.Millisecond
	// defaultInstances is the assumed number of entry instances until the number is known.
	defaultInstances = 8
	// registrationWindow is the time within which entry instances that start together have registered and have learnt
	// of each other.
	registrationWindow = 4 * time.Second
	// routeMemoryDivisor bounds the memory that the requests of one route may hold, as a divisor of the whole account.
	// Replicas of one index that send large answers must not take the memory that the other routes need.
	routeMemoryDivisor = 4
	// maxRequests bounds the requests in progress in one process; each holds its parts in memory.
	maxRequests = 3000
)

// Options configures an Engine.
type Options struct {
	Zone   fleet.ZoneID
	Sender Sender
	// Recorder may be nil.
	Recorder Recorder
	// ReportSighting is called with each observation that the other instances should know of: a send that was slow,
	// failed or was rejected, or a remote zone that may be unreachable. It may be nil and must not block.
	ReportSighting func(sighting.Sighting)
	// ExtraAllowance bounds the sends beyond the first of each request, per service and over all instances together.
	ExtraAllowance Allowance
	// FirstStart is set if no earlier process of this instance has run, so that none can have used up the instance's
	// share of the extra sends.
	FirstStart bool
	// Quarantine holds what is known of requests that crash replicas; nil means that this engine keeps its own.
	Quarantine *quarantine.Ledger
	// Prober finds out whether a replica that closed a connection has crashed; nil means that only its next registration
	// shows it.
	Prober Prober
	// RollOuts decides which replicas of a service may be used while another version is rolled out; nil means all.
	RollOuts RollOuts
	// Memory accounts for the bytes that answers hold; nil means no bound.
	Memory *memory.Account
	// OpenedConnections returns the number of connections to replicas that have been opened so far. If it is nil, a
	// partition from all replicas is not noticed.
	OpenedConnections func() int64
	// Connections decides which connections are kept; nil means that all instances may keep connections to all replicas.
	Connections Connections
	// Costs learns how much work requests are; nil means that all requests of a route are taken for equal.
	Costs Costs
	// OnReplicaRemoved is called for each replica that has left the directory view; it may be nil.
	OnReplicaRemoved func(fleet.ServerID)
	// Random seeds the selection among replicas of equal cost.
	Random *rand.Rand
}

// Counters holds totals since the start of the engine. ExtraDenied counts the extra sends that the allowance did not
// permit, LimitedSends the sends to replicas that name a request limit.
type Counters struct {
	Requests, Sends, Hedges, Retries, ExtraDenied atomic.Int64
	LimitedSends                                  [sendKinds]atomic.Int64
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	zone             fleet.ZoneID
	sender           Sender
	recorder         Recorder
	reportSighting   func(sighting.Sighting)
	extraAllowance   atomic.Pointer[Allowance]
	memory           *memory.Account
	onReplicaRemoved func(fleet.ServerID)
	// openedConnections may be nil.
	openedConnections func() int64
	connections       Connections // may be nil
	costs             Costs       // may be nil
	started           time.Time
	firstStart        bool
	view              atomic.Pointer[replicaView]
	// instances is never nil.
	instances atomic.Pointer[instanceSet]
	// instanceHistory decides which instances count.
	instanceHistory instanceHistory
	selections      atomic.Uint64 // number of selections, from a random start; varies the member at which each one begins
	running         atomic.Int64
	lastTrial       atomic.Int64 // Unix nanoseconds at which the last trial request was admitted
	isolation       isolation
	zoneMonitor     zoneMonitor // used only by the goroutine of MonitorZones
	partition       *partitionMonitor
	counters        Counters
	routeStats      sync.Map // *routeStats by the name of the route
	limiters        sync.Map // *limiter by the first shard of a route
	quarantine      *quarantine.Ledger
	canaryTurns     canaryTurns
	lastCrashAt     atomic.Int64 // Unix nanoseconds
	// stopped is closed when the requests in progress are to end.
	stopped  chan struct{}
	stopOnce sync.Once
	prober   Prober // may be nil
	rollOuts RollOuts
	networks callerNetworks

	// updateMutex guards the state of replicas, zones and services that outlives a replicaView.
	updateMutex sync.Mutex
	replicas    map[fleet.ServerID]trackedReplica
	zones       map[fleet.ZoneID]*zoneReachability
	budgets     map[fleet.ServiceID]*retryBudget
}

// New returns an engine without replicas; Update supplies them.
func New(options Options) *Engine {
	e := &Engine{
		zone:              options.Zone,
		sender:            options.Sender,
		recorder:          options.Recorder,
		reportSighting:    options.ReportSighting,
		memory:            options.Memory,
		quarantine:        options.Quarantine,
		prober:            options.Prober,
		onReplicaRemoved:  options.OnReplicaRemoved,
		openedConnections: options.OpenedConnections,
		connections:       options.Connections,
		costs:             options.Costs,
		started:           time.Now(),
		firstStart:        options.FirstStart,
		replicas:          make(map[fleet.ServerID]trackedReplica),
		zones:             make(map[fleet.ZoneID]*zoneReachability),
		budgets:           make(map[fleet.ServiceID]*retryBudget),
		partition:         newPartitionMonitor(),
		stopped:           make(chan struct{}),
		zoneMonitor:       zoneMonitor{suspectedSince: make(map[fleet.ZoneID]time.Time)},
	}
	if e.rollOuts = options.RollOuts; e.rollOuts == nil {
		e.rollOuts = noRollOuts{}
	}
	if e.quarantine == nil {
		e.quarantine = quarantine.NewLedger("")
	}
	e.SetExtraAllowance(options.ExtraAllowance)
	e.selections.Store(options.Random.Uint64())
	e.instances.Store(&instanceSet{count: defaultInstances})
	e.view.Store(&replicaView{})
	return e
}

// Counters returns the engine's counters, which continue to change.
func (e *Engine) Counters() *Counters { return &e.counters }

// SetExtraAllowance replaces the bound on extra sends.
func (e *Engine) SetExtraAllowance(allowed Allowance) { e.extraAllowance.Store(&allowed) }

// allowance returns this instance's share of the bound on extra sends. During the first window after the start the
// share has no constant part, because the previous process of this instance may have used it up just before it ended.
// On the first start of an instance there was no such process, and the constant part counts as soon as the instances
// that started together know of each other.
func (e *Engine) allowance(now time.Time) Allowance {
	allowed := *e.extraAllowance.Load()
	startupWindow := allowed.Window
	if e.firstStart {
		startupWindow = min(startupWindow, registrationWindow)
	}
	if now.Sub(e.started) < startupWindow {
		allowed.Constant = 0
	}
	return allowed.perInstance(e.Instances())
}

// OpenReservation opens a memory reservation for a request of the route and its answer.
func (e *Engine) OpenReservation(route *routing.Route) *memory.Reservation {
	return e.routeStatsOf(route).memory.OpenReservation()
}

// MeanSendTime returns the mean time of a send for the route, or a guess before any was measured.
func (e *Engine) MeanSendTime(route *routing.Route) time.Duration {
	return e.routeStatsOf(route).meanSendTime()
}

// Stop ends the requests in progress at once, each with a failure that says whether it may have run. It may be called
// more than once.
func (e *Engine) Stop() { e.stopOnce.Do(func() { close(e.stopped) }) }

// stoppedError is the failure of a request that Stop has ended.
func stoppedError(ran verdict.Verdict) *verdict.Error {
	return verdict.New(ran, verdict.InstanceOut, "the instance stopped before the answer").WithRetryAfter(defaultRetryAfter)
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int64 { return e.running.Load() }

func (e *Engine) notifyRemoved(id fleet.ServerID) {
	if e.onReplicaRemoved != nil {
		e.onReplicaRemoved(id)
	}
}

func (e *Engine) recordSend(to *member, reason verdict.Reason, elapsed time.Duration) {
	if e.recorder != nil {
		e.recorder.RecordSend(to.Service, to.Zone, reason, elapsed)
	}
}

func (e *Engine) recordMissingShard(service fleet.ServiceID, reason verdict.Reason) {
	if e.recorder != nil {
		e.recorder.RecordMissingShard(service, reason)
	}
}

func (e *Engine) routeStatsOf(route *routing.Route) *routeStats {
	if found, ok := e.routeStats.Load(route.Name); ok {
		return found.(*routeStats)
	}
	found, _ := e.routeStats.LoadOrStore(route.Name, newRouteStats(route, e.memory.Child(routeMemoryDivisor)))
	return found.(*routeStats)
}

// limiterOf returns the limiter for the shards of a fan-out route. Routes with the same first shard share an index and
// therefore a limiter.
func (e *Engine) limiterOf(route *routing.Route) *limiter {
	if found, ok := e.limiters.Load(route.Shards[0]); ok {
		return found.(*limiter)
	}
	created := &limiter{shard: route.Shards[0], throttle: throttle{shard: route.Shards[0]}}
	created.setSlots(e.slotShare(e.view.Load(), route.Shards[0]))
	found, _ := e.limiters.LoadOrStore(route.Shards[0], created)
	return found.(*limiter)
}

// slotShare returns this instance's share of the replica slots of a service.
func (e *Engine) slotShare(view *replicaView, service fleet.ServiceID) float64 {
	slots := 0
	if g := view.groups[service]; g != nil {
		for i := range g.members {
			slots += g.members[i].Slots
		}
	}
	return float64(slots) / float64(e.Instances())
}

// Run executes one request on the calling goroutine and returns once it is answered or refused. A done ctx means that
// the caller has cancelled the request.
func (e *Engine) Run(ctx context.Context, request *Request) Result {
	e.counters.Requests.Add(1)
	if e.running.Add(1) > maxRequests {
		e.running.Add(-1)
		return Result{Failure: verdict.New(verdict.NotRun, verdict.Overloaded, "limit of %d requests in progress reached", maxRequests).WithRetryAfter(defaultRetryAfter)}
	}
	defer e.running.Add(-1)
	if e.Partitioned() && request.mayBeServedElsewhere() {
		return Result{Unreachable: true, Failure: verdict.New(verdict.NotRun, verdict.NoReplica, "this instance is partitioned from all replicas").
			WithRetryAfter(e.callerRetryAfter(time.Now()))}
	}
	stats := e.routeStatsOf(request.Route)
	if stats.memory.NearlyFull() {
		return Result{Failure: verdict.New(verdict.NotRun, verdict.Overloaded, "no memory left for answers").WithRetryAfter(defaultRetryAfter)}
	}
	waited, reliable := stats.callerTimeouts.waitBeforeSend(request.RemainingTime, request.Route.Objective)
	request.Connection.recordWait(waited, reliable)
	if len(request.Route.Shards) > 0 {
		return newFanout(ctx, e, request, waited).run()
	}
	return newSingle(ctx, e, request).run()
}

// defaultRetryAfter is the Retry-After of refusals for which no better estimate exists.
const defaultRetryAfter = 250 * time.Millisecond
