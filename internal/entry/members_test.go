package entry

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestChangeNotifiedAfterViewStored guards against a reader that is notified of a change before its view is stored.
// Such a reader applies the previous view and is not notified again.
func TestChangeNotifiedAfterViewStored(t *testing.T) {
	const changes = 5000
	is := is.New(t)
	m := newMembers(fleet.Entry{ID: "entry-1", Zone: "zone-a", Region: "region-1"})
	var seen atomic.Bool // the state that the reader applied last
	var stop atomic.Bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for !stop.Load() {
			select {
			case <-m.changed:
				server, _ := m.server("s")
				seen.Store(server.Leaving)
			default: // read without delay, to be likely to see a change whose view is not stored yet
				runtime.Gosched()
			}
		}
	}()
	for n := range changes {
		leaving := n%2 == 0
		m.applyEvent(func(membership *fleet.Membership, now time.Time) fleet.Change {
			return membership.ApplyInstanceList(now, nil, []fleet.Server{{ID: "s", Service: "one", Zone: "zone-a", Region: "region-1", Leaving: leaving}})
		})
		for end := time.Now().Add(time.Second); seen.Load() != leaving; {
			if time.Now().After(end) {
				t.Fatalf("change %d has not reached the reader within 1 s", n)
			}
			runtime.Gosched()
		}
	}
	stop.Store(true)
	<-ended
	is.Equal(seen.Load(), false)
}
