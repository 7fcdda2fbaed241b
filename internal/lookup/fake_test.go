package lookup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	work      = 20 * time.Millisecond
	objective = 150 * time.Millisecond
	timeout   = 800 * time.Millisecond
	shards    = 10
)

// behaviour is how a replica of the fake answers: after the delay with the outcome; one that is silent or hangs never does.
type behaviour struct {
	delay   time.Duration
	silent  bool
	hangs   bool // silent, but accepts connections
	refuses bool // probes fail at once
	outcome Outcome
}

// good is an answer with a receipt.
func good(delay time.Duration) behaviour {
	return behaviour{delay: delay, outcome: Outcome{Verdict: verdict.Ran, Status: http.StatusOK, Receipt: "seal"}}
}

func rejecting() behaviour {
	return behaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.Shedding, Status: http.StatusServiceUnavailable}}
}

func failing() behaviour {
	return behaviour{outcome: Outcome{Verdict: verdict.Ran, Reason: verdict.ServerError, Status: 500, Receipt: "seal"}}
}

// backends is a fake of all replicas. Behaviour is looked up for each send.
type backends struct {
	mutex  sync.Mutex
	behave func(id fleet.ServerID, now time.Time) behaviour
	sends  map[fleet.ServerID]int
	all    []fleet.ServerID
	ended  int // calls ended by their context
}

func (b *backends) Send(ctx context.Context, request *Request, to directory.Replica, _ Bounds) Outcome {
	b.mutex.Lock()
	b.sends[to.ID]++
	b.all = append(b.all, to.ID)
	how := b.behave(to.ID, time.Now())
	b.mutex.Unlock()
	left := time.Until(request.Deadline)
	answer := make(<-chan time.Time)
	if !how.silent && !how.hangs {
		answer = time.After(how.delay)
	}
	select {
	case <-answer:
		if how.outcome.Status == 0 {
			how.outcome.Unsent = how.outcome.Verdict == verdict.NotRun
		}
		return how.outcome
	case <-ctx.Done():
		b.mutex.Lock()
		b.ended++
		b.mutex.Unlock()
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled}
	case <-time.After(left):
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.DeadlinePassed}
	}
}

func (b *backends) Probe(_ context.Context, to directory.Replica) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if how := b.behave(to.ID, time.Now()); how.silent || how.refuses {
		return fmt.Errorf("no answer")
	}
	return nil
}

// change replaces the behaviour.
func (b *backends) change(behave func(id fleet.ServerID, now time.Time) behaviour) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behave = behave
}

func (b *backends) count(id fleet.ServerID) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sends[id]
}

func (b *backends) total() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.all)
}

// stage is an engine in zone a before shards with one replica in zone a and one in zone b, named like s3-a.
type stage struct {
	*backends
	connections int // of each replica, from all instances together
	born        int64
	engine      *Engine
	fan         *routing.Route
	one         *routing.Route
	next        int
}

func newStage(t *testing.T, behave func(id fleet.ServerID, now time.Time) behaviour) *stage {
	t.Helper()
	b := &backends{behave: behave, sends: make(map[fleet.ServerID]int)}
	s := &stage{backends: b, connections: 60, born: 1}
	s.engine = New(Options{
		Zone: "a", Sender: b, Extra: allowed, Random: rand.New(rand.NewPCG(1, 2)),
	})
	s.engine.SetInstances("i0", named(4))
	s.engine.started = time.Now().Add(-allowed.Window) // it has been running for a while
	s.fan = &routing.Route{Name: "fan", Idempotent: true, Timeout: timeout, Objective: objective, Attempts: 2, Keep: 5, Floor: 0.8}
	s.one = &routing.Route{
		Name: "one", Idempotent: true, Timeout: timeout, Objective: objective, Attempts: 2,
		Shares: []routing.Share{{Service: "s0", Weight: 1}},
	}
	for i := range shards {
		s.fan.Shards = append(s.fan.Shards, serviceOf(i))
	}
	s.update(nil)
	return s
}

// named returns the names of instances.
func named(count int) []fleet.InstanceID {
	all := make([]fleet.InstanceID, count)
	for i := range all {
		all[i] = fleet.InstanceID(fmt.Sprintf("i%d", i))
	}
	return all
}

func serviceOf(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprintf("s%d", i)) }

// update publishes a view without the replicas that skip names.
func (s *stage) update(skip func(id fleet.ServerID) bool) {
	v := &directory.View{Replicas: make(map[fleet.ServiceID][]directory.Replica)}
	var services []routing.Service
	for i := range shards {
		service := serviceOf(i)
		services = append(services, routing.Service{ID: service, Connections: s.connections})
		for _, zone := range []fleet.ZoneID{"a", "b"} {
			id := fleet.ServerID(string(service) + "-" + string(zone))
			if skip == nil || !skip(id) {
				v.Replicas[service] = append(v.Replicas[service], directory.Replica{
					ID: id, Service: service, Zone: zone, Region: "region-" + fleet.RegionID(zone), Address: string(id), Slots: 2, Born: s.born,
				})
			}
		}
	}
	v.Table = routing.New(1, []*routing.Route{s.fan, s.one}, services, routing.Limits{}, nil)
	s.engine.Update(v)
}

func (s *stage) run(route *routing.Route) Result {
	return s.runWith(context.Background(), route)
}

func (s *stage) runWith(ctx context.Context, route *routing.Route) Result {
	s.next++
	now := time.Now()
	return s.engine.Run(ctx, &Request{ID: fmt.Sprint(s.next), Route: route, Arrived: now, Deadline: now.Add(route.Timeout)})
}

// load runs requests at a steady rate for a time and returns their results with the time that each took.
func (s *stage) load(route *routing.Route, every, lasting time.Duration) []timed {
	var mutex sync.Mutex
	var all []timed
	var running sync.WaitGroup
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(every) {
		running.Go(func() {
			began := time.Now()
			result := s.engine.Run(context.Background(), &Request{Route: route, Arrived: began, Deadline: began.Add(route.Timeout)})
			mutex.Lock()
			all = append(all, timed{result, time.Since(began)})
			mutex.Unlock()
		})
	}
	running.Wait()
	return all
}

type timed struct {
	Result
	took time.Duration
}

// inBubble runs a test on the paused clock and lets calls that linger end.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(time.Minute)
	})
}

// largeEngine is an engine in one of five zones before 518 services with three replicas each.
func largeEngine() *Engine {
	e := New(Options{Zone: "z0", Random: rand.New(rand.NewPCG(1, 2))})
	v := &directory.View{Replicas: make(map[fleet.ServiceID][]directory.Replica)}
	var services []routing.Service
	for i := range 518 {
		id := fleet.ServiceID(fmt.Sprintf("s%d", i))
		services = append(services, routing.Service{ID: id, Connections: 175})
		for k := range 3 {
			v.Replicas[id] = append(v.Replicas[id], directory.Replica{
				ID: fleet.ServerID(fmt.Sprintf("r%d-%d", i, k)), Service: id, Zone: fleet.ZoneID(fmt.Sprintf("z%d", (i+k)%5)), Slots: 3, Born: 1,
			})
		}
	}
	v.Table = routing.New(1, nil, services, routing.Limits{}, nil)
	e.Update(v)
	return e
}
