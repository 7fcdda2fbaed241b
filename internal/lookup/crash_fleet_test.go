package lookup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// crashDelay is the time from the start of a run to the crash that it causes.
	crashDelay = 8 * time.Millisecond
	// restartDelay is how long a crashed replica is down, and registrationDelay how long its new entry then takes.
	restartDelay      = 3300 * time.Millisecond
	registrationDelay = 200 * time.Millisecond
)

// crashFleet is a fleet of entry instances in front of replicas that crash under some requests. It is the Sender and the
// Prober of all instances.
type crashFleet struct {
	t           *testing.T
	engines     []*Engine
	services    []fleet.ServiceID
	fanoutRoute *routing.Route
	singleRoute *routing.Route
	// deadly reports whether a request crashes the replicas of a service that run it.
	deadly func(identity quarantine.Fingerprint, service fleet.ServiceID) bool

	mutex      sync.Mutex
	replicas   map[fleet.ServerID]*crashingReplica
	crashes    []crashRecord
	deadlySent []deadlySend
	requests   int
}

// crashingReplica is the current process of a replica.
type crashingReplica struct {
	directory.Replica
	ended chan struct{} // closed when the process ends
	down  bool
}

type crashRecord struct {
	at      time.Time
	replica fleet.ServerID
	by      quarantine.Fingerprint // zero if no request caused it
}

// deadlySend is a deadly request that reached a replica.
type deadlySend struct {
	at       time.Time
	id       string
	identity quarantine.Fingerprint
}

func newCrashFleet(t *testing.T, instances, shardCount int) *crashFleet {
	f := &crashFleet{
		t: t, replicas: make(map[fleet.ServerID]*crashingReplica),
		deadly:      func(quarantine.Fingerprint, fleet.ServiceID) bool { return false },
		fanoutRoute: &routing.Route{Name: "fan", Idempotent: true, Timeout: timeout, Objective: objective, MaxAttempts: 2, MaxRecords: 5, MinCoverage: 0.89},
		singleRoute: &routing.Route{
			Name: "one", Idempotent: true, Timeout: timeout, Objective: objective, MaxAttempts: 2,
			WeightedServices: []routing.WeightedService{{Service: "s0", Weight: 1}},
		},
	}
	for i := range shardCount {
		service := serviceOf(i)
		f.services = append(f.services, service)
		f.fanoutRoute.Shards = append(f.fanoutRoute.Shards, service)
		for _, zone := range []fleet.ZoneID{"a", "b"} {
			id := fleet.ServerID(fmt.Sprintf("%s-%s", service, zone))
			f.replicas[id] = &crashingReplica{ended: make(chan struct{}), Replica: directory.Replica{
				ID: id, Service: service, Zone: zone, Region: "r", Address: string(id), Slots: 2, StartedAt: 1,
			}}
		}
	}
	for i := range instances {
		e := New(Options{
			Zone: []fleet.ZoneID{"a", "b"}[i%2], Sender: f, ExtraAllowance: Allowance{Window: 10 * time.Second, Ratio: 0.2, Constant: 56},
			Random: rand.New(rand.NewPCG(uint64(i), 2)),
		})
		e.started = time.Now().Add(-time.Minute)
		e.SetInstances(fleet.InstanceID(fmt.Sprintf("i%d", i)), instanceNames(instances))
		f.engines = append(f.engines, e)
	}
	f.publish()
	return f
}

// publish gives all instances the current entries of the replicas.
func (f *crashFleet) publish() {
	f.mutex.Lock()
	v := &directory.View{Replicas: make(map[fleet.ServiceID][]directory.Replica)}
	var services []routing.Service
	for _, service := range f.services {
		services = append(services, routing.Service{ID: service, MaxConnections: 60})
		for _, zone := range []string{"a", "b"} {
			v.Replicas[service] = append(v.Replicas[service], f.replicas[fleet.ServerID(string(service)+"-"+zone)].Replica)
		}
	}
	v.Table = routing.New(1, []*routing.Route{f.fanoutRoute, f.singleRoute}, services, routing.Limits{}, nil)
	engines := slices.Clone(f.engines)
	f.mutex.Unlock()
	for _, e := range engines {
		e.Update(v)
	}
}

