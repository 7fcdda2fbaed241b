package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func entriesOf(zone ZoneID, from, count int) []Entry {
	var all []Entry
	for i := range count {
		all = append(all, Entry{ID: InstanceID(fmt.Sprint("e", from+i)), Zone: zone, Region: "r"})
	}
	return all
}

// TestPersistentMapKeepsEarlierValues guards against buckets or pages that two versions share and an edit changes: an
// edit must leave every earlier map as it was.
func TestPersistentMapKeepsEarlierValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m PersistentMap[ServerID, int]
		model := map[ServerID]int{}
		type version struct {
			m     PersistentMap[ServerID, int]
			model map[ServerID]int
		}
		var versions []version
		keys := rapid.IntRange(1, 1000).Draw(t, "keys")
		for range 8 {
			edit := m.Edit()
			for range rapid.IntRange(0, 300).Draw(t, "changes") {
				key := ServerID(fmt.Sprint(rapid.IntRange(0, keys).Draw(t, "key")))
				if value := rapid.IntRange(0, 3).Draw(t, "value"); value == 0 {
					edit.Delete(key)
					delete(model, key)
				} else {
					edit.Set(key, value)
					model[key] = value
				}
			}
			m = edit.Map()
			versions = append(versions, version{m, maps.Clone(model)})
		}
		for i, v := range versions {
			got := map[ServerID]int{}
			for key, value := range v.m.All() {
				got[key] = *value
			}
			if !maps.Equal(got, v.model) || v.m.Len() != len(v.model) {
				t.Fatalf("version %d holds %d keys, want %d", i, len(got), len(v.model))
			}
			for key, want := range v.model {
				if value := v.m.Get(key); value == nil || *value != want {
					t.Fatalf("version %d: %s is missing", i, key)
				}
			}
		}
	})
}

// TestFenceFollowsTheLastCompletedRound guards against an owner that goes on sending after a pause, or that sends
// before its peers have answered.
func TestFenceFollowsTheLastCompletedRound(t *testing.T) {
	is := is.New(t)
	entries := entriesOf("z", 0, 3)
	m := NewMembership(entries[0])
	m.ApplyInstanceList(at(0), entries, nil)
	is.True(!m.Reachability().Fresh(at(0))) // no round has completed yet
	m.BeginRound(at(0))
	m.HeartbeatAnswered(at(10), HeartbeatResponse{From: entries[1], Sent: at(0), Acknowledged: true})
	is.True(!m.Reachability().Fresh(at(10))) // one peer is outstanding
	m.HeartbeatFailed(at(250), "e2", at(0))
	is.True(m.Reachability().Fresh(at(999)))
	is.True(!m.Reachability().Fresh(at(1000))) // the age counts from the start of the round
	m.BeginRound(at(5000))
	m.HeartbeatAnswered(at(5010), HeartbeatResponse{From: entries[1], Sent: at(0), Acknowledged: true})
	is.True(!m.Reachability().Contact("e1").Granted) // an answer from before the pause proves nothing
}

// TestSilentPeerIsClaimableAfterTheClaimDelay guards against a claim before the other side has stopped sending, and
// against one that never becomes possible.
func TestSilentPeerIsClaimableAfterTheClaimDelay(t *testing.T) {
	is := is.New(t)
	entries := entriesOf("z", 0, 2)
	m := NewMembership(entries[0])
	m.ApplyInstanceList(at(0), entries, nil)
	m.BeginRound(at(0))
	m.HeartbeatAnswered(at(10), HeartbeatResponse{From: entries[1], Sent: at(0), Acknowledged: true})
	is.Equal(m.Reachability().Contact("e1"), Contact{Reachable: true, Acknowledged: true, Granted: true})
	is.Equal(m.Advance(at(999)), Change{})
	is.Equal(m.Advance(at(1000)).Entries, []InstanceID{"e1"})
	is.Equal(m.Reachability().Contact("e1"), Contact{Granted: true})
	m.Advance(at(1499))
	is.True(!m.Reachability().Contact("e1").Silent)
	m.Advance(at(1500))
	is.True(m.Reachability().Contact("e1").Silent)
}

