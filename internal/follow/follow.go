// Package follow keeps a directory up to date with the platform's store: it lists once, then asks for changes after a
// short pause each time, and lists again where changes may have been missed.
//
// The pause bounds the calls: each replica changes its own entry at every heartbeat, so a watch without a pause would
// return at once every time. The Follower owns the directory; requests see only the views that it publishes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

// ErrHistoryGone is the error of Changes where the store no longer has the history after a revision.
var ErrHistoryGone = errors.New("the store has dropped the history")

// Source is the store.
type Source interface {
	// List returns everything that is there and a revision from which Changes goes on.
	List(ctx context.Context) ([]directory.Change, uint64, error)
	// Changes returns what changed after the revision, waiting up to wait for the first change, and the revision from
	// which to go on.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]directory.Change, uint64, error)
}

const (
	// longestWait bounds one call for changes. Replicas write more often than that, so that a call without any change
	// shows a store that withholds them.
	longestWait = 1500 * time.Millisecond
	// replyTimeout bounds the time of an answer beyond the wait; a slow store takes some hundred milliseconds.
	replyTimeout = 1200 * time.Millisecond
	// firstRetry doubles after each failure up to longestRetry. Calls are paid for also while the store refuses them.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// shortOutage is the longest failure of the store after which no registration can have lapsed.
	shortOutage = 500 * time.Millisecond
	// busyFleet is the number of replicas from which a call without any change is taken for a sign of missed changes.
	busyFleet = 4
)

// Follower follows one store.
type Follower struct {
	source  Source
	state   *directory.Directory
	publish func(*directory.View)
	// pause is the time between two calls.
	pause  time.Duration
	random *rand.Rand

	revision uint64
	listed   bool
	failures int
	// lost is when the store was last heard before the failures in progress.
	lost time.Time
}

// New returns a follower that publishes each altered view.
func New(source Source, pause time.Duration, random *rand.Rand, publish func(*directory.View)) *Follower {
	return &Follower{source: source, state: directory.New(), publish: publish, pause: pause, random: random}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil {
			f.failed(ctx, err)
		}
		f.sleep(ctx, f.untilNext())
	}
}

// untilNext returns the pause before the next call.
func (f *Follower) untilNext() time.Duration {
	if f.failures == 0 {
		return f.pause
	}
	longest := min(firstRetry<<min(f.failures-1, 10), longestRetry)
	return longest/2 + time.Duration(f.random.Int64N(int64(longest/2)))
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// round makes one call and takes what it brings.
func (f *Follower) round(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, longestWait+replyTimeout)
	defer cancel()
	changes, revision, err := f.source.Changes(bounded, f.revision, longestWait)
	if errors.Is(err, ErrHistoryGone) {
		klog.InfoS("Store history gone", "revision", f.revision)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f.heard(now)
	if len(changes) == 0 {
		// The position stays: the store may have withheld changes up to the revision that it reports.
		if f.state.Replicas() >= busyFleet {
			klog.InfoS("Store reported no change", "revision", f.revision, "waited", longestWait)
			return f.list(ctx)
		}
		return nil
	}
	f.revision = revision
	f.altered(f.state.Apply(changes, now), now)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	changes, revision, err := f.source.List(bounded)
	if err != nil {
		f.listed = false
		return err
	}
	now := time.Now()
	f.heard(now)
	f.listed, f.revision = true, revision
	f.altered(f.state.Replace(changes, now), now)
	return nil
}

func (f *Follower) altered(altered bool, now time.Time) {
	if dropped := f.state.Expire(now); dropped > 0 {
		klog.InfoS("Lapsed entries dropped", "entries", dropped, "revision", f.revision)
		altered = true
	}
	if !altered || !f.state.Ready() {
		return
	}
	view := f.state.View()
	klog.InfoS("View changed", "version", view.Table.Version(), "revision", f.revision, "replicas", f.state.Replicas(),
		"services", len(view.Replicas), "zones-out", view.ZonesOut, "instances", len(view.Instances))
	f.publish(view)
}

// heard records that the store answered.
func (f *Follower) heard(now time.Time) {
	if f.failures > 0 {
		outage := now.Sub(f.lost)
		klog.InfoS("Store regained", "failures", f.failures, "outage", outage, "revision", f.revision)
		if outage > shortOutage {
			f.state.Restored(now)
		}
	}
	f.failures = 0
	f.lost = now
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		klog.InfoS("Store lost", "err", err, "revision", f.revision)
	}
	f.failures++
}
