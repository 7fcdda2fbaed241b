package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/share"
)

// TestAdoptEqualsRebuild guards against a claim that a change of the catalogue should have taken away or made: after
// every adoption the table must equal one that is computed from nothing.
func TestAdoptEqualsRebuild(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				draw := rand.New(rand.NewPCG(seed, 1))
				entries, servers := fleetOf(400)
				m := newMembers(entries[0])
				list := func(membership *fleet.Membership, now time.Time) fleet.Change {
					return membership.Listed(now, entries, servers)
				}
				m.apply(list)
				claims := 0
				for range 20 {
					inForce := drawCatalogue(draw, len(servers)/2)
					for _, entry := range entries {
						inForce = inForce.WithInstanceOut(entry.ID, draw.IntN(8) == 0)
					}
					inForce = inForce.WithZoneOut(servers[draw.IntN(12)].Zone, true)
					for len(m.changed) > 0 {
						<-m.changed
					}
					m.adopt(inForce)
					is.Equal(len(m.changed), 1) // the engine is told, whatever changed
					time.Sleep(time.Duration(draw.IntN(6000)) * time.Millisecond)
					m.apply(list)
					answerAll(m)
					claims += len(m.table.Load().Claimed())
					whole := share.NewTable(m.reach.Load(), func(id fleet.ServiceID) (int, int) {
						service, _ := inForce.Service(id)
						return service.Slots, service.Connections
					})
					is.Equal(m.table.Load().Claimed(), whole.Claimed())
					for _, server := range servers {
						is.Equal(describe(m.table.Load(), server.ID), describe(whole, server.ID))
					}
				}
				is.True(claims > 0) // the limits of a server that is not claimed do not show
			})
		})
	}
}

// answerAll plays a heartbeat round that every peer answers.
func answerAll(m *members) {
	var peers []fleet.Entry
	m.apply(func(membership *fleet.Membership, now time.Time) (change fleet.Change) {
		peers, change = membership.BeginRound(now)
		return change
	})
	for _, from := range peers {
		m.apply(func(membership *fleet.Membership, now time.Time) fleet.Change {
			return membership.HeartbeatReplied(now, fleet.Reply{From: from, Sent: now, Acknowledged: true})
		})
	}
}

// drawCatalogue leaves out some services and gives the others one of a few limits.
func drawCatalogue(draw *rand.Rand, count int) catalogue.Catalogue {
	var services []catalogue.Service
	for i := range count {
		if draw.IntN(10) > 0 {
			services = append(services, catalogue.Service{
				ID: fleet.ServiceID(fmt.Sprint("service-", i)), Slots: 1 + draw.IntN(3), Connections: 10 * (1 + draw.IntN(2)),
			})
		}
	}
	return catalogue.New(services)
}

func describe(table *share.Table, id fleet.ServerID) string {
	owner, routed := table.Route(id)
	slots, connections, claimed := table.Claim(id)
	return fmt.Sprint(owner, routed, slots, connections, claimed, table.Candidates(id))
}
