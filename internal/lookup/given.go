package lookup

import (
	"sync"
	"time"
)

const (
	// givenWindow is the number of requests after which a longest time that nobody gives any more is forgotten.
	givenWindow = 64
	// enoughGiven is the number of requests from which the longest time is known: among so many some came on a kept connection.
	enoughGiven = 16
	// mostWaited bounds what a caller is taken to have waited, as a part of the objective. Beyond it the request is a repeated
	// one, or its caller gives less time than others do, and the objective counts from its arrival.
	mostWaited = 1.0 / 3
)

// givenTimes learns how much time callers of one route give a request in all. A caller says how much is left when it sends; what
// is missing has passed before, most often while it opened its connection, and counts in its objective. It is safe for
// concurrent use.
type givenTimes struct {
	mutex          sync.Mutex
	former, newest time.Duration // longest times given in the window before and in this one
	seen           int
	// known is set once enough requests were seen that the longest time is most likely the one that callers give.
	known bool
}

// waited returns how long the caller has most likely waited before it sent a request that gives it the time left; zero for a
// request without a time. It is not sure while few requests have been seen: the wait may then be longer.
func (g *givenTimes) waited(left, objective time.Duration) (waited time.Duration, sure bool) {
	if left <= 0 {
		return 0, false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.seen++; g.seen > givenWindow {
		g.former, g.newest, g.seen = g.newest, 0, 1
	}
	g.known = g.known || g.seen >= enoughGiven
	g.newest = max(g.newest, left)
	waited = max(g.former, g.newest) - left
	if float64(waited) > mostWaited*float64(objective) {
		return 0, false
	}
	return waited, g.known
}