// TestLeavingPeerStaysEligibleUntilItHasReleased guards against two owners of a server while a peer that is leaving or
// out of service has not stopped sending.
func TestLeavingPeerStaysEligibleUntilItHasReleased(t *testing.T) {
	tests := map[string]func(m *Membership, entries []Entry){
		"the list says leaving": func(m *Membership, entries []Entry) {
			gone := slices.Clone(entries)
			gone[1].Leaving = true
			m.ApplyInstanceList(at(20), gone, nil)
		},
		"operators take the instance out": func(m *Membership, _ []Entry) { m.SetOutOfService(at(20), nil, []InstanceID{"e1"}) },
		"operators take its zone out":     func(m *Membership, _ []Entry) { m.SetOutOfService(at(20), []ZoneID{"y"}, nil) },
	}
	for name, depart := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entries := append(entriesOf("z", 0, 1), entriesOf("y", 1, 1)...)
			m := NewMembership(entries[0])
			m.ApplyInstanceList(at(0), entries, nil)
			m.BeginRound(at(0))
			m.HeartbeatAnswered(at(10), HeartbeatResponse{From: entries[1], Sent: at(0), Acknowledged: true})
			depart(m, entries)
			is.True(m.Reachability().Eligible("e1"))
			change := m.HeartbeatAnswered(at(260), HeartbeatResponse{From: entries[1], Sent: at(250), Released: true})
			is.True(slices.Contains(change.Entries, "e1"))
			is.True(!m.Reachability().Eligible("e1"))
		})
	}
}

// TestPeerHeardDirectlyCountsAsListed guards against a live instance that is ignored, or a dead one that stays, while
// the instance list is out of date.
func TestPeerHeardDirectlyCountsAsListed(t *testing.T) {
	is := is.New(t)
	all := entriesOf("z", 0, 2)
	m := NewMembership(all[0])
	m.ApplyInstanceList(at(0), all[:1], nil)
	change := m.HeartbeatReceived(at(10), all[1], false)
	is.True(slices.Contains(change.Entries, "e1"))
	m.ApplyInstanceList(at(20), all[:1], nil)
	is.True(m.Reachability().Eligible("e1"))
	m.Advance(at(1509))
	is.True(m.Reachability().Eligible("e1"))
	m.Advance(at(1510))
	is.True(!m.Reachability().Eligible("e1"))
}

// TestHeartbeatPeers guards against heartbeats whose number grows with the fleet, that skip the own zone or that omit a
// suspect.
func TestHeartbeatPeers(t *testing.T) {
	is := is.New(t)
	all := append(entriesOf("z", 0, 5), entriesOf("y", 5, 40)...)
	m := NewMembership(all[0])
	m.ApplyInstanceList(at(0), all, nil)
	peers := m.Peers()
	is.Equal(len(peers), MaxHeartbeatPeers)
	for _, peer := range peers[:4] {
		is.Equal(peer.Zone, ZoneID("z"))
	}
	for _, entry := range all[5:] {
		if !slices.Contains(peers, entry) {
			m.Suspect(at(10), entry.ID)
			is.Equal(m.Peers()[0].ID, entry.ID)
			break
		}
	}
	is.Equal(len(m.Reachability().Watchers("y")), WatchersPerZone)
	before := m.Reachability().Watchers("z")
	m.SetOutOfService(at(20), nil, before[:1])
	m.Advance(at(20 + int(RemovalDelay/time.Millisecond)))
	is.True(!slices.Contains(m.Reachability().Watchers("z"), before[0]))
}

// TestListedServersReplaceFormerOnes guards against a server that stays after the list no longer contains it, also if
// another one is added at the same time.
func TestListedServersReplaceFormerOnes(t *testing.T) {
	is := is.New(t)
	m := NewMembership(Entry{ID: "e0", Zone: "z"})
	server := func(id ServerID, leaving bool) Server {
		return Server{ID: id, Service: "x", Zone: "z", Leaving: leaving}
	}
	m.ApplyInstanceList(at(0), nil, []Server{server("s0", false), server("s1", false)})
	is.Equal(m.ApplyInstanceList(at(1), nil, []Server{server("s0", false), server("s1", false)}), Change{})
	change := m.ApplyInstanceList(at(2), nil, []Server{server("s1", true), server("s2", false)})
	is.Equal(change.Servers, []ServerID{"s1", "s2", "s0"})
	is.Equal(m.Reachability().View().Servers(), []Server{server("s1", true), server("s2", false)})
	is.Equal(m.Reachability().View().ServersOf("x"), []ServerID{"s1", "s2"})
	is.Equal(m.Reachability().View().ServersIn("z"), []ServerID{"s1", "s2"})
}
