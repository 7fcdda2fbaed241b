package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// longPollTimeout is how long a watch of the store waits for a change. A long poll on a connection that goes silent
	// ends only after this time, so it is short enough for the 5 s target even if the connections of all watchers go
	// silent at once. A watcher makes one call every 2 s while nothing changes.
	longPollTimeout = 2 * time.Second
	// callTimeout bounds a call to a peer and the call to the store in the initial synchronization. A watch of the
	// store may take this long on top of its wait.
	callTimeout = 800 * time.Millisecond
	// initialSyncWindow is how long the initial synchronization fetches from each peer that becomes known. A process
	// that has just started knows no peer until it has read the instance list and completed a heartbeat round (250 ms).
	initialSyncWindow = time.Second
	// initialSyncInterval is the time between reads of the plan in the initial synchronization.
	initialSyncInterval = 50 * time.Millisecond
	// firstAnswerTimeout bounds how long the initial synchronization waits for the store and one peer before it asks
	// the other peers. Asking everyone at once would fetch all documents 25 times with 24 watchers.
	firstAnswerTimeout = 250 * time.Millisecond
	// pullInterval is the time between rounds that fetch newer documents from peers. It makes up for a lost
	// notification well within the 5 s target, even if the first peer that is asked does not answer.
	pullInterval = time.Second
	// minWatchBackoff and maxWatchBackoff bound the pause after a failed watch. The maximum is short enough for a
	// change to be adopted within the 5 s target after an outage of the store ends.
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = time.Second
)

// Planner returns the current plan. It is called before each round.
type Planner interface {
	Plan() Plan
}

// Peers makes calls to the other entry instances.
type Peers interface {
	// Notify notifies a peer of the revisions that this instance has (configuration.changed).
	Notify(ctx context.Context, peer fleet.InstanceID, revisions Revisions) error
	// Fetch returns the documents of a peer that are newer than the known ones (configuration.get).
	Fetch(ctx context.Context, peer fleet.InstanceID, known Revisions) ([]Document, error)
}

// Distributor keeps a Holder up to date from the store and from peers, and notifies peers of changes.
type Distributor struct {
	holder  *Holder
	store   Store
	peers   Peers
	planner Planner
	random  *rand.Rand

	// initialSyncDone is closed when the initial synchronization ends.
	initialSyncDone chan struct{}
	// newerPeers queues peers that have reported a newer revision.
	newerPeers chan fleet.InstanceID
	storeAlive atomic.Bool
	// position is the highest revision that the store has returned. Only the initial synchronization uses it, and after
	// that only the watch.
	position uint64
}

// NewDistributor returns a Distributor that does nothing until Run is called. random provides the jitter and the order
// of peers.
func NewDistributor(holder *Holder, store Store, peers Peers, planner Planner, random *rand.Rand) *Distributor {
	return &Distributor{
		holder: holder, store: store, peers: peers, planner: planner, random: random,
		initialSyncDone: make(chan struct{}), newerPeers: make(chan fleet.InstanceID, 16),
	}
}

// Ready reports whether the initial synchronization has ended and a configuration is known. The initial synchronization
// asks the store and the peers and adopts the newest answer, so a store that lags or a peer that was cut off cannot
// leave a restarted instance behind what the others have.
func (s *Distributor) Ready() bool {
	select {
	case <-s.initialSyncDone:
		return s.holder.Current() != nil
	default:
		return false
	}
}

// StoreAlive reports whether the last watch of the store succeeded. It is false if this instance does not watch the
// store.
func (s *Distributor) StoreAlive() bool {
	return s.storeAlive.Load()
}

// HandlePeerRevisions takes the revisions that a peer has, from configuration.changed or a heartbeat. If any of them is
// newer than this instance's, the peer is queued to be asked.
func (s *Distributor) HandlePeerRevisions(peer fleet.InstanceID, revisions Revisions) {
	if !revisions.AnyNewerThan(s.holder.Revisions()) {
		return
	}
	select {
	case s.newerPeers <- peer:
	default:
		// The queue is full; the next pull rounds fetch the documents.
	}
}

// Run makes the initial synchronization and then keeps the holder up to date until ctx ends.
func (s *Distributor) Run(ctx context.Context) {
	s.initialSync(ctx)
	close(s.initialSyncDone)
	var group sync.WaitGroup
	group.Go(func() { s.watchStore(ctx) })
	group.Go(func() { s.pullFromPeers(ctx) })
	group.Go(func() { s.notifyPeers(ctx) })
	group.Wait()
}

