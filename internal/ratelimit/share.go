// Package ratelimit limits the requests of each customer over all instances together.
//
// The limit of a customer is divided into fixed shares among a few instances, its allocators, which an assignment in the
// store names. An allocator keeps a token bucket for its share and grants tokens that expire after a part of a second. An
// instance that has no token for a request asks an allocator, one of its own zone first. Because shares never move
// without waiting, no failure of an instance, a link or the store lets the sum exceed the limit; docs/design/customer-limits.md
// has the reasons. Decisions are functions of values and of the time. The package opens no sockets.
package ratelimit

import (
	"time"
)

// Bounds say how closely the limits must be kept: in any Window, a customer may have at most
// (rate x Window + burst) x (1 + Overage) + Tolerance requests over all instances together.
type Bounds struct {
	Window             time.Duration
	Overage, Tolerance float64
}

const (
	// minTokenTTL and maxTokenTTL bound the life of a token. Tokens that are granted before a window and used in it count
	// as overage, so a longer life leaves less of that; a shorter one costs more calls.
	minTokenTTL, maxTokenTTL = 50 * time.Millisecond, 500 * time.Millisecond
	// maxAllocators is the largest number of allocators of a customer. When half of the instances are lost, one customer in
	// 32 loses all five. A customer with a small limit has fewer, each with minShare requests at least, because a request
	// that finds several empty shares one after the other comes late.
	maxAllocators = 5
	minShare      = 3
	// graceRatio is the part of the tolerance that is kept for the time after a start of the allocators, when they do not
	// know what they granted before, less what the rate gives in graceTime. Without it, customers with small limits are
	// refused for seconds after all instances were restarted.
	graceRatio = 0.5
	graceTime  = time.Second
)

// tokenTTL is the time after which a token expires: as long as the overage can pay for.
func (b Bounds) tokenTTL() time.Duration {
	return max(minTokenTTL, min(time.Duration(b.Overage*float64(b.Window)), maxTokenTTL))
}

// memory is the time after which a granted token can no longer be part of the same window as a new one.
func (b Bounds) memory() time.Duration { return b.Window + b.tokenTTL() }

// share is what one allocator may grant of a customer's limit: capacity requests at once, and rate a second.
type share struct {
	rate, capacity float64
	// grace is what it may grant besides after a start, once in the time that a window remembers.
	grace float64
	// allocators is the number of allocators that have such a share.
	allocators int
}

// newShare divides a limit among at most the given number of allocators. The shares of all of them together are the
// rate, and the burst with what overage and tolerance leave above the tokens that outlive their window.
func (b Bounds) newShare(rate, burst float64, allocators int) share {
	window, memory := b.Window.Seconds(), b.memory().Seconds()
	total := (rate*window+burst)*(1+b.Overage) + b.Tolerance
	grace := max(0, b.Tolerance*graceRatio-rate*graceTime.Seconds())
	capacity := min(total-rate*memory, burst*(1+b.Overage)+b.Tolerance) - grace
	if capacity < 1 {
		// A bucket must hold a whole request, which is paid for by the rate.
		grace, capacity = 0, min(1, total)
		rate = max(0, total-capacity) / memory
	}
	n := max(1, min(allocators, int(capacity/minShare)))
	return share{rate: rate / float64(n), capacity: capacity / float64(n), grace: grace / float64(n), allocators: n}
}
