package query_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	tailQueries = 2000
	// tailWarmUp queries come before any fault and are not measured, because all backend servers are cold at first.
	tailWarmUp        = 200
	tailQueryInterval = 50 * time.Millisecond
	tailSlots         = 3
	tailSlowFactor    = 20
	// tailAttemptTimeout is the timeout of one attempt of the baseline.
	tailAttemptTimeout = time.Second
	// tailCancelTimeout is how long a cancelled call keeps its slot at a backend server that does not answer, as in
	// internal/backend.
	tailCancelTimeout = 100 * time.Millisecond
)

// fault is the fault of the backend servers in an experiment.
type fault int

const (
	noFault fault = iota
	// slowFixed makes one in forty replicas 20 times slower, always the same ones ("standing").
	slowFixed
	// slowMoving is like slowFixed, but the slow replicas change every 2 s ("moving").
	slowMoving
	// unresponsive makes one replica accept calls and never answer them ("frozen").
	unresponsive
)

// experiment is one run on the fake clock: services of two replicas behind a real owner.
type experiment struct {
	fault       fault
	deadline    time.Duration
	started     time.Time
	servers     map[fleet.ServerID]fleet.Server
	serverIDs   []fleet.ServerID
	serverIndex map[fleet.ServerID]int
	slots       map[fleet.ServerID]chan struct{}
	configured  catalogue.Catalogue
	owner       *replica.Owner
	engine      *query.Engine

	mu    sync.Mutex
	rng   *rand.Rand
	sends int
	// baselineQueries counts the queries of the baseline.
	baselineQueries int
}

func newExperiment(fanOut int, injected fault, deadline time.Duration) *experiment {
	e := &experiment{
		fault: injected, deadline: deadline, started: time.Now(), servers: make(map[fleet.ServerID]fleet.Server),
		serverIndex: make(map[fleet.ServerID]int), slots: make(map[fleet.ServerID]chan struct{}), rng: rand.New(rand.NewPCG(1, 2)),
	}
	shards := snapshot.ShardMap{Version: 1, Shards: make(map[snapshot.ShardID]fleet.ServiceID)}
	var services []catalogue.Service
	var servers []fleet.Server
	for i := range fanOut {
		service := fleet.ServiceID(fmt.Sprintf("service-%03d", i))
		shards.Shards[snapshot.ShardID(fmt.Sprintf("shard-%03d", i))] = service
		services = append(services, catalogue.Service{
			ID: service, Application: "race", Idempotent: true, Deadline: deadline, MinCoverage: 1, BelowFloor: catalogue.Partial,
		})
		for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
			server := fleet.Server{ID: fleet.ServerID(fmt.Sprintf("%s-%s", service, zone)), Service: service, Zone: zone, Address: "10.0.0.1:1"}
			e.serverIndex[server.ID] = len(servers)
			e.slots[server.ID] = make(chan struct{}, tailSlots)
			e.servers[server.ID] = server
			e.serverIDs = append(e.serverIDs, server.ID)
			servers = append(servers, server)
		}
	}
	e.configured = catalogue.New(services)
	e.owner = replica.New(replica.Dependencies{
		Self: "entry-1", Transport: e, Random: rand.NewPCG(3, 4),
		Claim:     func(fleet.ServerID) (int, int, bool) { return tailSlots, 30, true },
		Server:    func(id fleet.ServerID) (fleet.Server, bool) { server, ok := e.servers[id]; return server, ok },
		Fresh:     func() bool { return true },
		Catalogue: func() catalogue.Catalogue { return e.configured },
	})
	e.engine = query.New("zone-a", ownerSender{e.owner}, singleOwnerLookup{}, snapshot.NewHoldings(), 1)
	index, err := snapshot.NewIndex("race", shards)
	if err != nil {
		panic(err)
	}
	e.engine.Update(fleet.NewView(nil, servers), e.configured, map[catalogue.ApplicationID]*snapshot.Index{"race": index})
	return e
}

type singleOwnerLookup struct{}

func (singleOwnerLookup) Owner(fleet.ServerID) (fleet.InstanceID, bool) { return "entry-1", true }

type ownerSender struct{ owner *replica.Owner }

func (s ownerSender) Send(ctx context.Context, to fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	s.owner.Run(ctx, to, parts, deliver)
}

func (s ownerSender) Cancel(to fleet.InstanceID, attempt uint64) { s.owner.Cancel(to, attempt) }

// isFaulty reports whether the fault affects the backend server now.
func (e *experiment) isFaulty(server fleet.ServerID) bool {
	elapsed := time.Since(e.started)
	if elapsed < tailWarmUp*tailQueryInterval {
		return false
	}
	switch e.fault {
	case slowFixed:
		return e.serverIndex[server]%40 == 20
	case slowMoving:
		return (e.serverIndex[server]+int(elapsed/(2*time.Second))*7)%40 == 20
	case unresponsive:
		return e.serverIndex[server] == 20
	default:
		return false
	}
}

