package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// fakeServer is a backend server that counts the calls in flight on its own side.
type fakeServer struct {
	mutex       sync.Mutex
	startMark   string
	inFlight    int
	peak, calls int
	serviceTime time.Duration
	leaving     bool
	failure     *verdict.Error
	// ignoresCancel makes the server continue after the caller has cancelled the call.
	ignoresCancel bool
}

func (b *fakeServer) serve(ctx context.Context) (Answer, error) {
	b.mutex.Lock()
	b.inFlight++
	b.calls++
	b.peak = max(b.peak, b.inFlight)
	serviceTime, ignoresCancel := b.serviceTime, b.ignoresCancel
	b.mutex.Unlock()
	done := ctx.Done()
	if ignoresCancel {
		done = nil
	}
	var err error
	select {
	case <-time.After(serviceTime):
	case <-done:
		err = verdict.New(verdict.MayHaveRun, verdict.Cancelled, "")
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight--
	if b.failure != nil {
		err = b.failure
	}
	return Answer{StartMark: b.startMark, Leaving: b.leaving}, err
}

func (b *fakeServer) update(change func(*fakeServer)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change(b)
	b.peak, b.calls = b.inFlight, 0
}

func (b *fakeServer) load() (peak, calls int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.peak, b.calls
}

// harness is an Owner with fake servers s0, s1 and so on in zone z.
type harness struct {
	*Owner
	servers   map[fleet.ServerID]*fakeServer
	mutex     sync.Mutex
	listed    map[fleet.ServerID]fleet.Server
	catalogue catalogue.Catalogue
	slots     int
	fenced    bool
	// connectDelay is how long the transport takes to open a connection before it writes.
	connectDelay time.Duration
	attempts     uint64
	results      []query.Result
}

func (h *harness) Do(ctx context.Context, server fleet.Server, call Call) (Answer, error) {
	if h.connectDelay > 0 {
		time.Sleep(h.connectDelay)
		if !call.Permitted() {
			return Answer{}, verdict.New(verdict.NotRun, verdict.Fenced, "")
		}
	}
	return h.servers[server.ID].serve(ctx)
}

func newHarness(servers, slots int) *harness {
	h := &harness{servers: map[fleet.ServerID]*fakeServer{}, listed: map[fleet.ServerID]fleet.Server{}, slots: slots}
	h.catalogue = catalogue.New([]catalogue.Service{
		{ID: "x", Class: catalogue.Interactive}, {ID: "settle", Class: catalogue.Settlement}, {ID: "batch", Class: catalogue.Batch},
	})
	for i := range servers {
		id := fleet.ServerID(fmt.Sprint("s", i))
		h.servers[id] = &fakeServer{startMark: "1", serviceTime: 10 * time.Millisecond}
		h.listed[id] = fleet.Server{ID: id, Service: "x", Zone: "z", Address: "127.0.0.1:1"}
	}
	h.Owner = h.newOwner("e0")
	return h
}

func (h *harness) newOwner(id fleet.InstanceID) *Owner {
	return New(Dependencies{
		Self: id, Transport: h, Random: rand.NewPCG(1, 2),
		Claim: func(fleet.ServerID) (int, int, bool) {
			slots := read(h, func() int { return h.slots })
			return slots, 10, slots > 0
		},
		Server: func(id fleet.ServerID) (fleet.Server, bool) {
			server := read(h, func() fleet.Server { return h.listed[id] })
			return server, server.ID != ""
		},
		Fresh:     func() bool { return !read(h, func() bool { return h.fenced }) },
		Catalogue: func() catalogue.Catalogue { return read(h, func() catalogue.Catalogue { return h.catalogue }) },
	})
}

func read[T any](h *harness, value func() T) T {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return value()
}

// update changes what the dependencies of the Owner return.
func (h *harness) update(change func(*harness)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change(h)
}

// send starts count parts at a server and returns the attempt number of the first.
func (h *harness) send(server fleet.ServerID, count int, within time.Duration, edit func(*query.Part)) uint64 {
	var parts []query.Part
	first := h.attempts + 1
	for range count {
		h.attempts++
		part := query.Part{Attempt: h.attempts, Service: "x", Server: server, Deadline: time.Now().Add(within)}
		if edit != nil {
			edit(&part)
		}
		parts = append(parts, part)
	}
	h.Run(context.Background(), "c", parts, func(result query.Result) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.results = append(h.results, result)
	})
	return first
}

