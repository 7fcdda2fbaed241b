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

// TestStatesDoNotGrow guards against states of routes, services and replicas that are gone and stay in memory: the target
// is 50,000 changes of configuration a day.
func TestStatesDoNotGrow(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, steady)
		forgotten := 0
		s.engine.forgotten = func(fleet.ServerID) { forgotten++ }
		for version := range uint64(100) {
			name := fmt.Sprint("r", version)
			service := fleet.ServiceID(name)
			route := &routing.Route{Name: name, Timeout: timeout, Objective: objective, Attempts: 1, Shards: []fleet.ServiceID{service}, Floor: 1}
			s.engine.Update(&directory.View{
				Table:    routing.New(version+2, []*routing.Route{route}, []routing.Service{{ID: service}}, routing.Limits{}, nil),
				Replicas: map[fleet.ServiceID][]directory.Replica{service: {{ID: fleet.ServerID(name), Service: service, Zone: fleet.ZoneID(name), Slots: 1}}},
			})
			is.True(s.run(route).Failure == nil)
		}
		count := 0
		s.engine.paces.Range(func(any, any) bool { count++; return true })
		s.engine.gates.Range(func(any, any) bool { count++; return true })
		is.Equal(count, 2)
		is.Equal(len(s.engine.budgets), 1)
		is.Equal(len(s.engine.loads), 1)
		is.Equal(len(s.engine.contacts), 1)
		is.Equal(forgotten, 2*shards+99)
	})
}

// TestServiceWithoutDescription guards against replicas that get nothing because the configuration names their service in a route
// but does not describe it.
func TestServiceWithoutDescription(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newStage(t, func(fleet.ServerID, time.Time) behaviour { return good(work) })
		e := s.engine
		view := &directory.View{Table: routing.New(2, []*routing.Route{s.one}, nil, routing.Limits{}, nil), Replicas: map[fleet.ServiceID][]directory.Replica{
			"s0": {{ID: "r", Service: "s0", Zone: "a", Address: "r", Slots: 2, Born: 1}}, "s9": {{ID: "q", Service: "s9", Zone: "a", Address: "q", Slots: 2, Born: 1}},
		}}
		e.Update(view)
		is.New(t).True(s.run(s.one).Failure == nil)
	})
}
