package query

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
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	tailQueries = 2000
	tailGap     = 50 * time.Millisecond
	tailSlots   = 3
	tailSlower  = 20
	tailTimeout = time.Second
)

// tailServers stands for owners with replicas of a few slots, some of which are slow. Service takes
// 5 ms plus an exponential part of 5 ms in the mean.
type tailServers struct {
	mu       sync.Mutex
	draw     *rand.Rand
	slots    map[fleet.ServerID]chan struct{}
	index    map[fleet.ServerID]int
	every    int
	moving   bool
	cancels  map[uint64]context.CancelFunc
	sends    int
	accepted map[fleet.ServerID]float64 // hedge allowance of the owner
}

func newTailServers(w world, every int, moving bool) *tailServers {
	s := &tailServers{
		draw: rand.New(rand.NewPCG(1, 2)), slots: make(map[fleet.ServerID]chan struct{}),
		index: make(map[fleet.ServerID]int), every: every, moving: moving, cancels: make(map[uint64]context.CancelFunc),
		accepted: make(map[fleet.ServerID]float64),
	}
	for i, server := range w.servers {
		s.slots[server.ID] = make(chan struct{}, tailSlots)
		s.index[server.ID] = i
	}
	return s
}

func (s *tailServers) Send(ctx context.Context, _ fleet.InstanceID, parts []Part, deliver func(Result)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		result := Result{Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Warm: true}
		if part.Hedge {
			// As the owner does: a free slot, and one hedge for 22 requests, of which two are kept.
			if s.accepted[part.Server] < 1 || len(s.slots[part.Server]) == tailSlots {
				result.Err = verdict.New(verdict.NotRun, verdict.HedgeRefused, "budget")
				deliver(result)
				continue
			}
			s.accepted[part.Server]--
		} else {
			s.accepted[part.Server] = min(s.accepted[part.Server]+1.0/22, 2)
		}
		s.sends++
		took := 5*time.Millisecond + time.Duration(s.draw.ExpFloat64()*5e6)
		if s.isSlow(part.Server) {
			took *= tailSlower
		}
		one, cancel := context.WithCancel(ctx)
		s.cancels[part.Attempt] = cancel
		go s.serve(one, result, took, deliver)
	}
}

// isSlow tells whether the server is one of the slow ones; where they move, another set is every 2 s.
func (s *tailServers) isSlow(server fleet.ServerID) bool {
	if s.every == 0 {
		return false
	}
	turn := 0
	if s.moving {
		turn = int(time.Now().Unix()/2) * 7
	}
	return (s.index[server]+turn)%s.every == s.every/2
}

func (s *tailServers) serve(ctx context.Context, result Result, took time.Duration, deliver func(Result)) {
	slots := s.slots[result.Server]
	result.Err = verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled")
	select {
	case slots <- struct{}{}:
		select {
		case <-time.After(took):
			result.Err, result.Rows, result.Held = nil, []byte("1"), []snapshot.Version{1}
		case <-ctx.Done():
		}
		<-slots
	case <-ctx.Done():
	}
	s.mu.Lock()
	if cancel := s.cancels[result.Attempt]; cancel != nil {
		cancel()
	}
	delete(s.cancels, result.Attempt)
	s.mu.Unlock()
	deliver(result)
}

func (s *tailServers) Cancel(_ fleet.InstanceID, attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[attempt]; cancel != nil {
		cancel()
	}
}

// plainCoordinator is the baseline: round robin over the replicas, a fixed timeout for each attempt, then
// the next replica; no hedging.
type plainCoordinator struct {
	w      world
	sender *tailServers
	shards int
	mu     sync.Mutex
	next   uint64
}

func (c *plainCoordinator) run() {
	var all sync.WaitGroup
	for shard := range c.shards {
		all.Go(func() {
			for answered := false; !answered; {
				c.mu.Lock()
				c.next++
				attempt := c.next
				server := c.w.servers[shard*2+int(attempt/uint64(c.shards)+uint64(shard))%2].ID
				c.mu.Unlock()
				ctx, cancel := context.WithTimeout(context.Background(), tailTimeout)
				done := make(chan Result, 1)
				c.sender.Send(ctx, "", []Part{{Attempt: attempt, Server: server}}, func(r Result) { done <- r })
				result := <-done
				answered = result.Err == nil
				cancel()
			}
		})
	}
	all.Wait()
}

// tail plays queries at a fixed rate on fake time and returns the 99th percentile of their latency and the
// sends over the parts.
func tail(fanOut, every int, moving, plain bool) (p99 time.Duration, load float64) {
	body := func(t *testing.T) {
		w := newWorld(fanOut, catalogue.Service{Idempotent: true, Deadline: 10 * time.Second, CoverageFloor: 1})
		m := snapshot.ShardMap{Version: 1, Shards: make(map[snapshot.ShardID]fleet.ServiceID)}
		for i := range fanOut {
			m.Shards[snapshot.ShardID(fmt.Sprintf("shard-%03d", i))] = serviceName(i)
		}
		servers := newTailServers(w, every, moving)
		engine := New("zone-a", servers, oneOwner{}, snapshot.NewHoldings(), 1)
		engine.Update(w.view(), w.catalogue(), w.index(m))
		baseline := &plainCoordinator{w: w, sender: servers, shards: fanOut}
		took := make([]time.Duration, tailQueries)
		var all sync.WaitGroup
		for i := range tailQueries {
			time.Sleep(tailGap)
			all.Go(func() {
				began := time.Now()
				if plain {
					baseline.run()
				} else if _, refusal := engine.Run(context.Background(), Request{
					Application: "race", ID: "q", Deadline: began.Add(10 * time.Second),
				}); refusal != nil {
					t.Errorf("refused: %+v %+v", refusal, refusal.Coverage)
				}
				took[i] = time.Since(began)
			})
		}
		all.Wait()
		time.Sleep(time.Minute)
		slices.Sort(took)
		p99 = took[tailQueries*99/100]
		load = float64(servers.sends) / float64(tailQueries*fanOut)
	}
	// Only a test can run on fake time, which keeps the noise of the machine out of the figures.
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{Name: "tail", F: func(t *testing.T) { synctest.Test(t, body) }},
	})
	if !ok {
		panic("the tail experiment failed")
	}
	return p99, load
}

// BenchmarkTail compares the engine with the plain baseline on the same servers, with and without one
// replica in forty that is 20 times slower: always the same, or another every 2 s.
func BenchmarkTail(b *testing.B) {
	for _, fanOut := range []int{20, 170} {
		for _, moving := range []bool{false, true} {
			b.Run(fmt.Sprintf("fan-out=%d/moving=%v", fanOut, moving), func(b *testing.B) {
				for range b.N {
					calm, _ := tail(fanOut, 0, moving, false)
					plainCalm, _ := tail(fanOut, 0, moving, true)
					straggler, load := tail(fanOut, 40, moving, false)
					plain, _ := tail(fanOut, 40, moving, true)
					millis := func(d time.Duration) float64 { return d.Seconds() * 1000 }
					b.ReportMetric(millis(calm), "p99-calm-ms")
					b.ReportMetric(millis(plainCalm), "p99-plain-calm-ms")
					b.ReportMetric(millis(straggler), "p99-straggler-ms")
					b.ReportMetric(millis(plain), "p99-plain-straggler-ms")
					b.ReportMetric(millis(plain)/millis(straggler), "times-lower")
					b.ReportMetric(millis(straggler)/millis(calm), "times-calm")
					b.ReportMetric(100*(load-1), "%extra-load")
				}
			})
		}
	}
}
