package follow

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestReaderFails replays the loss, the freeze and the isolation from the store of the instance that the others ask. It
// guards against followers that go on with what it knew.
func TestReaderFails(t *testing.T) {
	for _, name := range []string{"gone", "silent", "cut from the store"} {
		t.Run(name, func(t *testing.T) {
			play(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *store, i *instances) {
				time.Sleep(5 * time.Second)
				reader, ok := directory.First(readerDuty, "a", i.running["i1"].present(), func(fleet.InstanceID) bool { return false })
				is.True(ok)
				i.mutex.Lock()
				switch name {
				case "gone":
					delete(i.running, reader.ID)
				case "silent":
					i.silent[reader.ID] = true
				}
				i.mutex.Unlock()
				i.links[reader.ID].cut.Store(name == "cut from the store")
				s.write(configuration(2))
				time.Sleep(bound)
				for _, id := range []fleet.InstanceID{"i1", "i2", "i3"} {
					if id != reader.ID {
						is.Equal(i.view(id).Table.Version(), uint64(2))
					}
				}
				if name == "cut from the store" {
					time.Sleep(bound) // it hears from its peers, which have it by now
					is.Equal(i.view(reader.ID).Table.Version(), uint64(2))
				}
			})
		})
	}
}

// TestReaderOf guards against instances of one zone that disagree on who reads, and against one without an address.
func TestReaderOf(t *testing.T) {
	is := is.New(t)
	none := func(fleet.InstanceID) bool { return false }
	all := []directory.Instance{{ID: "a1", Zone: "a", Peers: "x"}, {ID: "a2", Zone: "a", Peers: "y"}, {ID: "b1", Zone: "b", Peers: "z"}, {ID: "a3", Zone: "a"}}
	first, ok := directory.First(readerDuty, "a", all, none)
	is.True(ok)
	is.True(first.ID == "a1" || first.ID == "a2")
	turned := []directory.Instance{all[3], all[2], all[1], all[0]}
	again, _ := directory.First(readerDuty, "a", turned, none)
	is.Equal(again, first)
	second, _ := directory.First(readerDuty, "a", all, func(id fleet.InstanceID) bool { return id == first.ID })
	is.True(second.ID != first.ID && second.Zone == "a")
	_, ok = directory.First(readerDuty, "c", all, none)
	is.True(!ok)
}

// TestPeerBehind guards against an instance that takes the older state of a peer: what changed in between would never come
// again, because its own position stays (guaman-latch-grown, seed 970211026331: a replica that leaves was used for 5 s).
func TestPeerBehind(t *testing.T) {
	play(t, []fleet.InstanceID{"i1", "i2"}, func(is *is.I, s *store, i *instances) {
		time.Sleep(2 * time.Second)
		peer := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Publish: func(*directory.View) {}})
		peer.take([]directory.Change{configuration(1), replica("r1"), replica("r2"), replica("old")}, true, 3, 0)
		behind := directory.Instance{ID: "behind", Zone: "a", Peers: "behind"}
		i.mutex.Lock()
		i.running["behind"] = peer
		i.mutex.Unlock()
		f := New(Options{
			Self: directory.Instance{ID: "f", Zone: "a"}, Source: &storeLink{store: s}, Peers: i, Pause: pause, Lapse: 3 * heartbeat,
			Random: rand.New(rand.NewPCG(1, 1)), Publish: func(*directory.View) {},
		})
		s.write(goneReplica("r2"))
		_, err := f.read(context.Background())
		is.NoErr(err)
		before := f.journal.state.View()
		is.True(!f.ask(context.Background(), behind))
		is.Equal(f.journal.state.View().Replicas, before.Replicas)
		is.Equal(len(before.Replicas["s"]), 4)
	})
}

// TestLapseReachesPeers replays an outage that only the reader of a zone noticed, in which a replica left. It guards against
// followers that never hear that the replica was dropped, because nothing in the store changes at that moment
// (guaman-latch-grown, seed 970211026331).
func TestLapseReachesPeers(t *testing.T) {
	leaveWhileCut(t, 1200*time.Millisecond, 0, 2500*time.Millisecond+2*pause)
}

// TestRefusedAlone replays a store that refuses only the reader of a zone while a replica leaves. It guards against a time of
// grace for entries that cannot have lapsed: with it requests reached the replica beyond the bound (guaman-latch,
// trouble-1, seed 201044179259).
func TestRefusedAlone(t *testing.T) {
	leaveWhileCut(t, 8*time.Second, 500*time.Millisecond, bound)
}

// TestListLeavesAGap guards against a peer that listed the store while entries had lapsed and never hears that they are back,
// because the instance that it asks listed before and after and saw no difference (soak, seed 24: no replica for 12 s).
func TestListLeavesAGap(t *testing.T) {
	is := is.New(t)
	newFollower := func() *Follower {
		return New(Options{Random: rand.New(rand.NewPCG(1, 1)), Publish: func(*directory.View) {}})
	}
	reader, other := newFollower(), newFollower()
	there := []directory.Change{configuration(1), replica("r1")}
	reader.take(there, true, 3, 0)
	other.take([]directory.Change{configuration(1)}, true, 5, 0)
	reader.take(there, true, 9, 0)
	other.learn(reader.News(context.Background(), other.revision(), 0))
	is.Equal(len(other.journal.state.View().Replicas["s"]), 1)
	is.Equal(other.revision(), uint64(9))
}

// leaveWhileCut cuts the reader of a zone from the store for a time and lets a replica leave, until then and some time
// longer, and checks that every instance has dropped the replica within the given time after it left.
func leaveWhileCut(t *testing.T, cut, longer, within time.Duration) {
	t.Helper()
	names := []fleet.InstanceID{"i1", "i2", "i3"}
	play(t, names, func(is *is.I, s *store, i *instances) {
		time.Sleep(5 * time.Second)
		reader, ok := directory.First(readerDuty, "a", i.running["i1"].present(), func(fleet.InstanceID) bool { return false })
		is.True(ok)
		i.links[reader.ID].cut.Store(true)
		time.Sleep(cut)
		s.write(goneReplica("r2"))
		time.Sleep(longer)
		i.links[reader.ID].cut.Store(false)
		time.Sleep(within - longer)
		for _, name := range names {
			is.Equal(i.replicas(name), 4)
		}
	})
}
