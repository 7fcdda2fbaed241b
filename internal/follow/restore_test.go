package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// restore replaces the content of the store by that of an earlier revision. The revisions after it are given out again.
func (s *fakeStore) restore(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.events
	s.events, s.others, s.revision = nil, nil, 0
	if s.era != 0 {
		s.era++
	}
	s.present = make(map[fleet.ServerID]directory.Change)
	for _, e := range kept {
		if e.revision <= revision {
			s.add(e.change)
		}
	}
}

// revisionNow returns the store's revision.
func (s *fakeStore) revisionNow() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

func instanceNames(count int) []fleet.InstanceID {
	var names []fleet.InstanceID
	for n := range count {
		names = append(names, fleet.InstanceID(fmt.Sprint("i", n+1)))
	}
	return names
}

// TestConfigurationAfterRestore guards against a configuration that never takes effect because the restored store
// confirms it under a revision that instances have already seen for another change.
func TestConfigurationAfterRestore(t *testing.T) {
	const lostWrites = 4
	for name, test := range map[string]struct {
		instances     int
		era           uint64 // of the store at the start; 0 if it names none
		stopsNaming   bool
		writtenBefore int           // writes between the restore and the configuration
		polledAfter   time.Duration // time between the restore and these writes
	}{
		"revision below the known one":     {instances: 3, era: 1, writtenBefore: 1, polledAfter: 5 * pollInterval / 2},
		"revision equal to the known one":  {instances: 3, era: 1, writtenBefore: 3, polledAfter: 5 * pollInterval / 2},
		"revision above the known one":     {instances: 3, era: 1, writtenBefore: 6, polledAfter: 5 * pollInterval / 2},
		"revision passed between polls":    {instances: 3, era: 1, writtenBefore: 3},
		"store that names no era":          {instances: 3, writtenBefore: 3, polledAfter: 5 * pollInterval / 2},
		"store that stops to name its era": {instances: 3, era: 1, writtenBefore: 3, polledAfter: 5 * pollInterval / 2, stopsNaming: true},
		"one instance":                     {instances: 1, era: 1, writtenBefore: 3},
		"33 instances":                     {instances: 33, era: 1, writtenBefore: 3},
		"118 instances":                    {instances: 118, era: 1, writtenBefore: 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			s.era = test.era
			runInstancesOn(t, s, instanceNames(test.instances), func(is *is.I, s *fakeStore, i *fakeInstances) {
				s.stopHeartbeats()
				if test.stopsNaming {
					s.set(func() { s.era = 0 })
				}
				time.Sleep(2 * pollInterval)
				copied := s.revisionNow()
				for range lostWrites {
					s.write(replica("r3"))
				}
				time.Sleep(2*pollInterval + pollInterval/2)
				s.restore(copied)
				time.Sleep(test.polledAfter)
				for range test.writtenBefore {
					s.write(replica("r3"))
				}
				s.write(configuration(2))
				for range 2 * lostWrites {
					s.write(replica("r3"))
				}
				time.Sleep(maxPropagationDelay)
				for _, id := range instanceNames(test.instances) {
					is.Equal(i.view(id).Table.Version(), uint64(2))
				}
			})
		})
	}
}

// TestRestoreKeepsConfirmedState guards against an instance that takes the copy for the present: the configuration goes
// back, live replicas that registered after the copy was made are dropped, and drained ones come back.
func TestRestoreKeepsConfirmedState(t *testing.T) {
	for name, test := range map[string]struct {
		era      uint64 // of the store at the start; 0 if it names none
		restores int
	}{
		"one restore":                    {1, 1},
		"again before the first is over": {1, 3},
		"store that names no era":        {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			s.era = test.era
			restoreRepeatedly(t, s, test.restores)
		})
	}
}

