package lookup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// TestStateDoesNotGrow guards against state of removed routes, services and replicas that stays in memory. The
// requirement is 50,000 configuration changes a day.
func TestStateDoesNotGrow(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, allHealthy)
		removed := 0
		s.engine.onReplicaRemoved = func(fleet.ServerID) { removed++ }
		for version := range uint64(100) {
			name := fmt.Sprint("r", version)
			service := fleet.ServiceID(name)
			route := &routing.Route{Name: name, Timeout: timeout, Objective: objective, MaxAttempts: 1, Shards: []fleet.ServiceID{service}, MinCoverage: 1}
			s.engine.Update(&directory.View{
				Table:    routing.New(version+2, []*routing.Route{route}, []routing.Service{{ID: service}}, routing.Limits{}, nil),
				Replicas: map[fleet.ServiceID][]directory.Replica{service: {{ID: fleet.ServerID(name), Service: service, Zone: fleet.ZoneID(name), Slots: 1}}},
			})
			is.True(s.run(route).Failure == nil)
		}
		count := 0
		s.engine.routeStats.Range(func(any, any) bool { count++; return true })
		s.engine.limiters.Range(func(any, any) bool { count++; return true })
		is.Equal(count, 2)
		is.Equal(len(s.engine.budgets), 1)
		is.Equal(len(s.engine.replicas), 1)
		is.Equal(len(s.engine.zones), 1)
		is.Equal(removed, 2*shards+99)
	})
}

// TestServiceWithoutDescription guards against replicas that get no requests because the configuration names their
// service in a route but does not describe it.
func TestServiceWithoutDescription(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) })
		e := s.engine
		view := &directory.View{Table: routing.New(2, []*routing.Route{s.singleRoute}, nil, routing.Limits{}, nil), Replicas: map[fleet.ServiceID][]directory.Replica{
			"s0": {{ID: "r", Service: "s0", Zone: "a", Address: "r", Slots: 2, StartedAt: 1}}, "s9": {{ID: "q", Service: "s9", Zone: "a", Address: "q", Slots: 2, StartedAt: 1}},
		}}
		e.Update(view)
		is.New(t).True(s.run(s.singleRoute).Failure == nil)
	})
}
