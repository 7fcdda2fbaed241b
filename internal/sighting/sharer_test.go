package sighting

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// fakeZone is a fake of the instances of a zone, or of several, and the network between them.
type fakeZone struct {
	mutex    sync.Mutex
	sharers  map[string]*Sharer
	received map[string][]Sighting
	silent   map[string]bool
	calls    int
}

// Call implements PeerClient.
func (z *fakeZone) Call(ctx context.Context, address, method string, params, into any) error {
	z.mutex.Lock()
	z.calls++
	peer, silent := z.sharers[address], z.silent[address]
	z.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var answer any
	switch method {
	case ReportMethod:
		answer, err = peer.AnswerReport(ctx, text)
	case FetchMethod:
		answer, err = peer.AnswerFetch(ctx, text)
	default:
		err = errors.New("no such method")
	}
	if err != nil || into == nil {
		return err
	}
	if text, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

func newFakeZone(ctx context.Context, size int) *fakeZone { return newFakeZones(ctx, size, "a") }

// newFakeZones distributes the instances over the zones.
func newFakeZones(ctx context.Context, size int, zones ...fleet.ZoneID) *fakeZone {
	z := &fakeZone{sharers: make(map[string]*Sharer), received: make(map[string][]Sighting), silent: make(map[string]bool)}
	var instances []directory.Instance
	for i := range size {
		name := fmt.Sprintf("i%d", i)
		self := directory.Instance{ID: fleet.InstanceID(name), Zone: zones[i%len(zones)], PeerAddress: name}
		instances = append(instances, self)
		z.sharers[name] = New(Options{Self: self, Peers: z, OnSightings: func(sightings []Sighting) {
			z.mutex.Lock()
			defer z.mutex.Unlock()
			z.received[name] = append(z.received[name], sightings...)
		}})
	}
	for _, s := range z.sharers {
		s.SetInstances(instances)
		go s.Run(ctx)
	}
	return z
}

// informed returns how many of the instances have received a sighting of the replica.
func (z *fakeZone) informed(replica fleet.ServerID) int {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	count := 0
	for _, sightings := range z.received {
		for _, s := range sightings {
			if s.Replica == replica {
				count++
				break
			}
		}
	}
	return count
}

// TestSlowReplicaIsReported guards against sightings that reach only some of the instances if there are many, and
// against sightings that are lost once the hub fails. Two instances observe a slow replica, and every other one must
// learn of it within half a second, also after the hub has stopped answering and been replaced.
func TestSlowReplicaIsReported(t *testing.T) {
	for _, size := range []int{2, 24, 118} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				z := newFakeZone(ctx, size)
				observeSlow := func(replica fleet.ServerID) {
					for _, name := range []string{"i0", "i1"} {
						z.sharers[name].Enqueue(Sighting{Replica: replica, Slowness: 6, ObservedAt: time.Now()})
						time.Sleep(2 * minConfirmInterval)
					}
				}
				time.Sleep(time.Second)
				observeSlow("r1")
				time.Sleep(500 * time.Millisecond)
				is.True(z.informed("r1") >= size-1) // all but the one whose report confirmed it
				hub, ok := z.sharers["i0"].currentHub(time.Now())
				if !ok {
					hub = z.sharers["i0"].Self
				}
				z.mutex.Lock()
				z.silent[hub.PeerAddress] = true
				z.mutex.Unlock()
				time.Sleep(2 * (maxFetchWait + callTimeout)) // the calls in progress end, and the next ones fail
				observeSlow("r2")
				time.Sleep(500 * time.Millisecond)
				is.True(z.informed("r2") >= size-2) // and the silent hub, which nobody can reach
			})
		})
	}
}

// TestLimitEndReachesAllZones guards against the end of a request limit that only the zone of its finder learns of, or
// that is lost because the hub of a third zone does not answer. Bad sends stay within the zone.
func TestLimitEndReachesAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		z := newFakeZones(ctx, 24, "a", "b", "c")
		time.Sleep(time.Second)
		for _, name := range []string{"i0", "i3"} { // both in zone a
			z.sharers[name].Enqueue(Sighting{Replica: "ended", LimitEnded: true, ObservedAt: time.Now()})
			z.sharers[name].Enqueue(Sighting{Replica: "slow", Slowness: 6, ObservedAt: time.Now()})
			time.Sleep(2 * minConfirmInterval)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(z.informed("ended"), 23) // the second report is a repetition
		is.True(z.informed("slow") <= 8)
		for _, hub := range z.sharers["i0"].otherHubs()[:1] {
			z.mutex.Lock()
			z.silent[hub.PeerAddress] = true
			z.mutex.Unlock()
		}
		z.sharers["i0"].Enqueue(Sighting{Replica: "ended-later", LimitEnded: true, ObservedAt: time.Now()})
		time.Sleep(time.Second)
		is.True(z.informed("ended-later") >= 15)
	})
}

// TestIdleZone guards against frequent calls when there is nothing to report.
func TestIdleZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		z := newFakeZone(ctx, 24)
		time.Sleep(10 * time.Second)
		z.mutex.Lock()
		defer z.mutex.Unlock()
		is.True(z.calls <= 24*10) // each call waits for a second
	})
}

// TestQueueingNeverBlocks guards against a request that waits for peers, and against an unbounded number of queued
// sightings while none answers.
func TestQueueingNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := New(Options{Self: directory.Instance{ID: "i", Zone: "a"}})
	for range 10 * maxReported {
		s.Enqueue(Sighting{Replica: "r"})
	}
	is.Equal(len(s.unreported), maxReported)
}
