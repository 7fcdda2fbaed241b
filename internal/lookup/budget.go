package lookup

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the resolution of the sliding window: a tenth of a second of a window of ten.
	windowBuckets = 100
	// ratioMargin is the part of the allowed ratio that is used. The window of the bound slides freely, ours moves by
	// buckets, and sends arrive later than they are counted.
	ratioMargin = 0.9
)

// Allowance bounds the extra sends to one service: in any window, Ratio of the requests and Extra more, over all
// instances together.
type Allowance struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
}

// share returns the allowance of one of several instances. The ratio holds for each instance's own requests, so only the
// constant is divided.
func (a Allowance) share(instances int) Allowance {
	a.Extra /= float64(max(instances, 1))
	return a
}

// budget counts the requests for one service and the extra sends to it in a sliding window. It answers faults that hit
// every request at once: retries and hedges must not multiply the load of a service that is already failing.
type budget struct {
	mutex           sync.Mutex
	requests, extra [windowBuckets + 1]int32
	allRequests     int
	allExtra        int
	bucket          int64
	start           time.Time
}

func (b *budget) advance(now time.Time, window time.Duration) int {
	if b.start.IsZero() {
		b.start = now
	}
	current := int64(now.Sub(b.start) / (window / windowBuckets))
	for gone := 0; b.bucket < current && gone <= windowBuckets; gone++ {
		b.bucket++
		at := b.bucket % int64(len(b.requests))
		b.allRequests -= int(b.requests[at])
		b.allExtra -= int(b.extra[at])
		b.requests[at], b.extra[at] = 0, 0
	}
	b.bucket = max(b.bucket, current)
	return int(b.bucket % int64(len(b.requests)))
}

// request counts a caller's request for the service.
func (b *budget) request(now time.Time, allowed Allowance) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests[b.advance(now, allowed.Window)]++
	b.allRequests++
}

// take counts an extra send if the allowance has room for it.
func (b *budget) take(now time.Time, allowed Allowance) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.advance(now, allowed.Window)
	if b.left(allowed) < 1 {
		return false
	}
	b.extra[at]++
	b.allExtra++
	return true
}

// refund takes back an extra send that never left this process.
func (b *budget) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := b.bucket % int64(len(b.extra))
	b.extra[at]--
	b.allExtra--
}

// state returns the extra sends in the window, and how many more are allowed.
func (b *budget) state(now time.Time, allowed Allowance) (spent, left float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now, allowed.Window)
	return float64(b.allExtra), b.left(allowed)
}

func (b *budget) left(allowed Allowance) float64 {
	return ratioMargin*allowed.Ratio*float64(b.allRequests) + allowed.Extra - float64(b.allExtra)
}
