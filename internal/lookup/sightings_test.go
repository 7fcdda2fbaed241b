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

// TestManyInstancesShareSlowReplicas replays many instances that each get a request now and then while the replicas of
// one zone become slow. It guards against slow replicas that are found too late: without sharing, each instance has to
// find each of them by itself, and nearly every send to one is late.
func TestManyInstancesShareSlowReplicas(t *testing.T) {
	for _, instances := range []int{33, 118} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			alone, shared := slowSends(t, instances, false), slowSends(t, instances, true)
			t.Logf("sends to slow replicas: %d alone, %d shared", alone, shared)
			is.New(t).True(shared < alone/2)
		})
	}
}

// slowSends returns the number of sends to slow replicas, for 20 requests a second over all instances.
func slowSends(t *testing.T, instances int, sharing bool) int {
	slowed := 0
	runInBubble(t, func(t *testing.T) {
		var slow atomic.Bool
		first := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if slow.Load() && strings.HasSuffix(string(id), "-a") {
				return good(5 * work)
			}
			return good(work)
		})
		engines := []*testEngine{first}
		for range instances - 1 {
			s := newTestEngine(t, nil)
			s.fakeReplicas = first.fakeReplicas
			s.engine.sender = first.fakeReplicas
			engines = append(engines, s)
		}
		var hub sighting.Hub
		var hubMutex sync.Mutex
		position := uint64(0)
		for _, s := range engines {
			if sharing {
				s.engine.reportSighting = func(seen sighting.Sighting) {
					hubMutex.Lock()
					defer hubMutex.Unlock()
					hub.Add("", []sighting.Sighting{seen}, time.Now())
				}
			}
		}
		random := rand.New(rand.NewPCG(3, 4))
		for tick := range 6 * 20 {
			if tick == 2*20 {
				slow.Store(true)
				slowed = first.sendsToZoneA()
			}
			s := engines[random.IntN(len(engines))]
			go func() { s.run(s.fanoutRoute) }()
			time.Sleep(50 * time.Millisecond)
			hubMutex.Lock()
			var sightings []sighting.Sighting
			sightings, position = hub.Since(position, "other", time.Now())
			hubMutex.Unlock()
			for _, other := range engines {
				other.engine.ApplySightings(sightings)
			}
		}
		slowed = first.sendsToZoneA() - slowed
	})
	return slowed
}

// sendsToZoneA returns the number of sends to replicas in zone a.
func (s *testEngine) sendsToZoneA() int {
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

// TestFalseSightings guards against one instance whose sightings take replicas out of use for all others: whatever it
// reports, requests are served, and a replica that answers in time is trusted again. Sightings of a previous process at
// the same address must not affect the present one.
func TestFalseSightings(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) })
		reportFalsely := func() {
			var sightings []sighting.Sighting
			for i := range shards {
				for _, zone := range []string{"a", "b"} {
					sightings = append(sightings, sighting.Sighting{Replica: fleet.ServerID(fmt.Sprintf("s%d-%s", i, zone)), StartedAt: 1, Slowness: 1e9, ObservedAt: time.Now()},
						sighting.Sighting{Replica: fleet.ServerID(fmt.Sprintf("s%d-%s", i, zone)), StartedAt: 1, ObservedAt: time.Now()})
				}
			}
			s.engine.ApplySightings(sightings)
		}
		for range 100 {
			reportFalsely()
			result := s.run(s.fanoutRoute)
			is.True(result.Failure == nil)
			is.Equal(result.MissingShards, 0)
			is.Equal(result.Trace.Sends, shards)
		}
		is.True(!s.engine.Isolated())
		time.Sleep(time.Minute)
		is.True(s.run(s.fanoutRoute).Failure == nil)
		state := s.engine.replicas["s0-a"].health
		before, rejects := state.reportedSlowness, state.reportedRejects
		s.engine.ApplySightings([]sighting.Sighting{ // a replica that no longer exists, and another process of this one
			{Replica: "nobody", Slowness: 3, ObservedAt: time.Now()},
			{Replica: "s0-a", StartedAt: 2, Slowness: 9, ObservedAt: time.Now()},
			{Replica: "s0-a", StartedAt: 2, ObservedAt: time.Now()},
		})
		is.Equal(state.reportedSlowness, before)
		is.Equal(state.reportedRejects, rejects)
	})
}

// TestZoneCheckOfLargeFleet guards against a check of all replicas, ten times a second, that costs as much as the
// requests: while no replica is silent, it must not allocate for each replica.
func TestZoneCheckOfLargeFleet(t *testing.T) {
	is := is.New(t)
	e := newLargeEngine()
	is.True(testing.AllocsPerRun(20, func() { checkZonesOnce(e) }) <= 10)
}

// BenchmarkZoneCheck measures one check of 1,554 replicas in five zones, none of which is silent.
func BenchmarkZoneCheck(b *testing.B) {
	e := newLargeEngine()
	for b.Loop() {
		checkZonesOnce(e)
	}
}

func checkZonesOnce(e *Engine) {
	e.checkZones(context.Background(), nil, time.Now())
}
