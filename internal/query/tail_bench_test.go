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
	// tailWarmUp queries come before any fault and are not measured: all servers are cold at first.
	tailWarmUp = 200
	tailGap    = 50 * time.Millisecond
	tailSlots  = 3
	tailSlower = 20
	// tailTimeout is the baseline's timeout of one attempt.
	tailTimeout = time.Second
	// tailPatience is how long a cancelled call holds its slot at a server that says nothing, as in
	// internal/backend.
	tailPatience = 100 * time.Millisecond
)

// fault is what is wrong with the servers of an experiment.
type fault int

const (
	calm fault = iota
	// standing: one replica in forty is 20 times slower, always the same.
	standing
	// moving: as standing, but others every 2 s.
	moving
	// frozen: one replica accepts calls and answers none.
	frozen
)

// experiment is one run on fake time: services of two replicas behind a real owner.
type experiment struct {
	fault    fault
	deadline time.Duration
	began    time.Time
	servers  map[fleet.ServerID]fleet.Server
	order    []fleet.ServerID
	index    map[fleet.ServerID]int
	slots    map[fleet.ServerID]chan struct{}
	entries  catalogue.Catalogue
	owner    *replica.Owner
	engine   *query.Engine

	mutex sync.Mutex
	draw  *rand.Rand
	sends int
	// rounds counts the parts of the baseline.
	rounds int
}

func newExperiment(fanOut int, wrong fault, deadline time.Duration) *experiment {
	e := &experiment{
		fault: wrong, deadline: deadline, began: time.Now(), servers: make(map[fleet.ServerID]fleet.Server),
		index: make(map[fleet.ServerID]int), slots: make(map[fleet.ServerID]chan struct{}), draw: rand.New(rand.NewPCG(1, 2)),
	}
	shards := snapshot.ShardMap{Version: 1, Shards: make(map[snapshot.ShardID]fleet.ServiceID)}
	var services []catalogue.Service
	var servers []fleet.Server
	for i := range fanOut {
		service := fleet.ServiceID(fmt.Sprintf("service-%03d", i))
		shards.Shards[snapshot.ShardID(fmt.Sprintf("shard-%03d", i))] = service
		services = append(services, catalogue.Service{
			ID: service, Application: "race", Idempotent: true, Deadline: deadline, CoverageFloor: 1, BelowFloor: catalogue.Partial,
		})
		for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
			server := fleet.Server{ID: fleet.ServerID(fmt.Sprintf("%s-%s", service, zone)), Service: service, Zone: zone, Address: "10.0.0.1:1"}
			e.index[server.ID] = len(servers)
			e.slots[server.ID] = make(chan struct{}, tailSlots)
			e.servers[server.ID] = server
			e.order = append(e.order, server.ID)
			servers = append(servers, server)
		}
	}
	e.entries = catalogue.New(services)
	e.owner = replica.New(replica.Dependencies{
		Self: "entry-1", Transport: e, Random: rand.NewPCG(3, 4),
		Claim:     func(fleet.ServerID) (int, int, bool) { return tailSlots, 30, true },
		Server:    func(id fleet.ServerID) (fleet.Server, bool) { server, ok := e.servers[id]; return server, ok },
		Fresh:     func() bool { return true },
		Catalogue: func() catalogue.Catalogue { return e.entries },
	})
	e.engine = query.New("zone-a", ownerSender{e.owner}, ownRouter{}, snapshot.NewHoldings(), 1)
	index, err := snapshot.NewIndex("race", shards)
	if err != nil {
		panic(err)
	}
	e.engine.Update(fleet.NewView(nil, servers), e.entries, map[catalogue.ApplicationID]*snapshot.Index{"race": index})
	return e
}

type ownRouter struct{}

func (ownRouter) Route(fleet.ServerID) (fleet.InstanceID, bool) { return "entry-1", true }

type ownerSender struct{ owner *replica.Owner }

func (s ownerSender) Send(ctx context.Context, to fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	s.owner.Run(ctx, to, parts, deliver)
}

func (s ownerSender) Cancel(to fleet.InstanceID, attempt uint64) { s.owner.Cancel(to, attempt) }

// isBad tells whether the fault is at the server now.
func (e *experiment) isBad(server fleet.ServerID) bool {
	elapsed := time.Since(e.began)
	if elapsed < tailWarmUp*tailGap {
		return false
	}
	switch e.fault {
	case standing:
		return e.index[server]%40 == 20
	case moving:
		return (e.index[server]+int(elapsed/(2*time.Second))*7)%40 == 20
	case frozen:
		return e.index[server] == 20
	default:
		return false
	}
}

