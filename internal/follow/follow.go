// Package follow keeps a directory up to date with the platform's store.
//
// In each availability zone one instance, the reader, polls the store: it lists the store once, then requests the
// changes since, and lists again if it may have missed changes. The other instances of the zone poll the reader, so
// that the number of calls to the store grows with the number of zones. An instance whose reader fails polls the store
// itself, and if the store does not answer it either, it asks any other peer. The Follower owns the directory; requests
// see only the views that it publishes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
	"github.com/medlarlatch/medlarlatch/internal/uptime"
)

// ErrHistoryGone is returned by Source.Changes if the store no longer has the changes after the requested revision.
var ErrHistoryGone = errors.New("store no longer has the changes after the requested revision")

// ErrAnswerTooLarge is returned by Source.Changes and Peers.FetchUpdate if the answer exceeds the bound on its size. The
// same question would only get a larger answer.
var ErrAnswerTooLarge = errors.New("answer exceeds the bound on its size")

// Source reads the store.
type Source interface {
	// List returns everything in the store and the position after which Changes continues.
	List(ctx context.Context) ([]directory.Change, Position, error)
	// Changes returns what changed after a revision and the position after which to continue. It waits up to wait for
	// the first change. more is set if the answer was cut off at its size limit, so that further changes can be
	// requested at once. The changes are worthless if the position is of another era than the revision.
	Changes(ctx context.Context, after uint64, wait time.Duration) (changes []directory.Change, position Position, more bool, err error)
}

// Peers calls other instances.
type Peers interface {
	// FetchUpdate returns what changed at the peer after a position. The peer waits up to wait for the first change.
	FetchUpdate(ctx context.Context, address string, after Position, wait time.Duration) (Update, error)
	// FetchDepartures returns the replicas that the peer knows to be draining or removed.
	FetchDepartures(ctx context.Context, address string) ([]directory.Departure, error)
}

const (
	// maxWait bounds the wait of one call for changes, and with it the time until a connection that has gone silent is
	// noticed.
	maxWait = time.Second
	// storeTimeout is the time beyond the wait in which the store must answer; a slow store takes several hundred ms.
	storeTimeout = 1200 * time.Millisecond
	// peerTimeout is the time beyond the wait in which a peer must answer; it allows for a few round trips and a busy
	// processor.
	peerTimeout = 400 * time.Millisecond
	// peerAgeMargin is added to the poll interval and the longest wait for changes: a peer whose last contact with the
	// store is older than the sum is considered to have lost the store. The shortest known bound on the time until a
	// change is in force is 3 s; with this margin a change is in force 0.6 s before that.
	peerAgeMargin = 300 * time.Millisecond
	// minPeerWait is the shortest wait that a peer is asked for.
	minPeerWait = 50 * time.Millisecond
	// peerRetryInterval is how long a peer that failed is not asked again.
	peerRetryInterval = 3 * time.Second
	// minRetryInterval is the longest pause after the first failed call to the store. It doubles with each further
	// failure up to maxRetryInterval, because calls are paid for even while the store refuses them.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = time.Second
	// expiryMargin is subtracted from the time without the store after which registrations may have expired. If the
	// store refuses only this instance, what this instance knows of its peers' last contact with the store may be old
	// by up to a poll interval, a call and a retry.
	expiryMargin = 400 * time.Millisecond
)

// Options configure a Follower.
type Options struct {
	Self   directory.Instance
	Source Source
	Peers  Peers
	// Seeds are addresses of instances that may be running. An instance that knows no peers yet asks them if the store
	// does not answer it.
	Seeds []string
	// PollInterval is the time between two calls to the store.
	PollInterval time.Duration
	// MaxAge is the largest age that the knowledge of the configuration may reach; 0 means that it does not matter.
	MaxAge time.Duration
	// Clock returns a time that also counts how long the machine was suspended; nil means uptime.Now.
	Clock func() time.Duration
	// RegistrationTTL is the time without a heartbeat after which the store drops a registration.
	RegistrationTTL time.Duration
	Random          *rand.Rand
	OnViewChanged   func(*directory.View)
	// OnStoreRestored is called with the store's era when this instance learns that the store has been restored from a
	// copy, and has lost what this instance wrote after the copy was made; nil to ignore it.
	OnStoreRestored func(era uint64)
	// OnSelfRead is called after each read with what the store has at the position in place of this instance's
	// registration; registered is false if it has none. Nil to ignore it. It must not block.
	OnSelfRead func(self directory.Instance, registered bool, at Position)
}

// Follower keeps one instance's directory up to date.
type Follower struct {
	Options
	journal   *journal
	knowledge *knowledge
	// Only Run uses the fields below.

	// synced is set while the journal's position can be used to request changes, so that the store need not be listed
	// first.
	synced   bool
	failures int
	// peerRecoveries counts the peers that were asked since the start for what the list of the store lacks.
	peerRecoveries int
	// lastStoreAnswer is when the store last answered this instance.
	lastStoreAnswer time.Time
	// skipUntil maps peers that failed to the time until which they are not asked.
	skipUntil map[fleet.InstanceID]time.Time
	// peerStoreContact maps peers to the time of their last contact with the store, as their answers gave it.
	peerStoreContact map[fleet.InstanceID]time.Time
	// polledInstance is the instance from which changes come: the reader, or this instance while it polls the store.
	polledInstance fleet.InstanceID
}