// crash ends the process of a replica and starts another one after restartDelay. The caller holds the mutex.
func (f *crashFleet) crash(r *crashingReplica, by quarantine.Fingerprint) {
	if r.down {
		return
	}
	r.down = true
	close(r.ended)
	f.crashes = append(f.crashes, crashRecord{time.Now(), r.ID, by})
	time.AfterFunc(restartDelay, func() {
		f.mutex.Lock()
		next := &crashingReplica{Replica: r.Replica, ended: make(chan struct{})}
		next.StartedAt++
		f.replicas[r.ID] = next
		f.mutex.Unlock()
		time.AfterFunc(registrationDelay, f.publish)
	})
}

// Send implements Sender.
func (f *crashFleet) Send(ctx context.Context, request *Request, to directory.Replica, _ SendLimits) Outcome {
	f.mutex.Lock()
	r := f.replicas[to.ID]
	switch {
	case r.down:
		f.mutex.Unlock()
		return Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed, Unsent: true}
	case r.StartedAt != to.StartedAt:
		f.mutex.Unlock()
		return Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: http.StatusMisdirectedRequest}
	}
	delay, deadly := work, f.deadly(request.Fingerprint(), to.Service)
	if deadly {
		delay = crashDelay
		f.deadlySent = append(f.deadlySent, deadlySend{time.Now(), request.ID, request.Fingerprint()})
	}
	f.mutex.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ended:
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}
	case <-ctx.Done():
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled}
	}
	if !deadly {
		return good(0).outcome
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crash(r, request.Fingerprint())
	return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}
}

// Probe implements Prober.
func (f *crashFleet) Probe(_ context.Context, to directory.Replica) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.replicas[to.ID].down {
		return verdict.New(verdict.NotRun, verdict.ConnectFailed, "connection refused")
	}
	return nil
}

// run lets an instance serve a request with the given content.
func (f *crashFleet) run(instance int, route *routing.Route, content string) Result {
	f.mutex.Lock()
	f.requests++
	id := fmt.Sprint(f.requests)
	f.mutex.Unlock()
	identity := quarantine.NewFingerprint([]byte(content))
	now := time.Now()
	return f.engines[instance].Run(context.Background(), &Request{
		ID: id, Route: route, ArrivedAt: now, Deadline: now.Add(route.Timeout),
		Fingerprint: func() quarantine.Fingerprint { return identity },
	})
}

// requestsAfterThirdCrash returns how many requests with the fingerprint reached replicas later than the given time after
// it had crashed the third replica.
func (f *crashFleet) requestsAfterThirdCrash(identity quarantine.Fingerprint, later time.Duration) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var third time.Time
	count := 0
	for _, c := range f.crashes {
		if c.by == identity {
			if count++; count == 3 {
				third = c.at
			}
		}
	}
	if count < 3 {
		return 0
	}
	reached := make(map[string]bool)
	for _, s := range f.deadlySent {
		if s.identity == identity && s.at.After(third.Add(later)) {
			reached[s.id] = true
		}
	}
	return len(reached)
}

// crashesBy returns the number of replicas that the request with the fingerprint has crashed.
func (f *crashFleet) crashesBy(identity quarantine.Fingerprint) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, c := range f.crashes {
		if c.by == identity {
			count++
		}
	}
	return count
}

// load runs innocent requests at random instances, rate a second, until stop is closed, and returns a function that
// waits for them and returns the share that was served.
func (f *crashFleet) load(route *routing.Route, rate int, duration time.Duration) (served func() float64) {
	var running sync.WaitGroup
	var mutex sync.Mutex
	total, good := 0, 0
	random := rand.New(rand.NewPCG(7, 9))
	running.Go(func() {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
			instance, content := random.IntN(len(f.engines)), fmt.Sprintf("innocent %d", random.IntN(500))
			running.Go(func() {
				result := f.run(instance, route, content)
				mutex.Lock()
				defer mutex.Unlock()
				if total++; result.Failure == nil {
					good++
				}
			})
		}
	})
	return func() float64 {
		running.Wait()
		return float64(good) / float64(max(total, 1))
	}
}
