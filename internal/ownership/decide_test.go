package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

func drawFleet(t *rapid.T, zones int) ([]fleet.Entry, []fleet.Server) {
	var entries []fleet.Entry
	for i := range rapid.IntRange(1, 7).Draw(t, "entries") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "entry zone")
		entries = append(entries, fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("e", i)), Zone: fleet.ZoneID(fmt.Sprint("z", zone)), Region: "r"})
	}
	var servers []fleet.Server
	for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "server zone")
		servers = append(servers, fleet.Server{ID: fleet.ServerID(fmt.Sprint("s", i)), Service: "x", Zone: fleet.ZoneID(fmt.Sprint("z", zone)), Region: "r"})
	}
	return entries, servers
}

// symmetricReach returns the reachability that each instance sees when the given pairs, smaller index first, cannot
// reach each other in either direction.
func symmetricReach(entries []fleet.Entry, view *fleet.View, unreachable map[[2]int]bool, excluded map[fleet.InstanceID]bool) []*fleet.Reachability {
	var all []*fleet.Reachability
	for i, self := range entries {
		contacts := make(map[fleet.InstanceID]fleet.Contact)
		for j, other := range entries {
			contacts[other.ID] = fleet.Contact{Reachable: true, Acknowledged: true, Granted: true}
			if unreachable[[2]int{min(i, j), max(i, j)}] {
				contacts[other.ID] = fleet.Contact{Granted: true, Silent: true}
			}
		}
		all = append(all, fleet.NewReachability(self, view, contacts, excluded, time.Time{}))
	}
	return all
}

func drawPartition(t *rapid.T, entries int) map[[2]int]bool {
	unreachable := make(map[[2]int]bool)
	for i := range entries {
		for j := range i {
			unreachable[[2]int{j, i}] = rapid.Bool().Draw(t, "unreachable")
		}
	}
	return unreachable
}

// TestClaimsNeverExceedTheLimits guards against claimants that together use more than a server's slots or connections,
// against a claim from outside a zone that has entry instances, and against a server that no instance claims.
func TestClaimsNeverExceedTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, servers := drawFleet(t, 3)
		view := fleet.NewView(entries, servers)
		slots, connections := rapid.IntRange(1, 9).Draw(t, "slots"), rapid.IntRange(9, 120).Draw(t, "connections")
		partition := drawPartition(t, len(entries))
		claimed := make(map[fleet.ServerID][2]int)
		for _, reach := range symmetricReach(entries, view, partition, nil) {
			table := NewTable(reach, func(fleet.ServiceID) (int, int) { return slots, connections })
			for _, server := range servers {
				s, c, ok := table.Claim(server.ID)
				if ok && reach.Self().Zone != server.Zone && len(view.EntriesOf(server.Zone)) > 0 {
					t.Fatalf("%s claims %s from outside its zone", reach.Self().ID, server.ID)
				}
				sum := claimed[server.ID]
				claimed[server.ID] = [2]int{sum[0] + s, sum[1] + c}
			}
		}
		for id, sum := range claimed {
			if sum[0] > slots || sum[1] > connections {
				t.Fatalf("%s: %d of %d slots and %d of %d connections claimed", id, sum[0], slots, sum[1], connections)
			}
			if sum[0] == 0 {
				t.Fatalf("%s: nobody claims it", id)
			}
		}
	})
}

// TestIncrementalTableEqualsFullTable guards against an incremental update that leaves a record different from that of
// a full computation.
func TestIncrementalTableEqualsFullTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, servers := drawFleet(t, 3)
		limits := func(fleet.ServiceID) (int, int) { return 3, 30 }
		view := fleet.NewView(entries, servers)
		excluded := map[fleet.InstanceID]bool{}
		partition := drawPartition(t, len(entries))
		currentReach := func() *fleet.Reachability { return symmetricReach(entries[:1], view, partition, excluded)[0] }
		table := NewTable(currentReach(), limits)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			change := fleet.Change{}
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			server := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				view, change.Servers = view.WithoutServer(server.ID), []fleet.ServerID{server.ID}
			case 1:
				view, change.Servers = view.WithServer(server), []fleet.ServerID{server.ID}
			case 2:
				view, change.Entries = view.WithoutEntry(entry.ID), []fleet.InstanceID{entry.ID}
			case 3:
				view, change.Entries = view.WithEntry(entry), []fleet.InstanceID{entry.ID}
			case 4:
				changed := map[fleet.InstanceID]bool{entry.ID: !excluded[entry.ID]}
				for id, out := range excluded {
					if id != entry.ID && out {
						changed[id] = true
					}
				}
				excluded, change.Entries = changed, []fleet.InstanceID{entry.ID}
			case 5:
				moved := entry
				moved.Zone = "z0"
				view, change.Entries = view.WithoutEntry(entry.ID).WithEntry(moved), []fleet.InstanceID{entry.ID}
			}
			table = table.With(currentReach(), change, limits)
			full := NewTable(currentReach(), limits)
			for _, s := range servers {
				got, want := table.records.Get(s.ID), full.records.Get(s.ID)
				if (got == nil) != (want == nil) || got != nil && *got != *want {
					t.Fatalf("%s: incremental %+v, full %+v", s.ID, got, want)
				}
			}
		}
	})
}

// TestRemovingAnEntryMovesOnlyItsServers guards against a ranking that moves servers between instances that did not
// change.
func TestRemovingAnEntryMovesOnlyItsServers(t *testing.T) {
	is := is.New(t)
	entries := []fleet.InstanceID{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		server := fleet.ServerID(fmt.Sprint("s", i))
		before, after := Rank(server, entries), Rank(server, entries[:3])
		if before[0] != "d" {
			is.Equal(before[0], after[0])
			continue
		}
		moved++
	}
	is.True(moved > 150 && moved < 350) // a quarter of the servers, evenly spread
}

// TestStartingInstanceWaitsForPeers guards against an instance that has just started and claims servers while their
// owner does not know of it yet and therefore uses all slots.
func TestStartingInstanceWaitsForPeers(t *testing.T) {
	is := is.New(t)
	entries := []fleet.Entry{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}
	view := fleet.NewView(entries, nil)
	decide := func(contact fleet.Contact) Decision {
		contacts := map[fleet.InstanceID]fleet.Contact{"b": contact}
		reach := fleet.NewReachability(entries[0], view, contacts, nil, time.Time{})
		return Decide(reach, []fleet.InstanceID{"a", "b"})
	}
	is.True(!decide(fleet.Contact{Reachable: true}).Claimed)
	is.Equal(decide(fleet.Contact{Reachable: true, Granted: true}), Decision{Owner: "a", Claimed: true, Unreachable: 1})
	is.Equal(decide(fleet.Contact{Reachable: true, Granted: true, Acknowledged: true}), Decision{Owner: "a", Claimed: true})
}