// takeResults returns the results since the last call, after all goroutines are blocked or have ended.
func (h *harness) takeResults() []query.Result {
	synctest.Wait()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := h.results
	h.results = nil
	return taken
}

// countReasons returns how many results had each reason since the last call.
func (h *harness) countReasons() map[verdict.Reason]int {
	counts := map[verdict.Reason]int{}
	for _, result := range h.takeResults() {
		if result.Err == nil {
			counts[verdict.None]++
		} else {
			counts[result.Err.Reason]++
		}
	}
	return counts
}

func (h *harness) warmUp(server fleet.ServerID) {
	for range (h.slots + 1) * answersPerRampStep {
		h.send(server, 1, time.Second, nil)
		time.Sleep(20 * time.Millisecond)
	}
	h.countReasons()
}

func asHedge(part *query.Part) { part.Hedge = true }

// TestColdServerSeesOneRequestAtATime guards against full load on servers that have just started, including load from
// many coordinators at once and on all servers of a zone that returns.
func TestColdServerSeesOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(40, 4)
		for entry := range 8 {
			for id := range h.servers {
				var parts []query.Part
				for attempt := range uint64(20) {
					parts = append(parts, query.Part{Attempt: attempt + 1, Service: "x", Server: id, Deadline: time.Now().Add(time.Minute)})
				}
				go h.Run(t.Context(), fleet.InstanceID(fmt.Sprint("e", entry)), parts, func(query.Result) {})
			}
		}
		time.Sleep(answersPerRampStep*10*time.Millisecond - time.Millisecond)
		for _, server := range h.servers {
			peak, calls := server.load()
			is.Equal(peak, 1)
			is.Equal(calls, answersPerRampStep)
		}
		time.Sleep(10 * time.Millisecond)
		for _, server := range h.servers {
			peak, _ := server.load()
			is.Equal(peak, 2) // answersPerRampStep answers raised the limit
		}
		time.Sleep(time.Minute)
		for _, status := range h.Statuses() {
			is.Equal(status.State, Warm)
			peak, _ := h.servers[status.Server].load()
			is.Equal(peak, 4)
		}
	})
}

// TestFailuresResetTheRamp guards against a server that stays warm after its process has restarted, its connections
// have failed or it has become slow.
func TestFailuresResetTheRamp(t *testing.T) {
	tests := map[string]struct {
		fault func(*fakeServer)
		calls int
		state State
	}{
		"start mark changes": {func(b *fakeServer) { b.startMark = "2" }, 1, Cold},
		"connection refused": {func(b *fakeServer) { b.failure = verdict.New(verdict.NotRun, verdict.ConnectFailed, "") }, 1, Lost},
		"connection reset":   {func(b *fakeServer) { b.failure = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "") }, 1, Cold},
		"step in latency":    {func(b *fakeServer) { b.serviceTime = 100 * time.Millisecond }, 3, Cold},
		"no answers in time": {func(b *fakeServer) { b.failure = verdict.New(verdict.MayHaveRun, verdict.SilentConnection, "") }, 3, Silent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(1, 4)
				h.warmUp("s0")
				is.Equal(h.Statuses()[0].State, Warm)
				server := h.servers["s0"]
				server.update(test.fault)
				for range test.calls {
					h.send("s0", 1, time.Second, nil)
					time.Sleep(150 * time.Millisecond)
				}
				is.Equal(h.Statuses()[0].State, test.state)
				is.Equal(h.Statuses()[0].Ramp, 1)
				server.update(func(*fakeServer) {})
				h.send("s0", 8, 5*time.Second, nil)
				time.Sleep(9 * time.Millisecond)
				peak, _ := server.load()
				is.Equal(peak, 1)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestIdleServerGetsOneRequestFirst guards against full load on a server that restarted while nothing was sent to it
// and before its state endpoint reported the restart.
func TestIdleServerGetsOneRequestFirst(t *testing.T) {
	tests := map[string]struct {
		idle time.Duration
		peak int
	}{
		"answered just now": {20 * time.Millisecond, 4},
		"idle":              {2 * time.Second, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(1, 4)
				h.warmUp("s0")
				time.Sleep(test.idle)
				server := h.servers["s0"]
				server.update(func(*fakeServer) {})
				h.send("s0", 8, time.Second, nil)
				time.Sleep(9 * time.Millisecond)
				peak, _ := server.load()
				is.Equal(peak, test.peak)
				time.Sleep(6 * time.Millisecond)
				peak, _ = server.load()
				is.Equal(peak, 4) // the answer shows that the process is the same
				time.Sleep(time.Second)
			})
		})
	}
}