// restoreRepeatedly restores the store from a copy that lacks a configuration, the draining of a replica and another
// replica, and checks that they stay in force.
func restoreRepeatedly(t *testing.T, s *fakeStore, restores int) {
	t.Helper()
	names := instanceNames(4)
	runInstancesOn(t, s, names, func(is *is.I, s *fakeStore, i *fakeInstances) {
		s.stopHeartbeats()
		s.write(heartbeatOf("r2", 5, false))
		time.Sleep(2 * pollInterval)
		copied := s.revisionNow()
		s.write(configuration(2))
		s.write(heartbeatOf("r2", 9, true))
		s.write(replica("r6"))
		time.Sleep(3 * pollInterval)
		check := func() {
			t.Helper()
			for _, name := range names {
				is.Equal(i.view(name).Table.Version(), uint64(2))
				is.Equal(i.replicas(name), 5) // r1, r3, r4, r5, r6
			}
		}
		check()
		for range restores {
			s.restore(copied)
			time.Sleep(heartbeat)
			check()
			s.write(replica("r6"))
			time.Sleep(heartbeat)
			check()
		}
		s.write(heartbeatOf("r2", 10, true))
		time.Sleep(5 * time.Second)
		check()
		s.write(configuration(3))
		time.Sleep(maxPropagationDelay)
		is.Equal(i.view("i3").Table.Version(), uint64(3))
	})
}

// TestMissedEras guards against an instance that was partitioned from the store and its peers while the store was
// restored twice, and takes the revisions since for those that it knows.
func TestMissedEras(t *testing.T) {
	runInstances(t, instanceNames(1), func(is *is.I, s *fakeStore, i *fakeInstances) {
		s.stopHeartbeats()
		time.Sleep(2 * pollInterval)
		copied := s.revisionNow()
		s.write(replica("r6"))
		time.Sleep(2 * pollInterval)
		i.links["i1"].disconnected.Store(true)
		s.restore(copied)
		s.write(configuration(2))
		s.restore(copied)
		s.write(configuration(3))
		s.write(replica("r7"))
		i.links["i1"].disconnected.Store(false)
		time.Sleep(maxPropagationDelay)
		is.Equal(i.view("i1").Table.Version(), uint64(3))
	})
}

// TestPeerOfAnotherEra guards against an instance that applies the state of a peer which does not know of the restore
// yet, and against one that ignores a peer in a later era because its revision is lower.
func TestPeerOfAnotherEra(t *testing.T) {
	for name, test := range map[string]struct {
		peer, own Position
		applies   bool
		version   uint64
	}{
		"a later era, lower revision":   {Position{2, 5}, Position{1, 9}, true, 8},
		"a later era, the same one":     {Position{2, 9}, Position{1, 9}, true, 8},
		"two eras later":                {Position{3, 20}, Position{1, 9}, true, 8},
		"a former era, higher revision": {Position{1, 9}, Position{2, 5}, false, 7},
		"the same position":             {Position{1, 9}, Position{1, 9}, true, 7},
		"changes of an unknown era":     {Position{1, 9}, Position{0, 9}, false, 7},
		"peer names no era":             {Position{0, 9}, Position{1, 5}, false, 7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := &fakeInstances{running: make(map[fleet.InstanceID]*Follower)}
			newFollower := func() *Follower {
				return New(Options{Peers: i, PollInterval: pollInterval, Random: rand.New(rand.NewPCG(1, 1)), OnViewChanged: func(*directory.View) {}})
			}
			peer, f := newFollower(), newFollower()
			i.running["peer"] = peer
			peer.apply([]directory.Change{configuration(8), replica("r1")}, true, test.peer, 0)
			f.apply([]directory.Change{configuration(7), replica("r1")}, true, test.own, 0)
			is.Equal(f.pollPeer(context.Background(), directory.Instance{ID: "peer", PeerAddress: "peer"}), test.applies)
			is.Equal(f.journal.state.Table().Version(), test.version)
		})
	}
}

// lateSource answers as a store does from whose former era an answer arrives late.
type lateSource struct{ position Position }

func (s lateSource) List(context.Context) ([]directory.Change, Position, error) {
	return []directory.Change{configuration(1)}, s.position, nil
}

func (s lateSource) Changes(context.Context, uint64, time.Duration) ([]directory.Change, Position, bool, error) {
	return []directory.Change{removedReplica("r1")}, s.position, false, nil
}