// Do plays a server: service takes 5 ms plus an exponential part of 5 ms in the mean.
func (e *experiment) Do(ctx context.Context, server fleet.Server, _ replica.Call) (replica.Reply, error) {
	e.mutex.Lock()
	e.sends++
	took := 5*time.Millisecond + time.Duration(e.draw.ExpFloat64()*5e6)
	bad := e.isBad(server.ID)
	e.mutex.Unlock()
	if bad && e.fault == frozen {
		<-ctx.Done()
		if context.Cause(ctx) == context.Canceled {
			time.Sleep(tailPatience)
			return replica.Reply{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "no answer after cancellation")
		}
		return replica.Reply{}, verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no answer")
	}
	if bad {
		took *= tailSlower
	}
	slots := e.slots[server.ID]
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
		select {
		case <-time.After(took):
			return replica.Reply{Rows: []byte("1"), StartMark: "1", Held: []snapshot.Version{1}}, nil
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	return replica.Reply{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled")
}

// plain runs one query as the baseline does: round robin over the replicas, a fixed timeout for each
// attempt, then the next replica; no hedging. It tells whether every part was answered in time.
func (e *experiment) plain() bool {
	e.mutex.Lock()
	first := e.rounds
	e.rounds++
	e.mutex.Unlock()
	whole, cancel := context.WithTimeout(context.Background(), e.deadline)
	defer cancel()
	var all sync.WaitGroup
	for shard := range len(e.order) / 2 {
		all.Go(func() {
			for attempt := first + shard; whole.Err() == nil; attempt++ {
				ctx, end := context.WithTimeout(whole, tailTimeout)
				_, err := e.Do(ctx, e.servers[e.order[shard*2+attempt%2]], replica.Call{})
				end()
				if err == nil {
					return
				}
			}
		})
	}
	all.Wait()
	return whole.Err() == nil
}

// figures are what one run came to.
type figures struct {
	p99     time.Duration
	partial int
	// load is the calls over the parts; hedgeShare the largest share of hedges over the last minute that a
	// server had when it accepted one.
	load, hedgeShare float64
}

// one runs a query and tells whether it was answered whole.
func (e *experiment) one(plain bool) bool {
	if plain {
		return e.plain()
	}
	answer, refusal := e.engine.Run(context.Background(), query.Request{Application: "race", ID: "q", Deadline: time.Now().Add(e.deadline)})
	return refusal == nil && answer.Coverage.Answered == answer.Coverage.Asked
}

// play runs queries at a fixed rate.
func (e *experiment) play(plain bool) figures {
	var f figures
	var mutex sync.Mutex
	took := make([]time.Duration, tailWarmUp+tailQueries)
	shares := make(map[fleet.ServerID]float64)
	var all sync.WaitGroup
	for i := range took {
		time.Sleep(tailGap)
		all.Go(func() {
			began := time.Now()
			whole := e.one(plain)
			took[i] = time.Since(began)
			if !whole && i >= tailWarmUp {
				mutex.Lock()
				f.partial++
				mutex.Unlock()
			}
		})
		for _, server := range e.owner.Servers() {
			// A share that rises within 50 ms by more than a request that left the window explains is a new hedge.
			if server.HedgeShare > shares[server.Server]+1.0/1300 && server.InUse > 0 {
				f.hedgeShare = max(f.hedgeShare, server.HedgeShare)
			}
			shares[server.Server] = server.HedgeShare
		}
	}
	all.Wait()
	time.Sleep(time.Minute)
	f.load = float64(e.sends) / float64(len(took)*len(e.order)/2)
	measured := took[tailWarmUp:]
	slices.Sort(measured)
	f.p99 = measured[tailQueries*99/100]
	return f
}

// tail plays an experiment on fake time, which only a test can; it keeps the noise of the machine out.
func tail(fanOut int, wrong fault, deadline time.Duration, plain bool) (f figures) {
	body := func(*testing.T) { f = newExperiment(fanOut, wrong, deadline).play(plain) }
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{Name: "tail", F: func(t *testing.T) { synctest.Test(t, body) }},
	})
	if !ok {
		panic("the tail experiment failed")
	}
	return f
}

// BenchmarkTail compares the engine and the owner with the plain baseline on the same servers, with and
// without one replica in forty that is 20 times slower: always the same, or others every 2 s. The last
// pair has one replica that accepts and never answers, and the deadline of the deployments.
func BenchmarkTail(b *testing.B) {
	for _, fanOut := range []int{20, 170} {
		for name, wrong := range map[string]fault{"standing": standing, "moving": moving, "frozen": frozen} {
			b.Run(fmt.Sprintf("fan-out=%d/%s", fanOut, name), func(b *testing.B) {
				deadline := 10 * time.Second
				if wrong == frozen {
					deadline = 140 * time.Millisecond
				}
				for range b.N {
					still, ours, plain := tail(fanOut, calm, deadline, false), tail(fanOut, wrong, deadline, false), tail(fanOut, wrong, deadline, true)
					millis := func(d time.Duration) float64 { return d.Seconds() * 1000 }
					b.ReportMetric(millis(still.p99), "p99-calm-ms")
					b.ReportMetric(millis(ours.p99), "p99-ms")
					b.ReportMetric(millis(plain.p99), "p99-plain-ms")
					b.ReportMetric(float64(plain.p99)/float64(ours.p99), "times-lower")
					b.ReportMetric(float64(ours.p99)/float64(still.p99), "times-calm")
					b.ReportMetric(100*(ours.load-1), "%extra-load")
					b.ReportMetric(100*ours.hedgeShare, "%hedges-worst")
					b.ReportMetric(float64(ours.partial), "partial")
					b.ReportMetric(float64(plain.partial), "partial-plain")
				}
			})
		}
	}
}
