package lookup

import (
	"fmt"
	"testing"

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
				Replicas: map[fleet.ServiceID][]directory.Replica{service: {{ID: fleet.ServerID(name), Service: service, Zone: "a", Slots: 1}}},
			})
			is.True(s.run(route).Failure == nil)
		}
		count := 0
		s.engine.paces.Range(func(any, any) bool { count++; return true })
		s.engine.gates.Range(func(any, any) bool { count++; return true })
		is.Equal(count, 2)
		is.Equal(len(s.engine.budgets), 1)
		is.Equal(len(s.engine.loads), 1)
		is.Equal(forgotten, 2*shards+99)
	})
}
