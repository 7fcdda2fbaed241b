package snapshot

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// answerPrecedenceWindow is how long a list from a server's answer takes precedence over a state hint, because the
	// state endpoint lags behind.
	answerPrecedenceWindow = 5 * time.Second
	// lacksTTL is how long a replica counts as not holding a version after its last report. If this did not expire, a
	// replica that gets no traffic, such as one of a service that only a new version uses, would never be tried again.
	lacksTTL = 10 * time.Second
)

// Belief is what is known about whether a replica holds a version. The values are ordered from weak to strong.
type Belief int

const (
	// Lacks means that the replica reported within lacksTTL and did not list the version or refused it.
	Lacks Belief = iota
	// Unknown means that the replica has never reported, or not within lacksTTL.
	Unknown
	// Holds means that the replica's last report listed the version.
	Holds
)

// Holding records the versions that one replica is believed to hold. The zero value knows nothing. It is safe for
// concurrent use, and reads take no lock.
type Holding struct {
	state atomic.Pointer[holdingState]
}

type holdingState struct {
	versions   []Version
	lastReport time.Time // last answer or state hint
	lastAnswer time.Time // last answer; zero after a state hint
}

// Belief returns what is known about whether the replica holds the version.
func (h *Holding) Belief(version Version, now time.Time) Belief {
	state := h.state.Load()
	switch {
	case state == nil:
		return Unknown
	case slices.Contains(state.versions, version):
		return Holds
	case now.Sub(state.lastReport) > lacksTTL:
		return Unknown
	default:
		return Lacks
	}
}

// Observe records the list of held versions from an answer to an attempt that was sent at the given time. A nil list is
// ignored, and so is an answer to an attempt that was sent before the last recorded one: the replica may have loaded or
// dropped a version while that answer was in transit. An unchanged list is stored again only after half of
// answerPrecedenceWindow, so that most answers write nothing.
func (h *Holding) Observe(held []Version, sent time.Time) {
	if held == nil {
		return
	}
	state := h.state.Load()
	if state != nil {
		if sent.Before(state.lastAnswer) {
			return
		}
		if slices.Equal(state.versions, held) && sent.Sub(state.lastAnswer) < answerPrecedenceWindow/2 {
			return
		}
	}
	h.state.CompareAndSwap(state, &holdingState{versions: slices.Clone(held), lastReport: sent, lastAnswer: sent})
}

// ApplyStateHint records the list of held versions from the replica's state endpoint. A nil list is ignored, and so is
// any list within answerPrecedenceWindow of the replica's last answer, because the endpoint lags behind.
func (h *Holding) ApplyStateHint(held []Version, now time.Time) {
	if held == nil {
		return
	}
	state := h.state.Load()
	if state != nil && !state.lastAnswer.IsZero() && now.Sub(state.lastAnswer) < answerPrecedenceWindow {
		return
	}
	h.state.CompareAndSwap(state, &holdingState{versions: slices.Clone(held), lastReport: now})
}

// Withdraw removes a version that the replica refused in its answer to an attempt that was sent at the given time. It
// takes precedence over the list of held versions in the same answer.
func (h *Holding) Withdraw(version Version, sent time.Time) {
	for {
		state := h.state.Load()
		next := &holdingState{lastReport: sent, lastAnswer: sent}
		if state != nil {
			if sent.Before(state.lastAnswer) {
				return
			}
			for _, held := range state.versions {
				if held != version {
					next.versions = append(next.versions, held)
				}
			}
		}
		if h.state.CompareAndSwap(state, next) {
			return
		}
	}
}

// Holdings has the Holding of each replica. It is safe for concurrent use.
type Holdings struct {
	servers sync.Map // fleet.ServerID to *Holding
}

// NewHoldings returns empty Holdings.
func NewHoldings() *Holdings { return &Holdings{} }

// Of returns the Holding of a replica and creates it if needed. Callers can keep it to avoid further look-ups.
func (h *Holdings) Of(server fleet.ServerID) *Holding {
	if known, ok := h.servers.Load(server); ok {
		return known.(*Holding)
	}
	known, _ := h.servers.LoadOrStore(server, &Holding{})
	return known.(*Holding)
}

// Forget removes the Holding of a replica that is no longer listed.
func (h *Holdings) Forget(server fleet.ServerID) { h.servers.Delete(server) }