// Do simulates a backend server. A call takes 5 ms plus an exponentially distributed time with a mean of 5 ms.
func (e *experiment) Do(ctx context.Context, server fleet.Server, _ replica.Call) (replica.Answer, error) {
	e.mu.Lock()
	e.sends++
	latency := 5*time.Millisecond + time.Duration(e.rng.ExpFloat64()*5e6)
	faulty := e.isFaulty(server.ID)
	e.mu.Unlock()
	if faulty && e.fault == unresponsive {
		<-ctx.Done()
		if context.Cause(ctx) == context.Canceled {
			time.Sleep(tailCancelTimeout)
			return replica.Answer{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "no answer after cancellation")
		}
		return replica.Answer{}, verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no answer")
	}
	if faulty {
		latency *= tailSlowFactor
	}
	slots := e.slots[server.ID]
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
		select {
		case <-time.After(latency):
			return replica.Answer{Rows: []byte("1"), StartMark: "1", HeldVersions: []snapshot.Version{1}}, nil
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	return replica.Answer{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled")
}

// runBaseline runs one query the way of the baseline: round robin over the replicas, a fixed timeout for each attempt,
// then the next replica, and no hedging. It reports whether every part was answered in time.
func (e *experiment) runBaseline() bool {
	e.mu.Lock()
	round := e.baselineQueries
	e.baselineQueries++
	e.mu.Unlock()
	queryCtx, cancel := context.WithTimeout(context.Background(), e.deadline)
	defer cancel()
	var group sync.WaitGroup
	for shard := range len(e.serverIDs) / 2 {
		group.Go(func() {
			for attempt := round + shard; queryCtx.Err() == nil; attempt++ {
				attemptCtx, cancelAttempt := context.WithTimeout(queryCtx, tailAttemptTimeout)
				_, err := e.Do(attemptCtx, e.servers[e.serverIDs[shard*2+attempt%2]], replica.Call{})
				cancelAttempt()
				if err == nil {
					return
				}
			}
		})
	}
	group.Wait()
	return queryCtx.Err() == nil
}

// measurements are the results of one run.
type measurements struct {
	p99     time.Duration
	partial int
	// sendsPerPart is the number of calls over the number of parts. maxHedgeShare is the largest share of hedges over
	// the last minute that a backend server had when it accepted one.
	sendsPerPart, maxHedgeShare float64
}

// runQuery runs a query and reports whether it was answered completely.
func (e *experiment) runQuery(baseline bool) bool {
	if baseline {
		return e.runBaseline()
	}
	answer, refusal := e.engine.Run(context.Background(), query.Request{Application: "race", ID: "q", Deadline: time.Now().Add(e.deadline)})
	return refusal == nil && answer.Coverage.Answered == answer.Coverage.Asked
}

// run runs queries at a fixed rate.
func (e *experiment) run(baseline bool) measurements {
	var m measurements
	var mu sync.Mutex
	latencies := make([]time.Duration, tailWarmUp+tailQueries)
	hedgeShares := make(map[fleet.ServerID]float64)
	var group sync.WaitGroup
	for i := range latencies {
		time.Sleep(tailQueryInterval)
		group.Go(func() {
			started := time.Now()
			complete := e.runQuery(baseline)
			latencies[i] = time.Since(started)
			if !complete && i >= tailWarmUp {
				mu.Lock()
				m.partial++
				mu.Unlock()
			}
		})
		for _, server := range e.owner.Statuses() {
			// The share is sampled every 50 ms. A rise that is larger than a request leaving the window can explain
			// means a new hedge.
			if server.HedgeRatio > hedgeShares[server.Server]+1.0/1300 && server.InUse > 0 {
				m.maxHedgeShare = max(m.maxHedgeShare, server.HedgeRatio)
			}
			hedgeShares[server.Server] = server.HedgeRatio
		}
	}
	group.Wait()
	time.Sleep(time.Minute)
	m.sendsPerPart = float64(e.sends) / float64(len(latencies)*len(e.serverIDs)/2)
	sorted := latencies[tailWarmUp:]
	slices.Sort(sorted)
	m.p99 = sorted[tailQueries*99/100]
	return m
}

// runExperiment runs an experiment on the fake clock, which only a test can do; it keeps the load of the machine out of
// the measurements.
func runExperiment(fanOut int, injected fault, deadline time.Duration, baseline bool) (m measurements) {
	body := func(*testing.T) { m = newExperiment(fanOut, injected, deadline).run(baseline) }
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{Name: "tail", F: func(t *testing.T) { synctest.Test(t, body) }},
	})
	if !ok {
		panic("the tail experiment failed")
	}
	return m
}

// BenchmarkTail compares the engine and the owner with the baseline on the same backend servers, with and without a
// fault. One in forty replicas is 20 times slower, always the same ones ("standing") or others every 2 s ("moving"), or
// one replica accepts calls and never answers ("frozen"). Only "frozen" has the deadline that deployments use.
func BenchmarkTail(b *testing.B) {
	for _, fanOut := range []int{20, 170} {
		for name, injected := range map[string]fault{"standing": slowFixed, "moving": slowMoving, "frozen": unresponsive} {
			b.Run(fmt.Sprintf("fan-out=%d/%s", fanOut, name), func(b *testing.B) {
				deadline := 10 * time.Second
				if injected == unresponsive {
					deadline = 140 * time.Millisecond
				}
				for range b.N {
					healthy, engine, baseline := runExperiment(fanOut, noFault, deadline, false), runExperiment(fanOut, injected, deadline, false), runExperiment(fanOut, injected, deadline, true)
					millis := func(d time.Duration) float64 { return d.Seconds() * 1000 }
					b.ReportMetric(millis(healthy.p99), "p99-calm-ms")
					b.ReportMetric(millis(engine.p99), "p99-ms")
					b.ReportMetric(millis(baseline.p99), "p99-plain-ms")
					b.ReportMetric(float64(baseline.p99)/float64(engine.p99), "times-lower")
					b.ReportMetric(float64(engine.p99)/float64(healthy.p99), "times-calm")
					b.ReportMetric(100*(engine.sendsPerPart-1), "%extra-load")
					b.ReportMetric(100*engine.maxHedgeShare, "%hedges-worst")
					b.ReportMetric(float64(engine.partial), "partial")
					b.ReportMetric(float64(baseline.partial), "partial-plain")
				}
			})
		}
	}
}
