package lookup

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in the sliding window: a window of ten seconds has a resolution of a tenth
	// of a second.
	windowBuckets = 100
	// ratioMargin is the share of the allowed ratio that is used. The rest is a margin: the bound holds for a window
	// that begins at any time, but the counted window moves by whole buckets, and sends arrive later than they are
	// counted.
	ratioMargin = 0.9
)

// Allowance bounds the extra sends to one service: in any window of length Window, all instances together may make
// Ratio times the requests, plus Constant, of them.
type Allowance struct {
	Window   time.Duration
	Ratio    float64
	Constant float64
}

// perInstance returns the allowance of one of several instances. The ratio applies to each instance's own requests, so
// only the constant is divided.
func (a Allowance) perInstance(instances int) Allowance {
	a.Constant /= float64(max(instances, 1))
	return a
}

// retryBudget counts the requests for one service and the extra sends to it in a sliding window. It protects against
// faults that hit every request at once: retries and hedges must not multiply the load of a service that is already
// failing.
type retryBudget struct {
	mutex           sync.Mutex
	requests, extra [windowBuckets + 1]int32
	totalRequests   int
	totalExtra      int
	bucket          int64     // number of the current bucket, counted from start
	start           time.Time // when the budget was first used
}

// advance moves the window to the given time and returns the index of the current bucket. The caller holds the lock.
func (b *retryBudget) advance(now time.Time, window time.Duration) int {
	if b.start.IsZero() {
		b.start = now
	}
	current := int64(now.Sub(b.start) / (window / windowBuckets))
	for cleared := 0; b.bucket < current && cleared <= windowBuckets; cleared++ {
		b.bucket++
		at := b.bucket % int64(len(b.requests))
		b.totalRequests -= int(b.requests[at])
		b.totalExtra -= int(b.extra[at])
		b.requests[at], b.extra[at] = 0, 0
	}
	b.bucket = max(b.bucket, current)
	return int(b.bucket % int64(len(b.requests)))
}

// countRequest counts a caller's request for the service.
func (b *retryBudget) countRequest(now time.Time, allowed Allowance) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests[b.advance(now, allowed.Window)]++
	b.totalRequests++
}

// take counts an extra send if the allowance permits it, and reports whether it does.
func (b *retryBudget) take(now time.Time, allowed Allowance) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.advance(now, allowed.Window)
	if b.remaining(allowed) < 1 {
		return false
	}
	b.extra[at]++
	b.totalExtra++
	return true
}

// refund returns to the budget an extra send that never left this process.
func (b *retryBudget) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.bucket % int64(len(b.extra))
	b.extra[at]--
	b.totalExtra--
}

// usage returns the number of extra sends in the window, and how many more are allowed.
func (b *retryBudget) usage(now time.Time, allowed Allowance) (spent, remaining float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now, allowed.Window)
	return float64(b.totalExtra), b.remaining(allowed)
}

// remaining returns how many more extra sends are allowed. The caller holds the lock.
func (b *retryBudget) remaining(allowed Allowance) float64 {
	return ratioMargin*allowed.Ratio*float64(b.totalRequests) + allowed.Constant - float64(b.totalExtra)
}
