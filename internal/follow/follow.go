// Package follow keeps a directory up to date with the platform's store.
//
// In each availability zone one instance reads the store: it lists once, then asks for changes after a short pause each
// time, and lists again where changes may have been missed. The others ask that instance, so that the store's calls grow
// with the zones; an instance whose source fails asks the store itself, and where the store does not answer it either,
// any other peer. The Follower owns the directory; requests see only the views that it publishes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// ErrHistoryGone is the error of Changes where the store no longer has the history after a revision.
var ErrHistoryGone = errors.New("the store has dropped the history")

// Source is the store.
type Source interface {
	// List returns everything that is there and a revision from which Changes goes on.
	List(ctx context.Context) ([]directory.Change, uint64, error)
	// Changes returns what changed after the revision, waiting up to wait for the first change, and the revision from
	// which to go on. more is set where the answer was full and the next one is there already.
	Changes(ctx context.Context, after uint64, wait time.Duration) (changes []directory.Change, revision uint64, more bool, err error)
}

// Peers asks other instances for news.
type Peers interface {
	News(ctx context.Context, address string, after uint64, wait time.Duration) (News, error)
	Departures(ctx context.Context, address string) ([]directory.Departure, error)
}

const (
	// longestWait bounds one call for changes, and with it the time until a silent connection shows.
	longestWait = time.Second
	// replyTimeout bounds the time of an answer beyond the wait; a slow store takes some hundred milliseconds.
	replyTimeout = 1200 * time.Millisecond
	// peerTimeout bounds the time of a peer's answer beyond the wait: a few round trips, and a busy processor.
	peerTimeout = 400 * time.Millisecond
	// freshMargin is the time beyond its pause and its longest call after which a reader is taken to have lost the store.
	// With the shortest bounds known, 3 s, a change is then in force 0.6 s before its bound.
	freshMargin = 300 * time.Millisecond
	// leastPatience is the shortest wait that a peer is asked for.
	leastPatience = 50 * time.Millisecond
	// peerPause is how long a peer that failed is not asked again.
	peerPause = 3 * time.Second
	// firstRetry doubles after each failure up to longestRetry. Calls are paid for also while the store refuses them.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// lapseMargin shortens the time after which registrations may have lapsed: where the store only refuses this instance,
	// peers have heard it up to a pause, a call and a retry ago.
	lapseMargin = 400 * time.Millisecond
)

// Options are what a Follower is made of.
type Options struct {
	Self   directory.Instance
	Source Source
	Peers  Peers
	// Seeds are addresses of instances that may be running. An instance that knows no peer yet asks them while the store does not
	// answer it.
	Seeds []string
	// Pause is the time between two calls to the store.
	Pause time.Duration
	// Lapse is the time without a heartbeat after which the store drops a registration.
	Lapse   time.Duration
	Random  *rand.Rand
	Publish func(*directory.View)
}

// Follower follows one store.
type Follower struct {
	Options
	journal *journal
	// The rest is used by Run only.
	listed   bool
	failures int
	// recalls counts the calls for departures since the start.
	recalls int
	// direct is when the store answered this instance last, before the failures in progress.
	direct time.Time
	// passed maps peers to the time until which they are not asked.
	passed map[fleet.InstanceID]time.Time
	// peerHeard is when peers heard the store last, by what they said.
	peerHeard map[fleet.InstanceID]time.Time
	source    fleet.InstanceID
}

// New returns a follower that publishes each altered view.
func New(options Options) *Follower {
	return &Follower{Options: options, journal: newJournal(), passed: make(map[fleet.InstanceID]time.Time), peerHeard: make(map[fleet.InstanceID]time.Time)}
}

// News answers a peer. It is safe for concurrent use.
func (f *Follower) News(ctx context.Context, after uint64, wait time.Duration) News {
	return f.journal.since(ctx, after, min(wait, longestWait))
}

// Heard returns when this instance heard the store last, directly or through peers; zero if never. It is safe for
// concurrent use.
func (f *Follower) Heard() time.Time {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.heard
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.sleep(ctx, f.untilExpiry(f.safeRound(ctx)))
		f.dropLapsed()
	}
}

// untilExpiry shortens a pause to the moment at which an entry lapses.
func (f *Follower) untilExpiry(pause time.Duration) time.Duration {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	if until, waiting := f.journal.state.NextExpiry(); waiting {
		return min(pause, max(0, time.Until(until)))
	}
	return pause
}

