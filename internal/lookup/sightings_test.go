package lookup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
)

// TestManyInstancesShareSlowReplicas replays many instances that each get a request now and then while the replicas of one zone
// turn slow. It guards against knowledge that thins out: without sharing each instance finds each slow replica by itself, and
// nearly every send to one is late.
func TestManyInstancesShareSlowReplicas(t *testing.T) {
	for _, instances := range []int{33, 118} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			alone, shared := slowSends(t, instances, false), slowSends(t, instances, true)
			t.Logf("sends to slow replicas: %d alone, %d shared", alone, shared)
			is.New(t).True(shared < alone/2)
		})
	}
}

// slowSends returns the number of sends to slow replicas, of requests at 20 a second over all instances.
func slowSends(t *testing.T, instances int, sharing bool) int {
	slowed := 0
	inBubble(t, func(t *testing.T) {
		var slow atomic.Bool
		first := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			if slow.Load() && strings.HasSuffix(string(id), "-a") {
				return good(5 * work)
			}
			return good(work)
		})
		stages := []*stage{first}
		for range instances - 1 {
			s := newStage(t, nil)
			s.backends = first.backends
			s.engine.sender = first.backends
			stages = append(stages, s)
		}
		var board sighting.Board
		var posting sync.Mutex
		position := uint64(0)
		for _, s := range stages {
			if sharing {
				s.engine.seen = func(seen sighting.Sighting) {
					posting.Lock()
					defer posting.Unlock()
					board.Post("", []sighting.Sighting{seen}, time.Now())
				}
			}
		}
		random := rand.New(rand.NewPCG(3, 4))
		for tick := range 6 * 20 {
			if tick == 2*20 {
				slow.Store(true)
				slowed = first.slow()
			}
			s := stages[random.IntN(len(stages))]
			go func() { s.run(s.fan) }()
			time.Sleep(50 * time.Millisecond)
			posting.Lock()
			var news []sighting.Sighting
			news, position = board.Since(position, "other", time.Now())
			posting.Unlock()
			for _, other := range stages {
				other.engine.Told(news)
			}
		}
		slowed = first.slow() - slowed
	})
	return slowed
}

// slow returns the number of sends to replicas in zone a.
func (s *stage) slow() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for id, sends := range s.sends {
		if strings.HasSuffix(string(id), "-a") {
			count += sends
		}
	}
	return count
}

// TestToldIsNoVerdict guards against one instance whose word takes replicas from all others: whatever it says, requests are
// served, and a replica that answers in time is believed again. What is told of a former process at the same address says nothing
// of the present one.
func TestToldIsNoVerdict(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(fleet.ServerID, time.Time) behaviour { return good(work) })
		lie := func() {
			var lies []sighting.Sighting
			for i := range shards {
				for _, zone := range []string{"a", "b"} {
					lies = append(lies, sighting.Sighting{Replica: fleet.ServerID(fmt.Sprintf("s%d-%s", i, zone)), Born: 1, Slowness: 1e9, At: time.Now()},
						sighting.Sighting{Replica: fleet.ServerID(fmt.Sprintf("s%d-%s", i, zone)), Born: 1, At: time.Now()})
				}
			}
			s.engine.Told(lies)
		}
		for range 100 {
			lie()
			result := s.run(s.fan)
			is.True(result.Failure == nil)
			is.Equal(result.Missing, 0)
			is.Equal(result.Trace.Sends, shards)
		}
		is.True(!s.engine.Isolated())
		time.Sleep(time.Minute)
		is.True(s.run(s.fan).Failure == nil)
		state := s.engine.loads["s0-a"].load
		before, rejects := state.toldSlowness, state.toldRejects
		s.engine.Told([]sighting.Sighting{ // a replica that is gone, and another start of this one
			{Replica: "nobody", Slowness: 3, At: time.Now()},
			{Replica: "s0-a", Born: 2, Slowness: 9, At: time.Now()},
			{Replica: "s0-a", Born: 2, At: time.Now()},
		})
		is.Equal(state.toldSlowness, before)
		is.Equal(state.toldRejects, rejects)
	})
}

// TestWatchReachOfALargeFleet guards against a look at every replica ten times a second that costs as much as the requests:
// while no replica is silent it allocates nothing for each of them.
func TestWatchReachOfALargeFleet(t *testing.T) {
	is := is.New(t)
	e := largeEngine()
	is.True(testing.AllocsPerRun(20, func() { watchOnce(e) }) <= 10)
}

// BenchmarkWatchReach measures one look at 1,554 replicas in five zones, none of which is silent.
func BenchmarkWatchReach(b *testing.B) {
	e := largeEngine()
	for b.Loop() {
		watchOnce(e)
	}
}

func watchOnce(e *Engine) {
	e.watch(context.Background(), nil, time.Now())
}
