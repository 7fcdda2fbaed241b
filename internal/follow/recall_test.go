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
	change.Entry.Born, change.Entry.Sequence, change.Entry.Draining = 1, sequence, draining
	return change
}

// TestDepartedReplicaAfterAStart guards against a replica that had left, or is leaving, and is in use again at an instance that
// has just started: the store executed a heartbeat of before late, and lists it as ready.
func TestDepartedReplicaAfterAStart(t *testing.T) {
	for name, test := range map[string]struct {
		after []directory.Change // what the store executes after heartbeat 5 of r2
		want  int                // replicas in use at the instance that starts
	}{
		"gone, late heartbeat":     {[]directory.Change{goneReplica("r2"), heartbeatOf("r2", 5, false)}, 4},
		"draining, late heartbeat": {[]directory.Change{heartbeatOf("r2", 7, true), heartbeatOf("r2", 6, false)}, 4},
		"gone and back":            {[]directory.Change{goneReplica("r2"), heartbeatOf("r2", 6, false)}, 5},
		"draining":                 {[]directory.Change{heartbeatOf("r2", 6, true)}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *store, i *instances) {
				s.write(heartbeatOf("r2", 5, false))
				time.Sleep(3 * time.Second)
				for _, change := range test.after {
					s.write(change)
					time.Sleep(2 * time.Second) // every instance hears of each
				}
				is.Equal(i.replicas("i1"), test.want)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				i.start(ctx, directory.Instance{ID: "i4", Zone: "a", Peers: "i4"}, s)
				time.Sleep(100 * time.Millisecond)
				is.Equal(i.replicas("i4"), test.want)
				time.Sleep(5 * time.Second)
				is.Equal(i.replicas("i4"), test.want)
				is.Equal(i.replicas("i1"), test.want)
			})
		})
	}
}

// TestRecallFromSilentPeers guards against a start that waits for peers: the instance serves at once, and asks a few times.
func TestRecallFromSilentPeers(t *testing.T) {
	play(t, []fleet.InstanceID{"i1"}, func(is *is.I, s *store, i *instances) {
		i.mutex.Lock()
		i.silent["i1"] = true
		i.mutex.Unlock()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		i.start(ctx, directory.Instance{ID: "i4", Zone: "a", Peers: "i4"}, s)
		time.Sleep(100 * time.Millisecond)
		is.Equal(i.replicas("i4"), 5)
	})
}

// panicking is a store whose client fails on what it reads, as a decoder with a mistake would.
type panicking struct {
	Source
	times atomic.Int32
}

func (p *panicking) Changes(ctx context.Context, after uint64, wait time.Duration) ([]directory.Change, uint64, bool, error) {
	if p.times.Add(-1) >= 0 {
		panic("a mistake in a decoder")
	}
	return p.Source.Changes(ctx, after, wait)
}

// TestPanicWhileFollowing guards against one entry of the store, or one message of a peer, that ends the process.
func TestPanicWhileFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		s := newStore()
		s.write(configuration(1))
		source := &panicking{Source: s}
		source.times.Store(3)
		var view atomic.Pointer[directory.View]
		f := New(Options{
			Self: directory.Instance{ID: "i", Zone: "a"}, Source: source, Pause: pause, Lapse: 3 * heartbeat, Random: rand.New(rand.NewPCG(1, 1)),
			Publish: func(v *directory.View) { view.Store(v) },
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

// TestStartWithoutTheStore guards against an instance that starts while the store refuses it, or is down, and serves nobody until
// it is back, although other instances know everything.
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
			play(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *store, i *instances) {
				time.Sleep(3 * time.Second)
				i.mutex.Lock()
				i.silent["i1"] = true
				i.mutex.Unlock()
				s.set(func() { s.down = true })
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				i.start(ctx, directory.Instance{ID: "i4", Zone: "a", Peers: "i4"}, s, test.seeds...)
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
