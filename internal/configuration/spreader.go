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
	// watchWait is how long a long poll waits. A connection can go silent, and the poll on it then ends
	// only after this time: it is short enough for the 5 s target even if the connections of all
	// watchers go silent at once. A watcher makes one call in 2 s when nothing changes.
	watchWait = 2 * time.Second
	// callTimeout bounds a call to a peer, and the store's part of the first round.
	callTimeout = 800 * time.Millisecond
	// settleTime is how long the first round asks every peer that becomes known. A process that has just
	// started knows no peer before it has read the instance list and ended a heartbeat round (250 ms).
	settleTime = time.Second
	// settleInterval is the time between looks at the plan in the first round.
	settleInterval = 50 * time.Millisecond
	// aloneTime bounds how long the first round waits for the store and one peer before it asks the others. With
	// 24 watchers it would otherwise fetch all documents 25 times.
	aloneTime = 250 * time.Millisecond
	// pullInterval is the time between rounds that ask peers, so that a lost notification is made good
	// well within the 5 s target even if the first peer that is asked does not answer.
	pullInterval = time.Second
	// watchBackoffLeast and watchBackoffMost bound the pause after a failed watch. The longest keeps
	// the end of an outage to adoption within the 5 s target.
	watchBackoffLeast = 100 * time.Millisecond
	watchBackoffMost  = time.Second
)

// Guide gives the current plan; it is asked before each round.
type Guide interface {
	Plan() Plan
}

// Peers reaches the other entry instances.
type Peers interface {
	// Tell says which revisions this instance has (configuration.changed).
	Tell(ctx context.Context, peer fleet.InstanceID, revisions Revisions) error
	// Ask returns the peer's documents that are newer than the known ones (configuration.get).
	Ask(ctx context.Context, peer fleet.InstanceID, known Revisions) ([]Document, error)
}

// Spreader keeps a Holder up to date from the store and from peers, and passes changes on.
type Spreader struct {
	holder *Holder
	store  Store
	peers  Peers
	guide  Guide
	random *rand.Rand

	started    chan struct{}
	heard      chan fleet.InstanceID
	storeAlive atomic.Bool
	// position is the highest revision that the store gave. It is used by the first round and then by
	// the watch only.
	position uint64
}

// NewSpreader returns a spreader that does nothing until Run.
func NewSpreader(holder *Holder, store Store, peers Peers, guide Guide, random *rand.Rand) *Spreader {
	return &Spreader{
		holder: holder, store: store, peers: peers, guide: guide, random: random,
		started: make(chan struct{}), heard: make(chan fleet.InstanceID, 16),
	}
}

// Ready tells whether the first round has ended and a configuration is known. The first round asks the
// store and the peers and adopts the newest answer: a store that lags, or a peer that was cut off, can
// then not put a restarted instance behind what the others can tell it.
func (s *Spreader) Ready() bool {
	select {
	case <-s.started:
		return s.holder.Current() != nil
	default:
		return false
	}
}

// StoreAlive tells whether the last watch of the store succeeded; false where this instance does not watch.
func (s *Spreader) StoreAlive() bool {
	return s.storeAlive.Load()
}

// Heard notes the revisions that a peer has, from configuration.changed or a heartbeat.
func (s *Spreader) Heard(peer fleet.InstanceID, revisions Revisions) {
	if !revisions.Exceeds(s.holder.Revisions()) {
		return
	}
	select {
	case s.heard <- peer:
	default:
		// The rounds that ask peers make up for it.
	}
}

// Run works until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	s.firstRound(ctx)
	close(s.started)
	var group sync.WaitGroup
	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.pull(ctx) })
	group.Go(func() { s.tell(ctx) })
	group.Wait()
}

