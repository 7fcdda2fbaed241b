package lookup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
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
	// lose returns the share of the runs whose answer is lost with its connection. crashHangs leaves the connections of a
	// crashed replica open. downFor is how long a crashed replica is down.
	lose       float64
	crashHangs bool
	downFor    time.Duration
	random     *rand.Rand

	ctx       context.Context
	stopAll   context.CancelFunc
	ledgers   []*quarantine.Ledger
	exchanges []*quarantine.Exchange
	stops     []context.CancelFunc
	// reaches reports whether an instance reaches another one; storeUp whether the store answers, which holds stored.
	reaches func(from, to int) bool
	storeUp bool
	stored  map[quarantine.Fingerprint][]byte

	mutex      sync.Mutex
	replicas   map[fleet.ServerID]*crashingReplica
	crashes    []crashRecord
	deadlySent []deadlySend
	requests   int
	// refusedInnocents counts requests of load that were refused as quarantined.
	refusedInnocents int
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
		t: t, replicas: make(map[fleet.ServerID]*crashingReplica), downFor: restartDelay,
		storeUp: true, stored: make(map[quarantine.Fingerprint][]byte), random: rand.New(rand.NewPCG(5, 6)),
		deadly:      func(quarantine.Fingerprint, fleet.ServiceID) bool { return false },
		fanoutRoute: &routing.Route{Name: "fan", Idempotent: true, Timeout: timeout, Objective: objective, MaxAttempts: 2, MaxRecords: 5, MinCoverage: 0.89},
		singleRoute: &routing.Route{
			Name: "one", Idempotent: true, Timeout: timeout, Objective: objective, MaxAttempts: 2,
			WeightedServices: []routing.WeightedService{{Service: "s0", Weight: 1}},
		},
	}
	f.ctx, f.stopAll = context.WithCancel(context.Background())
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
	f.engines, f.ledgers = make([]*Engine, instances), make([]*quarantine.Ledger, instances)
	f.exchanges, f.stops = make([]*quarantine.Exchange, instances), make([]context.CancelFunc, instances)
	for i := range instances {
		f.start(i)
	}
	f.publish()
	return f
}

func (f *crashFleet) zoneOf(i int) fleet.ZoneID { return []fleet.ZoneID{"a", "b"}[i%2] }

// start starts an instance, which knows what the store has.
func (f *crashFleet) start(i int) {
	ids := instanceNames(len(f.engines))
	ledger := quarantine.NewLedger(ids[i])
	e := New(Options{
		Zone: f.zoneOf(i), Sender: f, Prober: f, ExtraAllowance: Allowance{Window: 10 * time.Second, Ratio: 0.2, Constant: 56},
		Random: rand.New(rand.NewPCG(uint64(i), 2)), Quarantine: ledger,
	})
	e.started = time.Now().Add(-time.Minute)
	e.SetInstances(ids[i], ids)
	ledger.SetInstances(ids)
	var all []directory.Instance
	for k, id := range ids {
		all = append(all, directory.Instance{ID: id, Zone: f.zoneOf(k), PeerAddress: strconv.Itoa(k)})
	}
	exchange := quarantine.NewExchange(quarantine.Options{
		Self: all[i], Ledger: ledger, Peers: crashPeers{f, i}, Random: rand.New(rand.NewPCG(uint64(i), 5)), LastAnswer: e.LastAnswer,
	})
	exchange.SetInstances(all)
	ctx, stop := context.WithCancel(f.ctx)
	f.mutex.Lock()
	f.engines[i], f.ledgers[i], f.exchanges[i], f.stops[i] = e, ledger, exchange, stop
	f.mutex.Unlock()
	go exchange.Run(ctx)
	go quarantine.NewArchivist(ledger, f).Run(ctx)
	f.restore(i)
}

// restart ends the process of an instance and starts another one.
func (f *crashFleet) restart(i int) {
	f.stops[i]()
	f.start(i)
	f.publish()
}

// restore gives an instance what the store has.
func (f *crashFleet) restore(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, value := range f.stored {
		if err := f.ledgers[i].Restore(value, time.Now()); f.storeUp && err != nil {
			f.t.Error(err)
		}
	}
}

// Write implements quarantine.Archive. All instances read what is written.
func (f *crashFleet) Write(_ context.Context, values map[quarantine.Fingerprint][]byte, removed []quarantine.Fingerprint) error {
	f.mutex.Lock()
	if !f.storeUp {
		f.mutex.Unlock()
		return errors.New("the store is down")
	}
	maps.Copy(f.stored, values)
	for _, identity := range removed {
		delete(f.stored, identity)
	}
	f.mutex.Unlock()
	for i := range f.engines {
		f.restore(i)
	}
	return nil
}

// crashPeers is how one instance calls the others.
type crashPeers struct {
	f    *crashFleet
	from int
}

// Call implements quarantine.PeerClient.
func (p crashPeers) Call(ctx context.Context, address, method string, params, into any) error {
	to, err := strconv.Atoi(address)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Millisecond)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.f.mutex.Lock()
	exchange, reached := p.f.exchanges[to], p.f.reaches == nil || p.f.reaches(p.from, to)
	p.f.mutex.Unlock()
	if !reached {
		<-ctx.Done()
		return ctx.Err()
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer := any(nil)
	if method == quarantine.ReportMethod {
		answer, err = exchange.AnswerReport(ctx, text)
	} else {
		answer, err = exchange.AnswerSync(ctx, text)
	}
	if err != nil || into == nil {
		return err
	}
	if text, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(text, into)
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
	if !f.crashHangs {
		close(r.ended)
	}
	f.crashes = append(f.crashes, crashRecord{time.Now(), r.ID, by})
	time.AfterFunc(f.downFor, func() {
		f.mutex.Lock()
		next := &crashingReplica{Replica: r.Replica, ended: make(chan struct{})}
		next.StartedAt++
		f.replicas[r.ID] = next
		f.mutex.Unlock()
		time.AfterFunc(registrationDelay, f.publish)
	})
}

// kill ends the process of a shard's replica in one of the zones, whatever runs there.
func (f *crashFleet) kill(shard, zone int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crash(f.replicas[fleet.ServerID(fmt.Sprintf("s%d-%s", shard, []string{"a", "b"}[zone%2]))], quarantine.Fingerprint{})
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
	delay, deadly, lost := work, f.deadly(request.Fingerprint(), to.Service), f.random.Float64() < f.lose
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
	switch {
	case deadly:
		f.mutex.Lock()
		f.crash(r, request.Fingerprint())
		hangs := f.crashHangs
		f.mutex.Unlock()
		if hangs {
			<-ctx.Done()
			return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled}
		}
	case !lost:
		return good(0).outcome
	}
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

// Refuses implements Prober.
func (f *crashFleet) Refuses(_ context.Context, to directory.Replica) bool {
	time.Sleep(2 * time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replicas[to.ID].down && !f.crashHangs
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
				} else if result.Failure.Reason == verdict.Quarantined {
					f.refusedInnocents++
				}
			})
		}
	})
	return func() float64 {
		running.Wait()
		return float64(good) / float64(max(total, 1))
	}
}
