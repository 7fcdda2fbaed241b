package ratelimit

import (
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// minRetry and maxRetry bound the time after which an instance that got fewer tokens than it asked for may ask again.
	// The lower bound keeps the number of calls for a large customer independent of its limit. The upper one is how long
	// the shares take to follow the demand.
	minRetry, maxRetry = 50 * time.Millisecond, time.Second
	// maxWant is the largest number of tokens that is granted at once.
	maxWant = 4096
)

// bucket is the token bucket of an allocator's share of one limit. What the process granted before its start is not
// known, so that the bucket keeps two levels at first: level as if it had been empty at the start, for windows that
// include time before it, and later as if it had been full, for the others. From fullAt on only the second one counts.
type bucket struct {
	share
	level, later float64
	at, fullAt   time.Duration
	// graceUsed is set when the grace has been added.
	graceUsed bool
	// askers maps the instances that recently got fewer tokens than they asked for to the time of that.
	askers map[fleet.InstanceID]time.Duration
}

// newBucket returns a bucket that is full from fullAt on.
func newBucket(s share, now, fullAt time.Duration) *bucket {
	b := &bucket{share: s, later: s.capacity, at: now, fullAt: fullAt, askers: make(map[fleet.InstanceID]time.Duration)}
	if now >= fullAt {
		b.level = s.capacity
	}
	return b
}

// addGrace adds the grace of the share, once.
func (b *bucket) addGrace() {
	if !b.graceUsed {
		b.graceUsed = true
		b.level = min(b.level+b.grace, b.later)
	}
}

// refill brings the levels up to date and applies the share, which may have changed.
func (b *bucket) refill(s share, now time.Duration) {
	added := b.rate * max(0, now-b.at).Seconds()
	b.share = s
	b.later = min(b.later+added, s.capacity)
	b.level = min(b.level+added, s.capacity)
	if now >= b.fullAt {
		b.level = b.later
	}
	b.at = max(b.at, now)
}

// take grants up to want tokens. If it grants fewer, next is the time after which the asker may ask again: at that rate
// all instances that lack tokens get one each time.
func (b *bucket) take(asker fleet.InstanceID, want int, now time.Duration) (granted int, next time.Duration) {
	granted = max(0, min(want, maxWant, int(b.level+1e-9)))
	b.level -= float64(granted)
	b.later -= float64(granted)
	if granted >= want {
		delete(b.askers, asker)
		return granted, 0
	}
	b.askers[asker] = now
	for id, asked := range b.askers {
		if now-asked > 2*maxRetry {
			delete(b.askers, id)
		}
	}
	turn := maxRetry
	if b.rate > 0 {
		turn = min(maxRetry, seconds(float64(len(b.askers))/b.rate))
	}
	return granted, max(minRetry, turn, min(b.untilToken(now), 2*maxRetry))
}

// untilToken returns the time until the bucket has a whole token.
func (b *bucket) untilToken(now time.Duration) time.Duration {
	if b.level+1e-9 >= 1 {
		return 0
	}
	wait := time.Duration(math.MaxInt64)
	if b.rate > 0 {
		wait = seconds((1 - b.level) / b.rate)
	}
	if b.later >= 1 && now < b.fullAt {
		wait = min(wait, b.fullAt-now)
	}
	return wait
}

// full reports whether the bucket is in the state of a new one, so that it can be forgotten.
func (b *bucket) full(now time.Duration) bool { return now >= b.fullAt && b.level >= b.capacity }

// seconds converts a number of seconds, at most a day.
func seconds(s float64) time.Duration { return time.Duration(min(s, 86400) * float64(time.Second)) }