// New returns a follower that publishes each changed view.
func New(options Options) *Follower {
	if options.Clock == nil {
		options.Clock = uptime.Now
	}
	return &Follower{Options: options, journal: newJournal(), knowledge: newKnowledge(), skipUntil: make(map[fleet.InstanceID]time.Time), peerStoreContact: make(map[fleet.InstanceID]time.Time)}
}

// UpdateSince returns what a peer that knows the state at a position does not have yet; it waits up to wait for the
// first change. It is safe for concurrent use.
func (f *Follower) UpdateSince(ctx context.Context, after Position, wait time.Duration) Update {
	arrived := f.Clock()
	update := f.journal.waitForUpdate(ctx, after, min(wait, maxWait), f.KnownAsOf)
	if update.KnownSinceRequest -= arrived; !update.Known {
		update.KnownSinceRequest = 0
	}
	update.Unusable = f.knowledge.unusable.Load()
	return update
}

// LastStoreContact returns the time of the last contact with the store, direct or through peers; zero if there was
// none. It is safe for concurrent use.
func (f *Follower) LastStoreContact() time.Time {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.lastStoreContact
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.limitToNextRemoval(f.pollSafely(ctx))
		f.knowledge.nextAttempt.Store(int64(f.Clock() + pause))
		f.sleep(ctx, pause)
		f.expireAndPublish()
	}
}

// limitToNextRemoval shortens a pause so that it ends when the next expired registration is to be removed.
func (f *Follower) limitToNextRemoval(pause time.Duration) time.Duration {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	if until, waiting := f.journal.state.NextRemoval(); waiting {
		return min(pause, max(0, time.Until(until)))
	}
	return pause
}

func (f *Follower) expireAndPublish() {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	if f.expireRegistrations(time.Now()) {
		f.publishView()
	}
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	refresh := f.knowledge.refresh
	if f.failures > 0 {
		refresh = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-refresh:
	}
}

// pollSafely calls poll and recovers from a panic over input from the store or a peer. The next call lists the store
// again.
func (f *Follower) pollSafely(ctx context.Context) (pause time.Duration) {
	defer panics.Recover("follow the store", func() {
		f.synced = false
		pause = maxRetryInterval
	})
	return f.poll(ctx)
}

// poll asks the reader of the zone or the store for changes, and returns the pause before the next poll.
func (f *Follower) poll(ctx context.Context) time.Duration {
	now := time.Now()
	if reader, ok := f.remoteReader(now); ok {
		f.setPolledInstance(reader.ID)
		if f.pollPeer(ctx, reader) {
			return 0
		}
	}
	f.setPolledInstance(f.Self.ID)
	more, err := f.pollStore(ctx)
	if err == nil {
		if more {
			return 0
		}
		return f.PollInterval
	}
	f.storeFailed(ctx, err)
	f.refreshFromPeers(ctx)
	return f.backoff()
}

func (f *Follower) setPolledInstance(id fleet.InstanceID) {
	if f.polledInstance != id {
		klog.InfoS("Source of changes switched", "former", f.polledInstance, "instance", id, "store", id == f.Self.ID)
		f.polledInstance = id
	}
}

func (f *Follower) backoff() time.Duration {
	longest := min(minRetryInterval<<min(max(f.failures-1, 0), 10), maxRetryInterval)
	return longest/2 + time.Duration(f.Random.Int64N(int64(longest/2)))
}

// pollStore makes one call to the store and applies the answer. more reports whether the next changes can be requested
// at once.
func (f *Follower) pollStore(ctx context.Context) (more bool, err error) {
	if !f.synced {
		return false, f.listStore(ctx)
	}
	known, sent := f.position(), f.Clock()
	callCtx, cancel := context.WithTimeout(ctx, f.storeCallTimeout())
	defer cancel()
	changes, next, more, err := f.Source.Changes(callCtx, known.Revision, f.storeWait())
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrAnswerTooLarge) {
		klog.InfoS("Store does not give the changes, listing again", "revision", known.Revision, "err", err)
		return false, f.listStore(ctx)
	}
	if err != nil {
		return false, err
	}
	if err := formerEraError(next, known); err != nil {
		return false, err
	}
	if next.Era != known.Era {
		klog.InfoS("Changes are of another history, listing again", "revision", known.Revision, "era", known.Era, "at", next.Revision, "at-era", next.Era)
		return false, f.listStore(ctx)
	}
	f.storeAnswered(time.Now())
	if len(changes) == 0 {
		// The position stays as it is, so that changes that the store withheld are requested again unless their history
		// is gone.
		if next.Revision > known.Revision {
			klog.InfoS("Store withheld changes, listing again", "revision", known.Revision, "at", next.Revision)
			return false, f.listStore(ctx)
		}
		if next.Revision < known.Revision {
			klog.InfoS("Store is at an earlier revision, listing again", "revision", known.Revision, "at", next.Revision)
			return false, f.listStore(ctx)
		}
		f.apply(nil, false, known, 0)
		f.confirm(sent)
		return false, nil
	}
	f.observeUsable(changes)
	f.apply(changes, false, next, 0)
	if !more {
		f.confirm(sent)
	}
	return more, nil
}

