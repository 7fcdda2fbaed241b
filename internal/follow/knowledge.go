package follow

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

const (
	// waitDivisor divides the bound on the age of the knowledge; the quotient is the longest wait for changes at the
	// store. An answer proves nothing later than the moment at which the call was sent, so a long wait makes it old.
	waitDivisor = 10
	// minStoreTimeout is the shortest time in which the store must answer while the knowledge is about to become too old
	// and peers have to be asked before that.
	minStoreTimeout = 300 * time.Millisecond
	// maxPeersAsked is the number of peers that are asked one after the other when the store does not answer and the
	// knowledge is old.
	maxPeersAsked = 3
	// shortestStoreWait is the wait for changes of a call that has to show at once that nothing has changed.
	shortestStoreWait = time.Millisecond
	// minRefreshInterval is the shortest time between two calls that Refresh causes. A store that answers may still prove
	// nothing, as long as its configuration cannot be used here, and each refused request asks for a call.
	minRefreshInterval = time.Second
)

// unknownTime is the time up to which nothing is known.
const unknownTime = time.Duration(math.MinInt64)

// knowledge is up to which moment the configuration in force here is known to be the store's newest one.
//
// An answer of the store proves its state only as of the moment at which the call was sent: it may have waited in the
// store, on the link or in a socket of this machine. An answer of a peer proves what the peer knows, counted from the
// moment at which it received the call, which is no earlier than the one at which the call was sent. All times are of a
// clock that counts the time in which the machine is suspended.
type knowledge struct {
	// asOf is written under the journal's mutex, after the view that belongs to it has been published.
	asOf        atomic.Int64
	nextAttempt atomic.Int64
	refreshedAt atomic.Int64
	// shared is set if all peers that were asked last answered and knew nothing newer that is recent enough.
	shared atomic.Bool
	// unusable is set while the store has a configuration that this instance, or the peer that it asked, cannot use.
	unusable atomic.Bool
	refresh  chan struct{}
}

func newKnowledge() *knowledge {
	k := &knowledge{refresh: make(chan struct{}, 1)}
	k.asOf.Store(int64(unknownTime))
	k.refreshedAt.Store(int64(-minRefreshInterval))
	return k
}

// KnownAsOf returns the time of the clock up to which the configuration in force here is known to be the newest; false
// if nothing is known. It is safe for concurrent use.
func (f *Follower) KnownAsOf() (time.Duration, bool) {
	asOf := time.Duration(f.knowledge.asOf.Load())
	return asOf, asOf != unknownTime
}

// NextAttempt returns the time of the clock of the next call for changes. It is safe for concurrent use.
func (f *Follower) NextAttempt() time.Duration { return time.Duration(f.knowledge.nextAttempt.Load()) }

// Refresh ends the pause after a call that succeeded: the machine may have been suspended since, for a time that the
// pause did not count. After a failed call the pause stays, so that a store that refuses calls does not get more of them.
// It does not block and is safe for concurrent use.
func (f *Follower) Refresh() {
	now, last := int64(f.Clock()), f.knowledge.refreshedAt.Load()
	if now-last < int64(minRefreshInterval) || !f.knowledge.refreshedAt.CompareAndSwap(last, now) {
		return
	}
	select {
	case f.knowledge.refresh <- struct{}{}:
	default:
	}
}

// Shared reports whether the peers that were asked last knew nothing newer either. It is safe for concurrent use.
func (f *Follower) Shared() bool { return f.knowledge.shared.Load() }

// age returns the age of the knowledge; a year if there is none.
func (f *Follower) age() time.Duration {
	if asOf, known := f.KnownAsOf(); known {
		return f.Clock() - asOf
	}
	return maxMessageTime
}

// confirm records that the state that has been published is the store's as of the time, and wakes the peers that wait
// for it if the age is bounded.
func (f *Follower) confirm(asOf time.Duration) {
	k := f.knowledge
	if k.unusable.Load() || asOf == unknownTime {
		return
	}
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if asOf = min(asOf, f.Clock()); asOf <= time.Duration(k.asOf.Load()) {
		return
	}
	k.asOf.Store(int64(asOf))
	k.shared.Store(false)
	if f.MaxAge > 0 {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

// observeUsable keeps the knowledge from advancing while the store has a configuration that cannot be used here: the one
// in force may hold keys that were taken away.
func (f *Follower) observeUsable(changes []directory.Change) {
	for i := range changes {
		if changes[i].Table != nil || changes[i].UnusableTable {
			f.setUnusable(changes[i].UnusableTable)
		}
	}
}

func (f *Follower) setUnusable(unusable bool) {
	if f.knowledge.unusable.Swap(unusable) != unusable {
		klog.InfoS("Newest configuration usable", "usable", !unusable, "revision", f.position().Revision)
	}
}

// storeWait returns how long the store may wait for a change before it answers.
func (f *Follower) storeWait() time.Duration {
	asOf, _ := f.KnownAsOf()
	switch {
	case f.isOld(asOf):
		return shortestStoreWait
	case f.MaxAge > 0:
		return f.longestStoreWait()
	}
	return maxWait
}

// longestStoreWait returns the longest wait for changes if the age of the knowledge is bounded.
func (f *Follower) longestStoreWait() time.Duration { return min(maxWait, f.MaxAge/waitDivisor) }

// storeCallTimeout returns the time in which a call for changes must be answered. While the knowledge becomes old, time
// is left to ask peers.
func (f *Follower) storeCallTimeout() time.Duration {
	longest := f.storeWait() + storeTimeout
	left := f.MaxAge - f.age() - peerTimeout
	if f.MaxAge == 0 || left <= 0 {
		return longest
	}
	return max(minStoreTimeout, min(longest, left/2))
}

// isOld reports whether a peer must know something newer than the time to be of use. What the reader knows gets as old
// as one whole call, the pause and the next call.
func (f *Follower) isOld(asOf time.Duration) bool {
	return f.MaxAge > 0 && (asOf == unknownTime || f.Clock()-asOf > f.PollInterval+2*f.longestStoreWait()+peerAgeMargin)
}

// fetch requests an update from a peer and returns up to which time of this instance's clock it is complete.
func (f *Follower) fetch(ctx context.Context, peer directory.Instance, after Position, wait time.Duration) (Update, time.Duration, error) {
	sent := f.Clock()
	update, err := f.Peers.FetchUpdate(ctx, peer.PeerAddress, after, wait)
	if err != nil || !update.Known {
		return update, unknownTime, err
	}
	return update, sent + update.KnownSinceRequest, nil
}

// refreshFromPeers asks peers of any zone while the store does not answer this instance, until one of them knows
// something recent.
func (f *Follower) refreshFromPeers(ctx context.Context) {
	asked, answered := 0, 0
	for asked < maxPeersAsked {
		asked++
		if f.pollAnyPeer(ctx) {
			answered++
		}
		if asOf, _ := f.KnownAsOf(); !f.isOld(asOf) {
			return
		}
	}
	f.knowledge.shared.Store(f.MaxAge > 0 && answered == asked)
}
