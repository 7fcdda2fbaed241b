package lookup

import (
	"sync"
	"time"
)

const (
	// timeoutWindowSize is the number of requests in one window. A maximum that no caller gives any more counts until
	// the end of the window after its own.
	timeoutWindowSize = 64
	// minTimeoutSamples is the number of requests after which the maximum is reliable: some of that many came on a
	// kept-alive connection.
	minTimeoutSamples = 16
	// maxCallerWaitShare limits the estimated wait as a share of the latency objective. A request above it is a
	// repeated one, or its caller uses a shorter timeout than others do; its objective counts from its arrival.
	maxCallerWaitShare = 1.0 / 3
)

// timeoutEstimator learns the full timeout that callers of one route give a request. A caller states how much of it is
// left when it sends the request. The difference has already elapsed, most often while it opened its connection, and
// counts towards its latency objective. It is safe for concurrent use.
type timeoutEstimator struct {
	mutex                   sync.Mutex
	previousMax, currentMax time.Duration // maximum remaining time in the previous window and in the current one
	seen                    int           // requests in the current window
	// reliable is set once enough requests were seen that the maximum most likely is the full timeout.
	reliable bool
}

// waitBeforeSend estimates how long the caller had already waited when it sent a request with the given remaining time;
// it returns zero for a request without one. The estimate is not reliable while few requests were seen: the wait may
// then have been longer.
func (t *timeoutEstimator) waitBeforeSend(remaining, objective time.Duration) (waited time.Duration, reliable bool) {
	if remaining <= 0 {
		return 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.seen++; t.seen > timeoutWindowSize {
		t.previousMax, t.currentMax, t.seen = t.currentMax, 0, 1
	}
	t.reliable = t.reliable || t.seen >= minTimeoutSamples
	t.currentMax = max(t.currentMax, remaining)
	waited = max(t.previousMax, t.currentMax) - remaining
	if float64(waited) > maxCallerWaitShare*float64(objective) {
		return 0, false
	}
	return waited, t.reliable
}