// initialSync reads the store, and fetches from every peer that becomes known within initialSyncWindow. The store and
// one peer come first. The other peers are asked once either of the two has given a document, or after
// firstAnswerTimeout, and then send only what is newer.
func (s *Distributor) initialSync(ctx context.Context) {
	var group sync.WaitGroup
	firstAnswer, endFirstAnswer := context.WithTimeout(ctx, firstAnswerTimeout)
	defer endFirstAnswer()
	signalIfKnown := func() {
		if len(s.holder.Revisions()) > 0 {
			endFirstAnswer()
		}
	}
	group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if documents, err := s.store.Watch(callCtx, KeyPrefix, 0, 0); err == nil {
			s.adoptFromStore(documents)
			signalIfKnown()
		}
	})
	asked := make(map[fleet.InstanceID]bool)
	for end := time.Now().Add(initialSyncWindow); time.Now().Before(end); {
		plan := s.planner.Plan()
		sources := slices.Concat(plan.SameZoneWatchers, plan.OtherZoneWatchers)
		// The first peer is drawn at random to spread the load when the instances of a zone start together.
		s.random.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
		for _, peer := range sources {
			if !asked[peer] {
				first := len(asked) == 0
				asked[peer] = true
				group.Go(func() {
					if !first {
						<-firstAnswer.Done()
					}
					s.fetch(ctx, peer)
					signalIfKnown()
				})
			}
		}
		if sleep(ctx, initialSyncInterval) != nil {
			break
		}
	}
	group.Wait()
}

// adoptFromStore adopts documents and advances the position to the highest of their revisions. It does not use the
// store's own revision, so a store that answers from an older state cannot make the watch skip a document.
func (s *Distributor) adoptFromStore(documents []Document) {
	for _, document := range documents {
		s.position = max(s.position, document.Revision)
	}
	s.adopt(documents, Source{Origin: FromStore})
}

// adopt passes documents to the holder and logs each one that is adopted or cannot be used.
func (s *Distributor) adopt(documents []Document, source Source) {
	for _, document := range documents {
		adopted, err := s.holder.Adopt(document, source)
		if err != nil {
			klog.ErrorS(err, "Document not adopted", "source", source.Origin, "peer", source.Peer)
		} else if adopted {
			klog.InfoS("Document adopted", "key", document.Key, "revision", document.Revision, "source", source.Origin, "peer", source.Peer)
		}
	}
}

// fetch fetches newer documents from a peer and adopts them.
func (s *Distributor) fetch(ctx context.Context, peer fleet.InstanceID) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if documents, err := s.peers.Fetch(callCtx, peer, s.holder.Revisions()); err == nil {
		s.adopt(documents, Source{FromPeer, peer})
	}
}

// watchStore polls the store while this instance is a watcher.
func (s *Distributor) watchStore(ctx context.Context) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		if !s.planner.Plan().WatchesStore {
			s.storeAlive.Store(false)
			if sleep(ctx, pullInterval) != nil {
				return
			}
			continue
		}
		// The first call after a failure asks for an immediate answer, so that StoreAlive becomes true at the end of an
		// outage and not at the end of a long poll.
		wait := longPollTimeout
		if !s.storeAlive.Load() {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		documents, err := s.store.Watch(callCtx, KeyPrefix, s.position, wait)
		cancel()
		s.storeAlive.Store(err == nil)
		if err != nil {
			if sleep(ctx, backoff/2+time.Duration(s.random.Int64N(int64(backoff)))) != nil {
				return
			}
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = minWatchBackoff
		s.adoptFromStore(documents)
	}
}

// pullFromPeers fetches from one watcher of its own zone and one of the other zones in each round, in turn. A peer that
// reported a newer revision is asked at once.
func (s *Distributor) pullFromPeers(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.newerPeers:
			s.fetch(ctx, peer)
			continue
		case <-ticker.C:
		}
		plan := s.planner.Plan()
		var group sync.WaitGroup
		for _, sources := range [][]fleet.InstanceID{plan.SameZoneWatchers, plan.OtherZoneWatchers} {
			if len(sources) > 0 {
				peer := sources[round%len(sources)]
				group.Go(func() { s.fetch(ctx, peer) })
			}
		}
		group.Wait()
	}
}

// notifyPeers sends the revisions of this instance to the recipients of the plan after each change.
func (s *Distributor) notifyPeers(ctx context.Context) {
	for {
		changed := s.holder.Changed()
		revisions := s.holder.Revisions()
		for _, peer := range s.planner.Plan().Recipients {
			if len(revisions) == 0 {
				break
			}
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				// A peer that misses the notification fetches the change in its next round.
				_ = s.peers.Notify(callCtx, peer, revisions)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
