package snapshot

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// answerPrecedence is how long a server's own answer outweighs a hint, because the state endpoint lags.
	answerPrecedence = 5 * time.Second
	// lackMemory is how long a replica is believed not to hold a version after it last said so. A
	// replica without traffic, such as one of a service that only a new version uses, would otherwise
	// never be asked again.
	lackMemory = 10 * time.Second
)

// Belief says what is known about a replica and a version.
type Belief int

const (
	// Lacks means that the replica lately said something and did not list the version, or refused it.
	Lacks Belief = iota
	// Unknown means that the replica has said nothing, or not for a while.
	Unknown
	// Holds means that the replica listed the version.
	Holds
)

// Holding is what one replica is believed to hold. Reads take no lock.
type Holding struct {
	current atomic.Pointer[holdingState]
}

type holdingState struct {
	versions []Version
	told     time.Time // last time that the replica said anything
	answered time.Time // last answer; zero if only hints were seen
}

// Belief tells whether the replica holds the version.
func (h *Holding) Belief(version Version, now time.Time) Belief {
	state := h.current.Load()
	switch {
	case state == nil:
		return Unknown
	case slices.Contains(state.versions, version):
		return Holds
	case now.Sub(state.told) > lackMemory:
		return Unknown
	default:
		return Lacks
	}
}

// Observe takes the list of held versions from an answer to an attempt that was sent at the given time.
// An answer to an attempt older than the last one that counted is ignored: it may have been on its way
// while the replica took up or dropped a version. A list that did not change is not stored again
// within half of the time in which answers outweigh hints, so that the usual answer writes nothing.
func (h *Holding) Observe(held []Version, sent time.Time) {
	if held == nil {
		return
	}
	state := h.current.Load()
	if state != nil {
		if sent.Before(state.answered) {
			return
		}
		if slices.Equal(state.versions, held) && sent.Sub(state.answered) < answerPrecedence/2 {
			return
		}
	}
	h.current.CompareAndSwap(state, &holdingState{versions: slices.Clone(held), told: sent, answered: sent})
}

// Hint takes the list of held versions from the replica's state endpoint. It is ignored while an
// answer of the replica is recent, because the endpoint lags.
func (h *Holding) Hint(held []Version, now time.Time) {
	if held == nil {
		return
	}
	state := h.current.Load()
	if state != nil && !state.answered.IsZero() && now.Sub(state.answered) < answerPrecedence {
		return
	}
	h.current.CompareAndSwap(state, &holdingState{versions: slices.Clone(held), told: now})
}

// Withdraw removes a version that the replica refused in answer to an attempt that was sent at the
// given time. It outweighs the list of held versions in the same answer.
func (h *Holding) Withdraw(version Version, sent time.Time) {
	for {
		state := h.current.Load()
		next := &holdingState{told: sent, answered: sent}
		if state != nil {
			if sent.Before(state.answered) {
				return
			}
			for _, held := range state.versions {
				if held != version {
					next.versions = append(next.versions, held)
				}
			}
		}
		if h.current.CompareAndSwap(state, next) {
			return
		}
	}
}

// Holdings is what all replicas are believed to hold. It is safe for concurrent use.
type Holdings struct {
	servers sync.Map // fleet.ServerID to *Holding
}

// NewHoldings returns holdings in which nothing is known.
func NewHoldings() *Holdings { return &Holdings{} }

// Of returns the holding of a replica. Keep it to spare the look-up.
func (h *Holdings) Of(server fleet.ServerID) *Holding {
	if known, ok := h.servers.Load(server); ok {
		return known.(*Holding)
	}
	known, _ := h.servers.LoadOrStore(server, &Holding{})
	return known.(*Holding)
}

// Forget drops what is known about a replica that is no longer listed.
func (h *Holdings) Forget(server fleet.ServerID) { h.servers.Delete(server) }