// TestAnswerOfFormerEra guards against applying an answer that the store sent before it was restored, and that arrives
// after one that was sent since.
func TestAnswerOfFormerEra(t *testing.T) {
	is := is.New(t)
	f := New(Options{Source: lateSource{Position{1, 9}}, Random: rand.New(rand.NewPCG(1, 1)), OnViewChanged: func(*directory.View) {}})
	f.apply([]directory.Change{configuration(7), replica("r1")}, true, Position{2, 5}, 0)
	f.synced = true
	for _, synced := range []bool{true, false} {
		f.synced = synced
		_, err := f.pollStore(context.Background())
		is.True(err != nil)
		is.Equal(f.position(), Position{2, 5})
		is.Equal(len(f.journal.state.View().Replicas["s"]), 1)
	}
}

// TestStartAfterRestore guards against an instance that starts while the restored store lists only the copy, and takes
// it for the present: the configuration and the zones out of service are those of the copy, replicas are missing, ones
// that have left are used, and the global bounds are divided among too few instances.
func TestStartAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		peersKnow bool // the peers learn of the restore before the instance starts
		listed    bool // the peers are registered in the copy; otherwise only the seeds are known
	}{
		"peers know of the restore, registered":        {true, true},
		"peers do not know of the restore, registered": {false, true},
		"peers know of the restore, seeds only":        {true, false},
		"peers do not know of the restore, seeds only": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			s.era = 1
			runInstancesOn(t, s, nil, func(is *is.I, s *fakeStore, i *fakeInstances) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				names := instanceNames(3)
				register := func() {
					for _, name := range names {
						s.write(registered(name, "a"))
					}
				}
				if test.listed {
					register()
				}
				s.write(heartbeatOf("r2", 5, false))
				copied := s.revisionNow()
				if !test.listed {
					register()
				}
				s.write(configuration(2))
				s.write(replica("r6"))
				s.write(directory.Change{Zone: "y"})
				for _, name := range names {
					i.start(ctx, directory.Instance{ID: name, Zone: "a", PeerAddress: string(name)}, s)
				}
				time.Sleep(4 * pollInterval)
				s.write(removedReplica("r2"))
				time.Sleep(3 * pollInterval)
				s.restore(copied)
				if !test.peersKnow {
					for _, name := range names {
						i.links[name].disconnected.Store(true)
					}
				}
				time.Sleep(3 * pollInterval / 2)
				i.start(ctx, directory.Instance{ID: "new", Zone: "a", PeerAddress: "new"}, s, "nobody", "i1", "i2")
				time.Sleep(pollInterval / 4)
				v := i.view("new")
				is.Equal(v.Table.Version(), uint64(2))
				is.Equal(v.ZonesOutOfService, []fleet.ZoneID{"y"})
				is.Equal(i.replicas("new"), 5) // r1, r3, r4, r5, r6
				is.Equal(len(v.Instances), 3)
				time.Sleep(5 * pollInterval) // r6 has not registered again
				is.Equal(i.replicas("new"), 4)
			})
		})
	}
}

// TestPeerAheadGetsNothing guards against an instance that has not heard of a restore of the store and sets back a peer
// that has.
func TestPeerAheadGetsNothing(t *testing.T) {
	is := is.New(t)
	j, now := newJournal(), time.Now()
	change := directory.Change{ReplicaID: "r", RegisteredReplica: &directory.Replica{ID: "r", Service: "s"}}
	j.record(j.state.Apply([]directory.Change{change}, now), 0, 5)
	j.position = Position{Era: 1, Revision: 5}
	is.Equal(len(j.updateSince(Position{Era: 1, Revision: 3}, now).Changes), 1)
	for _, revision := range []uint64{0, 3, 9} {
		update := j.updateSince(Position{Era: 2, Revision: revision}, now)
		is.Equal(len(update.Changes), 0)
		is.True(!update.Full)
		is.Equal(update.Position, j.position) // by which the peer sees that this instance is behind
	}
}
