package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// node is one entry instance with its membership and table, driven by a schedule instead of sockets.
type node struct {
	*fleet.Membership
	id     fleet.InstanceID
	table  *Table
	phase  int
	frozen bool
}

const (
	tick      = 10 * time.Millisecond
	perRound  = int(fleet.HeartbeatInterval / tick)
	simSlots  = 3
	simServer = fleet.ServerID("s")
)

func simLimits(fleet.ServiceID) (int, int) { return simSlots, 30 }

func (n *node) apply(change fleet.Change) {
	n.table = n.table.With(n.Reachability(), change, simLimits)
}

type event struct {
	at   int
	node *node
	run  func(*node, time.Time) fleet.Change
}

type simulation struct {
	entries []fleet.Entry
	nodes   []*node
	// cut holds the directions, from and to, in which heartbeats get no answer.
	cut    map[[2]int]bool
	events []event
	start  time.Time
	now    int
}

// newSimulation returns one zone with an instance for each phase, the tick of its rounds.
func newSimulation(phases []int) *simulation {
	s := &simulation{cut: make(map[[2]int]bool), start: time.Unix(1000, 0)}
	for i := range phases {
		s.entries = append(s.entries, fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("e", i)), Zone: "z", Region: "r"})
	}
	s.nodes = make([]*node, len(s.entries))
	for i, phase := range phases {
		s.restart(i)
		s.nodes[i].phase = phase
	}
	return s
}

// restart replaces an instance by a new process with the same name.
func (s *simulation) restart(i int) {
	n := &node{Membership: fleet.NewMembership(s.entries[i]), id: s.entries[i].ID, phase: s.now % perRound}
	n.Listed(s.time(), s.entries, []fleet.Server{{ID: simServer, Service: "x", Zone: "z", Region: "r"}})
	n.table = NewTable(n.Reachability(), simLimits)
	s.nodes[i] = n
}

func (s *simulation) time() time.Time { return s.start.Add(time.Duration(s.now) * tick) }

// heartbeat sends one round of node i. A cut or frozen peer fails after the interval.
func (s *simulation) heartbeat(i int) {
	n, sent := s.nodes[i], s.time()
	_, change := n.BeginRound(sent)
	n.apply(change)
	self, _ := n.Reachability().View().Entry(n.id)
	for j, peer := range s.nodes {
		if j == i {
			continue
		}
		if peer.frozen || s.cut[[2]int{i, j}] {
			s.events = append(s.events, event{s.now + perRound, n, func(n *node, now time.Time) fleet.Change {
				return n.HeartbeatFailed(now, peer.id, sent)
			}})
			continue
		}
		peer.apply(peer.HeartbeatReceived(sent, self, n.Released()))
		from, _ := peer.Reachability().View().Entry(peer.id)
		reply := fleet.Reply{From: from, Sent: sent, Acknowledged: peer.Acknowledges(n.id), Released: peer.Released()}
		s.events = append(s.events, event{s.now + 1, n, func(n *node, now time.Time) fleet.Change {
			return n.HeartbeatReplied(now, reply)
		}})
	}
}

// step lets one tick pass. Events of a frozen node wait for its return.
func (s *simulation) step() {
	s.now++
	var later []event
	for _, e := range s.events {
		if e.at > s.now || e.node.frozen {
			later = append(later, e)
			continue
		}
		e.node.apply(e.run(e.node, s.time()))
	}
	s.events = later
	for i, n := range s.nodes {
		if n.frozen {
			continue
		}
		if s.now%perRound == n.phase {
			s.heartbeat(i)
		}
		n.apply(n.Advance(s.time()))
	}
}

// claimed returns the slots that all running instances may use at this moment.
func (s *simulation) claimed() int {
	sum := 0
	for _, n := range s.nodes {
		if slots, _, ok := n.table.Claim(simServer); ok && !n.frozen && n.Reachability().Fresh(s.time()) {
			sum += slots
		}
	}
	return sum
}

// Guards against two owners that together use more than a server's slots while cuts of one or both
// directions begin and end and instances freeze and resume, and against a server that stays without an owner.
func TestClaimsStayWithinSlotsOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SliceOfN(rapid.IntRange(0, perRound-1), 2, 4).Draw(t, "phases"))
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			j := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				s.cut[[2]int{i, j}] = !s.cut[[2]int{i, j}]
				if rapid.Bool().Draw(t, "both directions") {
					s.cut[[2]int{j, i}] = s.cut[[2]int{i, j}]
				}
			case 1:
				// A resumed process may send before any of its timers runs.
				s.nodes[i].frozen = !s.nodes[i].frozen
			case 2:
				s.restart(i)
			}
			if sum := s.claimed(); sum > simSlots {
				t.Fatalf("tick %d: %d of %d slots claimed before the next event", s.now, sum, simSlots)
			}
			for range rapid.IntRange(1, 400).Draw(t, "ticks") {
				s.step()
				if sum := s.claimed(); sum > simSlots {
					t.Fatalf("tick %d: %d of %d slots claimed", s.now, sum, simSlots)
				}
			}
		}
		clear(s.cut)
		for _, n := range s.nodes {
			n.frozen = false
		}
		for range 4 * int(fleet.ClaimDelay/tick) {
			s.step()
		}
		if sum := s.claimed(); sum != simSlots {
			t.Fatalf("after all cuts have ended %d of %d slots are claimed", sum, simSlots)
		}
	})
}

// Guards against an acknowledgement from a peer that has itself not heard from this instance for a while:
// when the other direction is cut as well, the peer claims before this instance has stopped.
func TestAcknowledgementNeedsARecentAnswer(t *testing.T) {
	s := newSimulation([]int{0, 1})
	run := func(ticks int) {
		for range ticks {
			s.step()
			if sum := s.claimed(); sum > simSlots {
				t.Fatalf("tick %d: %d of %d slots claimed", s.now, sum, simSlots)
			}
		}
	}
	s.cut[[2]int{1, 0}] = true
	run(2)
	s.restart(0)
	run(50)
	s.cut[[2]int{0, 1}] = true
	run(200)
	if sum := s.claimed(); sum != simSlots {
		t.Fatalf("both sides of the cut claim %d of %d slots", sum, simSlots)
	}
}
