package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

func heartbeatOf(id fleet.ServerID, sequence int64, draining bool) directory.Change {
	change := replica(id)
	change.RegisteredReplica.StartedAt, change.RegisteredReplica.Sequence, change.RegisteredReplica.Draining = 1, sequence, draining
	return change
}

// TestDepartedReplicaAfterStart guards against an instance that has just started and uses a replica that is draining or
// removed, because the store executed an earlier heartbeat late and lists the replica as ready.
func TestDepartedReplicaAfterStart(t *testing.T) {
	for name, test := range map[string]struct {
		after []directory.Change // what the store executes after heartbeat 5 of r2
		want  int                // replicas in use at the instance that starts
	}{
		"gone, late heartbeat":     {[]directory.Change{removedReplica("r2"), heartbeatOf("r2", 5, false)}, 4},
		"draining, late heartbeat": {[]directory.Change{heartbeatOf("r2", 7, true), heartbeatOf("r2", 6, false)}, 4},
		"gone and back":            {[]directory.Change{removedReplica("r2"), heartbeatOf("r2", 6, false)}, 5},
		"draining":                 {[]directory.Change{heartbeatOf("r2", 6, true)}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			runInstances(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *fakeStore, i *fakeInstances) {
				s.write(heartbeatOf("r2", 5, false))
				time.Sleep(3 * time.Second)
				for _, change := range test.after {
					s.write(change)
					time.Sleep(2 * time.Second) // until every instance knows of it
				}
				is.Equal(i.replicas("i1"), test.want)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				i.start(ctx, directory.Instance{ID: "i4", Zone: "a", PeerAddress: "i4"}, s)
				time.Sleep(100 * time.Millisecond)
				is.Equal(i.replicas("i4"), test.want)
				time.Sleep(5 * time.Second)
				is.Equal(i.replicas("i4"), test.want)
				is.Equal(i.replicas("i1"), test.want)
			})
		})
	}
}

// TestFetchDeparturesFromSilentPeer guards against an instance that waits for a silent peer before it serves.
func TestFetchDeparturesFromSilentPeer(t *testing.T) {
	runInstances(t, []fleet.InstanceID{"i1"}, func(is *is.I, s *fakeStore, i *fakeInstances) {
		i.mutex.Lock()
		i.silent["i1"] = true
		i.mutex.Unlock()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		i.start(ctx, directory.Instance{ID: "i4", Zone: "a", PeerAddress: "i4"}, s)
		time.Sleep(100 * time.Millisecond)
		is.Equal(i.replicas("i4"), 5)
	})
}

// panicking is a Source whose first calls of Changes panic, as a faulty decoder would.
type panicking struct {
	Source
	remaining atomic.Int32
}

func (p *panicking) Changes(ctx context.Context, after uint64, wait time.Duration) ([]directory.Change, Position, bool, error) {
	if p.remaining.Add(-1) >= 0 {
		panic("decoder fault")
	}
	return p.Source.Changes(ctx, after, wait)
}

// TestPanicWhileFollowing guards against a panic on input from the store that ends the process, or after which the
// follower no longer receives changes.
func TestPanicWhileFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		s := newFakeStore()
		s.write(configuration(1))
		source := &panicking{Source: s}
		source.remaining.Store(3)
		var view atomic.Pointer[directory.View]
		f := New(Options{
			Self: directory.Instance{ID: "i", Zone: "a"}, Source: source, PollInterval: pollInterval, RegistrationTTL: 3 * heartbeat, Random: rand.New(rand.NewPCG(1, 1)),
			OnViewChanged: func(v *directory.View) { view.Store(v) },
		})
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		s.write(configuration(2))
		time.Sleep(3 * time.Second)
		is.Equal(view.Load().Table.Version(), uint64(2))
		stop()
		time.Sleep(5 * time.Second)
	})
}

// TestStartWithoutTheStore guards against an instance that starts while the store is down or refuses it and cannot
// serve until the store is back, although other instances have the state.
func TestStartWithoutTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		seeds []string
		want  int // replicas in use
	}{
		"a seed runs":      {[]string{"nobody", "i4", "i2"}, 5},
		"no seed runs":     {[]string{"nobody", "i4"}, -1},
		"a seed is silent": {[]string{"i1", "i2"}, 5},
		"no seeds":         {nil, -1},
	} {
		t.Run(name, func(t *testing.T) {
			runInstances(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *fakeStore, i *fakeInstances) {
				time.Sleep(3 * time.Second)
				i.mutex.Lock()
				i.silent["i1"] = true
				i.mutex.Unlock()
				s.set(func() { s.down = true })
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				i.start(ctx, directory.Instance{ID: "i4", Zone: "a", PeerAddress: "i4"}, s, test.seeds...)
				time.Sleep(2500 * time.Millisecond)
				is.Equal(i.replicas("i4"), test.want)
				s.set(func() { s.down = false })
				s.write(replica("r6"))
				time.Sleep(4 * time.Second)
				is.Equal(i.replicas("i4"), 6)
			})
		})
	}
}