func (f *Follower) dropLapsed() {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	if f.expire(time.Now()) {
		f.show(f.journal.revision)
	}
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// safeRound is round, but for a panic over what the store or a peer said. What is known by then is listed again.
func (f *Follower) safeRound(ctx context.Context) (pause time.Duration) {
	defer panics.Recover("follow the store", func() {
		f.listed = false
		pause = longestRetry
	})
	return f.round(ctx)
}

// round asks the source of this instance and returns the pause before the next round.
func (f *Follower) round(ctx context.Context) time.Duration {
	now := time.Now()
	if reader, ok := f.reader(now); ok {
		f.changeSource(reader.ID)
		if f.ask(ctx, reader) {
			return 0
		}
	}
	f.changeSource(f.Self.ID)
	more, err := f.read(ctx)
	if err == nil {
		if more {
			return 0
		}
		return f.Pause
	}
	f.failed(ctx, err)
	f.askAnyone(ctx)
	return f.backoff()
}

func (f *Follower) changeSource(id fleet.InstanceID) {
	if f.source != id {
		klog.InfoS("Source of changes", "former", f.source, "instance", id, "store", id == f.Self.ID)
		f.source = id
	}
}

func (f *Follower) backoff() time.Duration {
	longest := min(firstRetry<<min(max(f.failures-1, 0), 10), longestRetry)
	return longest/2 + time.Duration(f.Random.Int64N(int64(longest/2)))
}

// read makes one call to the store and takes what it brings.
func (f *Follower) read(ctx context.Context) (more bool, err error) {
	if !f.listed {
		return false, f.list(ctx)
	}
	revision := f.revision()
	bounded, cancel := context.WithTimeout(ctx, longestWait+replyTimeout)
	defer cancel()
	changes, next, more, err := f.Source.Changes(bounded, revision, longestWait)
	if errors.Is(err, ErrHistoryGone) {
		klog.InfoS("Store history gone", "revision", revision)
		return false, f.list(ctx)
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	f.heard(now)
	if len(changes) == 0 {
		// The position stays, so that changes that were withheld are asked for again, or their history is gone.
		if next > revision {
			klog.InfoS("Store withheld changes", "revision", revision, "at", next)
			return false, f.list(ctx)
		}
		f.take(nil, false, revision, 0)
		return false, nil
	}
	f.take(changes, false, next, 0)
	return more, nil
}

func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	changes, revision, err := f.Source.List(bounded)
	if err != nil {
		f.listed = false
		return err
	}
	f.heard(time.Now())
	f.listed = true
	f.take(changes, true, revision, 0)
	f.recall(ctx)
	return nil
}

func (f *Follower) revision() uint64 {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.revision
}

// take puts changes into the directory, as the store had them some time ago, and publishes the view if it is another one.
func (f *Follower) take(changes []directory.Change, whole bool, revision uint64, age time.Duration) {
	now := time.Now()
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var altering []directory.Change
	if whole {
		altering = j.state.Replace(changes, now)
	} else {
		altering = j.state.Apply(changes, now)
	}
	expired := f.expire(now)
	j.revision = max(j.revision, revision)
	if heard := now.Add(-age); heard.After(j.heard) {
		j.heard = heard
	}
	j.record(altering, j.revision)
	if whole {
		j.restart()
	}
	if len(altering) > 0 || expired {
		f.show(revision)
	}
}

// expire drops what has lapsed. The caller holds the journal's mutex.
func (f *Follower) expire(now time.Time) bool {
	before := f.journal.state.Replicas()
	expired := f.journal.state.Expire(now)
	if dropped := before - f.journal.state.Replicas(); dropped > 0 {
		klog.InfoS("Lapsed entries dropped", "entries", dropped, "revision", f.journal.revision)
	}
	return expired
}

// show publishes the view. The caller holds the journal's mutex.
func (f *Follower) show(revision uint64) {
	j := f.journal
	if !j.state.Ready() {
		return
	}
	view := j.state.View()
	klog.InfoS("View changed", "version", view.Table.Version(), "revision", revision, "replicas", j.state.Replicas(),
		"services", len(view.Replicas), "zones-out", view.ZonesOut, "instances", len(view.Instances), "source", f.source)
	f.Publish(view)
}

// heard records that the store answered this instance. Registrations may have lapsed if no instance heard the store for
// long; a store that only refused this one went on with the heartbeats of the replicas.
func (f *Follower) heard(now time.Time) {
	if f.failures > 0 {
		f.journal.mutex.Lock()
		away := now.Sub(f.journal.heard)
		if away > f.Lapse-lapseMargin {
			f.journal.state.Restored(now)
		}
		f.journal.mutex.Unlock()
		klog.InfoS("Store regained", "failures", f.failures, "outage", now.Sub(f.direct), "unheard-by-all", away)
	}
	f.failures = 0
	f.direct = now
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		klog.InfoS("Store lost", "err", err, "revision", f.revision())
	}
	f.failures++
}
