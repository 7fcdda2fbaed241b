package query

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// random is a splitmix64 generator. It needs no allocation, so each query has its own and the same
// seed gives the same choices.
type random uint64

func (r *random) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *random) below(n int) int {
	return int((r.next() >> 32) * uint64(n) >> 32)
}

// choose returns a usable replica of the service that is not believed to lack the version and is not in
// tried: the better of two that are drawn at random. A replica that has said nothing about versions
// costs a penalty but is not ruled out, because the others may be slow or lost. A hedge goes to no
// replica that was last seen cold; its owner decides whether it is warm.
func (s *service) choose(version snapshot.Version, tried []*replicaState, hedge bool, draw *random, now time.Time) *replica {
	if len(s.replicas) == 0 {
		return nil
	}
	first, firstBelief := s.scan(draw.below(len(s.replicas)), version, tried, hedge, now, nil)
	if first == nil {
		return nil
	}
	second, secondBelief := s.scan(draw.below(len(s.replicas)), version, tried, hedge, now, first)
	if second == nil {
		return first
	}
	typical := s.stats.typical.Load()
	// Replicas that are about as good share the load, so that each earns hedges at its owner for the
	// time when the other is slow.
	if better, worse := second.score(typical, secondBelief, now), first.score(typical, firstBelief, now); better+better/similarShare < worse {
		return second
	}
	return first
}

func (r *replica) score(typical int64, belief snapshot.Belief, now time.Time) int64 {
	score := r.state.score(typical, r.local, now)
	if belief == snapshot.Unknown {
		score += int64(unknownPenalty)
	}
	return score
}

func (s *service) scan(start int, version snapshot.Version, tried []*replicaState, hedge bool, now time.Time, except *replica) (*replica, snapshot.Belief) {
	for i := range s.replicas {
		candidate := &s.replicas[(start+i)%len(s.replicas)]
		if candidate == except || candidate.state.leaving(now) || hedge && candidate.state.coldSince.Load() != 0 ||
			slices.Contains(tried, candidate.state) {
			continue
		}
		if belief := candidate.state.holding.Belief(version, now); belief != snapshot.Lacks {
			return candidate, belief
		}
	}
	return nil, snapshot.Lacks
}

// absence says why the service has no replica for the version.
func (s *service) absence(version snapshot.Version, now time.Time) verdict.Reason {
	reason := s.absent
	for i := range s.replicas {
		known := s.replicas[i].state
		switch {
		case known.leaving(now):
			reason = verdict.Leaving
		case known.holding.Belief(version, now) == snapshot.Lacks:
			return verdict.VersionNotHeld
		default:
			reason = verdict.PeerUnreachable
		}
	}
	return reason
}
