package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// node is one entry instance with its membership and table. The simulation drives it instead of a network and a clock.
type node struct {
	*fleet.Membership
	id            fleet.InstanceID
	table         *Table
	heartbeatTick int
	frozen        bool
}

const (
	tickInterval  = 10 * time.Millisecond
	ticksPerRound = int(fleet.HeartbeatInterval / tickInterval)
	simSlots      = 3
	simServer     = fleet.ServerID("s")
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
	// blocked holds the directions, sender and receiver, in which heartbeats get no answer.
	blocked     map[[2]int]bool
	events      []event
	start       time.Time
	currentTick int
}

// newSimulation returns a simulation of one zone. It has an instance for each element, which is the tick within the
// heartbeat interval at which the instance sends its heartbeats.
func newSimulation(heartbeatTicks []int) *simulation {
	s := &simulation{blocked: make(map[[2]int]bool), start: time.Unix(1000, 0)}
	for i := range heartbeatTicks {
		s.entries = append(s.entries, fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("e", i)), Zone: "z", Region: "r"})
	}
	s.nodes = make([]*node, len(s.entries))
	for i, heartbeatTick := range heartbeatTicks {
		s.restart(i)
		s.nodes[i].heartbeatTick = heartbeatTick
	}
	return s
}

// restart replaces an instance by a new process of the same name.
func (s *simulation) restart(i int) {
	n := &node{Membership: fleet.NewMembership(s.entries[i]), id: s.entries[i].ID, heartbeatTick: s.currentTick % ticksPerRound}
	n.ApplyInstanceList(s.time(), s.entries, []fleet.Server{{ID: simServer, Service: "x", Zone: "z", Region: "r"}})
	n.table = NewTable(n.Reachability(), simLimits)
	s.nodes[i] = n
}

func (s *simulation) time() time.Time {
	return s.start.Add(time.Duration(s.currentTick) * tickInterval)
}

// heartbeat sends one round of heartbeats from node i. A heartbeat to a blocked or frozen peer fails after the
// interval.
func (s *simulation) heartbeat(i int) {
	n, sent := s.nodes[i], s.time()
	_, change := n.BeginRound(sent)
	n.apply(change)
	self, _ := n.Reachability().View().Entry(n.id)
	for j, peer := range s.nodes {
		if j == i {
			continue
		}
		if peer.frozen || s.blocked[[2]int{i, j}] {
			s.events = append(s.events, event{s.currentTick + ticksPerRound, n, func(n *node, now time.Time) fleet.Change {
				return n.HeartbeatFailed(now, peer.id, sent)
			}})
			continue
		}
		peer.apply(peer.HeartbeatReceived(sent, self, n.Released()))
		from, _ := peer.Reachability().View().Entry(peer.id)
		response := fleet.HeartbeatResponse{From: from, Sent: sent, Acknowledged: peer.Acknowledges(n.id), Released: peer.Released()}
		s.events = append(s.events, event{s.currentTick + 1, n, func(n *node, now time.Time) fleet.Change {
			return n.HeartbeatAnswered(now, response)
		}})
	}
}

// step advances the simulation by one tick. Events of a frozen node are delivered after it resumes.
func (s *simulation) step() {
	s.currentTick++
	var later []event
	for _, e := range s.events {
		if e.at > s.currentTick || e.node.frozen {
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
		if s.currentTick%ticksPerRound == n.heartbeatTick {
			s.heartbeat(i)
		}
		n.apply(n.Advance(s.time()))
	}
}

// claimedSlots returns the total number of slots that the running instances may use at this moment.
func (s *simulation) claimedSlots() int {
	sum := 0
	for _, n := range s.nodes {
		if slots, _, ok := n.table.Claim(simServer); ok && !n.frozen && n.Reachability().Fresh(s.time()) {
			sum += slots
		}
	}
	return sum
}

// TestClaimsStayWithinSlotsOverTime guards against owners that together use more than a server's slots, and against a
// server that stays without an owner, while partitions of one or both directions begin and end and instances freeze,
// resume and restart.
func TestClaimsStayWithinSlotsOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SliceOfN(rapid.IntRange(0, ticksPerRound-1), 2, 4).Draw(t, "heartbeat ticks"))
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			j := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				s.blocked[[2]int{i, j}] = !s.blocked[[2]int{i, j}]
				if rapid.Bool().Draw(t, "both directions") {
					s.blocked[[2]int{j, i}] = s.blocked[[2]int{i, j}]
				}
			case 1:
				// A resumed process may send before any of its timers has run.
				s.nodes[i].frozen = !s.nodes[i].frozen
			case 2:
				s.restart(i)
			}
			if sum := s.claimedSlots(); sum > simSlots {
				t.Fatalf("tick %d: %d of %d slots claimed before the next event", s.currentTick, sum, simSlots)
			}
			for range rapid.IntRange(1, 400).Draw(t, "ticks") {
				s.step()
				if sum := s.claimedSlots(); sum > simSlots {
					t.Fatalf("tick %d: %d of %d slots claimed", s.currentTick, sum, simSlots)
				}
			}
		}
		clear(s.blocked)
		for _, n := range s.nodes {
			n.frozen = false
		}
		for range 4 * int(fleet.ClaimDelay/tickInterval) {
			s.step()
		}
		if sum := s.claimedSlots(); sum != simSlots {
			t.Fatalf("after all partitions have ended %d of %d slots are claimed", sum, simSlots)
		}
	})
}

// TestAcknowledgementNeedsRecentAnswer guards against an acknowledgement from a peer whose own heartbeats to this
// instance have not been answered recently. If the other direction is blocked too, the peer claims the server before
// this instance has stopped sending.
func TestAcknowledgementNeedsRecentAnswer(t *testing.T) {
	s := newSimulation([]int{0, 1})
	run := func(ticks int) {
		for range ticks {
			s.step()
			if sum := s.claimedSlots(); sum > simSlots {
				t.Fatalf("tick %d: %d of %d slots claimed", s.currentTick, sum, simSlots)
			}
		}
	}
	s.blocked[[2]int{1, 0}] = true
	run(2)
	s.restart(0)
	run(50)
	s.blocked[[2]int{0, 1}] = true
	run(200)
	if sum := s.claimedSlots(); sum != simSlots {
		t.Fatalf("both sides of the partition claim %d of %d slots", sum, simSlots)
	}
}