// TestNoPartForServersThatAreOutOrLeaving guards against sending parts, including parts queued earlier, to a server
// that is leaving, that operators have taken out of service, or that this instance may no longer send to.
func TestNoPartForServersThatAreOutOrLeaving(t *testing.T) {
	tests := map[string]struct {
		change func(*harness)
		reason verdict.Reason
	}{
		"leaving in the view":  {func(h *harness) { s := h.listed["s0"]; s.Leaving = true; h.listed["s0"] = s }, verdict.Leaving},
		"leaving by its reply": {func(h *harness) { h.servers["s0"].update(func(b *fakeServer) { b.leaving = true }) }, verdict.Leaving},
		"zone out":             {func(h *harness) { h.catalogue = h.catalogue.WithZoneOutOfService("z", true) }, verdict.ZoneOut},
		"instance out":         {func(h *harness) { h.catalogue = h.catalogue.WithInstanceOutOfService("s0", true) }, verdict.InstanceOut},
		"fenced":               {func(h *harness) { h.fenced = true }, verdict.Fenced},
		"not the owner":        {func(h *harness) { h.slots = 0 }, verdict.NotOwner},
	}
	for name, test := range tests {
		for _, refresh := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", refresh ", refresh), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					h := newHarness(1, 2)
					h.warmUp("s0")
					h.servers["s0"].update(func(*fakeServer) {})
					h.send("s0", 5, time.Second, nil) // two run and three are queued
					synctest.Wait()
					h.update(test.change)
					if refresh {
						h.Refresh()
					}
					time.Sleep(time.Second)
					h.send("s0", 4, time.Second, nil)
					is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.None: 2, test.reason: 7})
				})
			})
		}
	}
}

// TestFenceIsCheckedLast guards against a write by an instance that was paused, and so became fenced, after all other
// checks had passed.
func TestFenceIsCheckedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		var checks atomic.Int32
		h.Fresh = func() bool { return checks.Add(1) <= 2 }
		h.send("s0", 1, time.Second, nil)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.Fenced: 1})
		_, calls := h.servers["s0"].load()
		is.Equal(calls, 0)
		is.Equal(h.Statuses()[0].InUse, 0)
	})
}

// TestFencedWhileConnecting guards against a write by an instance that became fenced while its transport opened a
// connection.
func TestFencedWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.connectDelay = 5 * time.Millisecond
		time.AfterFunc(2*time.Millisecond, func() { h.update(func(h *harness) { h.fenced = true }) })
		h.send("s0", 1, time.Second, nil)
		time.Sleep(time.Second)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.Fenced: 1})
		_, calls := h.servers["s0"].load()
		is.Equal(calls, 0)
	})
}

// TestServersOfReturningZoneAreCold guards against full load on the servers of a zone that operators put back into
// service. The servers were warm before, but may have restarted meanwhile, and all of them get load at the same moment.
func TestServersOfReturningZoneAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(10, 4)
		for id := range h.servers {
			h.warmUp(id)
		}
		h.catalogue = h.catalogue.WithZoneOutOfService("z", true)
		h.Refresh()
		time.Sleep(time.Minute)
		h.catalogue = h.catalogue.WithZoneOutOfService("z", false)
		h.Refresh()
		for id, server := range h.servers {
			server.update(func(*fakeServer) {})
			h.send(id, 8, time.Second, nil)
		}
		time.Sleep(9 * time.Millisecond)
		for _, server := range h.servers {
			peak, _ := server.load()
			is.Equal(peak, 1)
		}
		time.Sleep(time.Second)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.None: 80})
	})
}
