package lookup

import (
	"math"
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
	window          time.Duration // the window of which the buckets are parts; 0 before the first use
	bucket          int64         // number of the current bucket, counted from start
	start           time.Time     // when bucket 0 began
}

// advance moves the window to the given time and returns the index of the current bucket. The caller holds the lock.
func (b *retryBudget) advance(now time.Time, allowed Allowance) int {
	switch {
	case b.window == 0:
		b.start, b.window = now, allowed.Window
	case b.window != allowed.Window:
		b.moveTo(now)
		b.changeWindow(now, allowed)
	}
	return b.moveTo(now)
}

// moveTo clears the buckets that have left the window and returns the index of the current one. The caller holds the
// lock.
func (b *retryBudget) moveTo(now time.Time) int {
	current := int64(now.Sub(b.start) / (b.window / windowBuckets))
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

// changeWindow divides what was counted among the buckets of a window of another length, so that what was spent stays
// spent until it has left that window. Within a bucket, requests count as made at its beginning and extra sends at its
// end. A longer window reaches back to a time of which nothing is known any more: the constant counts as spent at the end
// of that time. The caller holds the lock and has moved the former window to now.
func (b *retryBudget) changeWindow(now time.Time, allowed Allowance) {
	former := retryBudget{requests: b.requests, extra: b.extra, window: b.window, bucket: b.bucket, start: b.start}
	b.requests, b.extra = [windowBuckets + 1]int32{}, [windowBuckets + 1]int32{}
	b.totalRequests, b.totalExtra = 0, 0
	b.window, b.start, b.bucket = allowed.Window, now.Add(-allowed.Window), windowBuckets
	length := former.window / windowBuckets
	oldest := max(former.bucket-windowBuckets, 0)
	for number := oldest; number <= former.bucket; number++ {
		at := number % int64(len(former.requests))
		begin := former.start.Add(time.Duration(number) * length)
		b.add(begin, former.requests[at], 0)
		b.add(earlier(begin.Add(length), now), 0, former.extra[at])
	}
	if former.bucket > windowBuckets { // something was forgotten
		b.add(former.start.Add(time.Duration(oldest)*length), 0, int32(math.Ceil(allowed.Constant)))
	}
}

// add counts requests and extra sends at a time up to now; what was before the window does not count. The caller holds
// the lock.
func (b *retryBudget) add(at time.Time, requests, extra int32) {
	since := at.Sub(b.start)
	if since < 0 {
		return
	}
	index := min(int64(since/(b.window/windowBuckets)), b.bucket) % int64(len(b.requests))
	b.requests[index] += requests
	b.extra[index] += extra
	b.totalRequests += int(requests)
	b.totalExtra += int(extra)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// countRequest counts a caller's request for the service.
func (b *retryBudget) countRequest(now time.Time, allowed Allowance) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests[b.advance(now, allowed)]++
	b.totalRequests++
}

// take counts an extra send if the allowance permits it, and reports whether it does.
func (b *retryBudget) take(now time.Time, allowed Allowance) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.advance(now, allowed)
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
	b.advance(now, allowed)
	return float64(b.totalExtra), b.remaining(allowed)
}

// remaining returns how many more extra sends are allowed. The caller holds the lock.
func (b *retryBudget) remaining(allowed Allowance) float64 {
	return ratioMargin*allowed.Ratio*float64(b.totalRequests) + allowed.Constant - float64(b.totalExtra)
}
