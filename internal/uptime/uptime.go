// Package uptime measures time with a clock that also counts the time in which the machine is suspended.
//
// The runtime's steady clock stands still while a machine is suspended, so an instance that wakes would take what it
// learned before for recent. Steps of the time of day do not change this clock.
package uptime

import (
	"sync"
	"time"
)

// Now returns the time since an arbitrary start, which is the same for the whole process. It never decreases.
func Now() time.Duration {
	if elapsed, ok := sinceBoot(); ok {
		return elapsed
	}
	return substitute.now(time.Now())
}

// substitute is used where the system has no clock that counts suspensions.
var substitute fallback

// fallback adds up, reading by reading, the larger of what the steady clock and the time of day have advanced. A step of
// the time of day may make it run fast, never slow.
type fallback struct {
	mutex   sync.Mutex
	last    time.Time
	elapsed time.Duration
}

func (f *fallback) now(at time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.last.IsZero() {
		steady, timeOfDay := at.Sub(f.last), at.Round(0).Sub(f.last.Round(0))
		f.elapsed += max(steady, timeOfDay, 0)
	}
	f.last = at
	return f.elapsed
}
