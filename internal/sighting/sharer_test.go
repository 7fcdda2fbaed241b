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

// zone is a fake of the instances of one zone and the network between them.
type zone struct {
	mutex   sync.Mutex
	sharers map[string]*Sharer
	told    map[string][]Sighting
	silent  map[string]bool
	calls   int
}

// Call implements Caller.
func (z *zone) Call(ctx context.Context, address, method string, params, into any) error {
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
		answer, err = peer.Report(ctx, text)
	case NewsMethod:
		answer, err = peer.News(ctx, text)
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

func newZone(ctx context.Context, size int) *zone {
	z := &zone{sharers: make(map[string]*Sharer), told: make(map[string][]Sighting), silent: make(map[string]bool)}
	var instances []directory.Instance
	for i := range size {
		name := fmt.Sprintf("i%d", i)
		self := directory.Instance{ID: fleet.InstanceID(name), Zone: "a", Peers: name}
		instances = append(instances, self)
		z.sharers[name] = New(Options{Self: self, Peers: z, Tell: func(sightings []Sighting) {
			z.mutex.Lock()
			defer z.mutex.Unlock()
			z.told[name] = append(z.told[name], sightings...)
		}})
	}
	for _, s := range z.sharers {
		s.SetInstances(instances)
		go s.Run(ctx)
	}
	return z
}

// heard returns how many of the instances have been told of the replica.
func (z *zone) heard(replica fleet.ServerID) int {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	count := 0
	for _, told := range z.told {
		for _, s := range told {
			if s.Replica == replica {
				count++
				break
			}
		}
	}
	return count
}

// TestZoneHearsOfASlowReplica guards against knowledge that thins out with the number of instances, and against a board that
// is gone: two instances see a replica being slow, and every other one hears of it within half a second, also when the board
// does not answer, then after it was passed over.
func TestZoneHearsOfASlowReplica(t *testing.T) {
	for _, size := range []int{2, 24, 118} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				z := newZone(ctx, size)
				see := func(replica fleet.ServerID) {
					for _, name := range []string{"i0", "i1"} {
						z.sharers[name].Seen(Sighting{Replica: replica, Slowness: 6, At: time.Now()})
						time.Sleep(2 * confirmAfter)
					}
				}
				time.Sleep(time.Second)
				see("r1")
				time.Sleep(500 * time.Millisecond)
				is.True(z.heard("r1") >= size-1) // all but the one that confirmed it
				board, ok := z.sharers["i0"].current(time.Now())
				if !ok {
					board = z.sharers["i0"].Self
				}
				z.mutex.Lock()
				z.silent[board.Peers] = true
				z.mutex.Unlock()
				time.Sleep(2 * (longestWait + replyTimeout)) // the calls in progress end, and the next ones fail
				see("r2")
				time.Sleep(500 * time.Millisecond)
				is.True(z.heard("r2") >= size-2) // nor the board, to which nobody can speak
			})
		})
	}
}

// TestQuietZone guards against calls when there is nothing to share.
func TestQuietZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		z := newZone(ctx, 24)
		time.Sleep(10 * time.Second)
		z.mutex.Lock()
		defer z.mutex.Unlock()
		is.True(z.calls <= 24*10) // each waits for a second
	})
}

// TestSeenNeverBlocks guards against a request that waits for peers, and against sightings without bound while none answers.
func TestSeenNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := New(Options{Self: directory.Instance{ID: "i", Zone: "a"}})
	for range 10 * mostReported {
		s.Seen(Sighting{Replica: "r"})
	}
	is.Equal(len(s.unreported), mostReported)
}