// formerEraError returns an error if the answer of the store is from an era before the known one. An answer that does
// not name its era cannot be told to be older.
func formerEraError(answer, known Position) error {
	if answer.Era != 0 && answer.Era < known.Era {
		return eris.Errorf("store answered from the former era %d; the latest known one is %d", answer.Era, known.Era)
	}
	return nil
}

func (f *Follower) listStore(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := f.Clock()
	changes, listed, err := f.Source.List(callCtx)
	known := f.position()
	if err == nil {
		err = formerEraError(listed, known)
	}
	if err != nil {
		f.synced = false
		return err
	}
	f.storeAnswered(time.Now())
	f.synced = true
	klog.InfoS("Store listed", "revision", listed.Revision, "era", listed.Era, "former", known.Revision, "entries", len(changes))
	// Without an era, only a revision that went back tells that the store was restored.
	listed.Era = max(listed.Era, known.Era)
	f.observeUsable(changes)
	f.apply(changes, true, listed, 0)
	if listed.Era == 0 {
		f.confirm(sent)
	}
	f.recoverFromPeer(ctx)
	// A store that names its era may have been restored from a copy that lacks the newest configuration. Peers have it.
	f.confirm(sent)
	return nil
}

func (f *Follower) position() Position {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.position
}

// storeRestored records that the store has been restored from a copy, if the full state at the position shows so. The
// caller holds the journal's mutex.
func (f *Follower) storeRestored(at Position, now time.Time) {
	known := f.journal.position
	if known.Revision == 0 || at.Era == known.Era && at.Revision >= known.Revision {
		return
	}
	klog.InfoS("Store restored from a copy", "era", at.Era, "former", known.Era, "revision", at.Revision, "former-revision", known.Revision)
	f.journal.state.StoreRestored(now)
	if f.OnStoreRestored != nil {
		f.OnStoreRestored(at.Era)
	}
}

// apply applies changes to the directory and publishes the view if it changed. full says that the changes are a full
// list; age is how long ago they were current in the store.
func (f *Follower) apply(changes []directory.Change, full bool, position Position, age time.Duration) {
	now := time.Now()
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var effective []directory.Change
	if full {
		f.storeRestored(position, now)
		effective = j.state.Replace(changes, now)
	} else {
		effective = j.state.Apply(changes, now)
	}
	expired := f.expireRegistrations(now)
	former := j.position.Revision
	if full || j.position.Before(position) {
		j.position = position
	}
	if contact := now.Add(-age); contact.After(j.lastStoreContact) {
		j.lastStoreContact = contact
	}
	if f.OnSelfRead != nil {
		self, registered := j.state.RegisteredInstance(f.Self.ID)
		f.OnSelfRead(self, registered, j.position)
	}
	j.record(effective, former, j.position.Revision)
	if full {
		j.discardEntries()
	}
	if len(effective) > 0 || expired {
		f.publishView()
	}
}

// expireRegistrations removes the replicas and instances whose retention has ended and reports whether the view
// changed. The caller holds the journal's mutex.
func (f *Follower) expireRegistrations(now time.Time) bool {
	before := f.journal.state.ReplicaCount()
	expired := f.journal.state.Expire(now)
	if removed := before - f.journal.state.ReplicaCount(); removed > 0 {
		klog.InfoS("Expired registrations removed", "entries", removed, "revision", f.journal.position.Revision)
	}
	return expired
}

// publishView publishes the current view. The caller holds the journal's mutex.
func (f *Follower) publishView() {
	j := f.journal
	if !j.state.Ready() {
		return
	}
	view := j.state.View()
	klog.InfoS("View changed", "version", view.Table.Version(), "revision", j.position.Revision, "replicas", j.state.ReplicaCount(),
		"services", len(view.Replicas), "zones-out", view.ZonesOutOfService, "instances", len(view.Instances), "source", f.polledInstance)
	f.OnViewChanged(view)
}

// storeAnswered records that the store answered this instance. After an outage, registrations may have expired only if
// no instance had contact with the store for long; a store that refused only this instance still took the replicas'
// heartbeats.
func (f *Follower) storeAnswered(now time.Time) {
	if f.failures > 0 {
		f.journal.mutex.Lock()
		sinceContact := now.Sub(f.journal.lastStoreContact)
		if sinceContact > f.RegistrationTTL-expiryMargin {
			f.journal.state.StoreRecovered(now)
		}
		f.journal.mutex.Unlock()
		klog.InfoS("Store answers again", "failures", f.failures, "outage", now.Sub(f.lastStoreAnswer), "unheard-by-all", sinceContact)
	}
	f.failures = 0
	f.lastStoreAnswer = now
}

// storeFailed records that a call to the store failed.
func (f *Follower) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		klog.InfoS("Store stopped answering", "err", err, "revision", f.position().Revision)
	}
	f.failures++
}