// firstRound asks the store, and every peer that becomes known within settleTime. The store and one peer come
// first. The others are asked once one of both has given a document, and then send only what is newer.
func (s *Spreader) firstRound(ctx context.Context) {
	var group sync.WaitGroup
	answered, cancelAnswered := context.WithTimeout(ctx, aloneTime)
	defer cancelAnswered()
	noteAnswer := func() {
		if len(s.holder.Revisions()) > 0 {
			cancelAnswered()
		}
	}
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if documents, err := s.store.Watch(bounded, Prefix, 0, 0); err == nil {
			s.adoptFromStore(documents)
			noteAnswer()
		}
	})
	asked := make(map[fleet.InstanceID]bool)
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		plan := s.guide.Plan()
		sources := slices.Concat(plan.Near, plan.Far)
		// A random first one spreads the instances of a zone that start together.
		s.random.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
		for _, peer := range sources {
			if !asked[peer] {
				first := len(asked) == 0
				asked[peer] = true
				group.Go(func() {
					if !first {
						<-answered.Done()
					}
					s.ask(ctx, peer)
					noteAnswer()
				})
			}
		}
		if sleep(ctx, settleInterval) != nil {
			break
		}
	}
	group.Wait()
}

// adoptFromStore moves the position by the documents, not by the store's own revision: a store that
// answers from an older state then cannot make the watch skip a document.
func (s *Spreader) adoptFromStore(documents []Document) {
	for _, document := range documents {
		s.position = max(s.position, document.Revision)
	}
	s.adopt(documents, Source{Origin: FromStore})
}

func (s *Spreader) adopt(documents []Document, source Source) {
	for _, document := range documents {
		adopted, err := s.holder.Adopt(document, source)
		if err != nil {
			klog.ErrorS(err, "Document not adopted", "source", source.Origin, "peer", source.Peer)
		} else if adopted {
			klog.InfoS("Document adopted", "key", document.Key, "revision", document.Revision, "source", source.Origin, "peer", source.Peer)
		}
	}
}

func (s *Spreader) ask(ctx context.Context, peer fleet.InstanceID) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if documents, err := s.peers.Ask(bounded, peer, s.holder.Revisions()); err == nil {
		s.adopt(documents, Source{FromPeer, peer})
	}
}

// watch polls the store while the plan says so.
func (s *Spreader) watch(ctx context.Context) {
	backoff := watchBackoffLeast
	for ctx.Err() == nil {
		if !s.guide.Plan().Watch {
			s.storeAlive.Store(false)
			if sleep(ctx, pullInterval) != nil {
				return
			}
			continue
		}
		// The first call after a failure asks for an immediate answer, so that StoreAlive turns true at
		// the end of an outage and not at the end of a long poll.
		wait := watchWait
		if !s.storeAlive.Load() {
			wait = 0
		}
		bounded, cancel := context.WithTimeout(ctx, wait+callTimeout)
		documents, err := s.store.Watch(bounded, Prefix, s.position, wait)
		cancel()
		s.storeAlive.Store(err == nil)
		if err != nil {
			if sleep(ctx, backoff/2+time.Duration(s.random.Int64N(int64(backoff)))) != nil {
				return
			}
			backoff = min(2*backoff, watchBackoffMost)
			continue
		}
		backoff = watchBackoffLeast
		s.adoptFromStore(documents)
	}
}

// pull asks a watcher of the own zone and one of the others in each round, in turn, and at once a peer
// that said that it has something newer.
func (s *Spreader) pull(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.heard:
			s.ask(ctx, peer)
			continue
		case <-ticker.C:
		}
		plan := s.guide.Plan()
		var group sync.WaitGroup
		for _, sources := range [][]fleet.InstanceID{plan.Near, plan.Far} {
			if len(sources) > 0 {
				peer := sources[round%len(sources)]
				group.Go(func() { s.ask(ctx, peer) })
			}
		}
		group.Wait()
	}
}

// tell passes every change on. Only watchers have an audience.
func (s *Spreader) tell(ctx context.Context) {
	for {
		changed := s.holder.Changed()
		revisions := s.holder.Revisions()
		for _, peer := range s.guide.Plan().Audience {
			if len(revisions) == 0 {
				break
			}
			go func() {
				bounded, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				// A peer that is not told asks within a round.
				_ = s.peers.Tell(bounded, peer, revisions)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
