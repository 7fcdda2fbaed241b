package query

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// splitMix64 is a SplitMix64 random number generator. It needs no allocation, so that each query can have its own, and
// the same seed gives the same choices.
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intN returns a number from 0 to n-1. It needs n to be positive.
func (r *splitMix64) intN(n int) int {
	return int((r.next() >> 32) * uint64(n) >> 32)
}

// chooseReplica returns the better of two random candidates among the usable replicas of the service, and nil if there
// is none. Usable are replicas that are not in tried and are not known to lack the version. A replica whose versions
// are unknown is penalised but not excluded, because the others may be slow or may have failed. Hedges are not sent to
// a replica that was last reported as cold; its owner decides when it is warm.
func (s *service) chooseReplica(version snapshot.Version, tried []*replicaState, hedge bool, rng *splitMix64, now time.Time) *replica {
	if len(s.replicas) == 0 {
		return nil
	}
	first, firstBelief := s.nextUsable(rng.intN(len(s.replicas)), version, tried, hedge, now, nil)
	if first == nil {
		return nil
	}
	second, secondBelief := s.nextUsable(rng.intN(len(s.replicas)), version, tried, hedge, now, first)
	if second == nil {
		return first
	}
	serviceLatency := s.stats.smoothedLatency.Load()
	// Replicas with similar scores share the load, so that each of them earns hedge budget at its owner for the time
	// when the other one is slow.
	if secondScore, firstScore := second.score(serviceLatency, secondBelief, now), first.score(serviceLatency, firstBelief, now); secondScore+secondScore/scoreMarginDivisor < firstScore {
		return second
	}
	return first
}

// score adds a penalty for unknown versions to the expected time of a new part at the replica. Lower is better.
func (r *replica) score(serviceLatency int64, belief snapshot.Belief, now time.Time) int64 {
	score := r.state.score(serviceLatency, r.local, now)
	if belief == snapshot.Unknown {
		score += int64(unknownVersionPenalty)
	}
	return score
}

// nextUsable returns the first usable replica at or after the position start, wrapping around, and the belief whether
// it holds the version. It skips exclude and returns nil if no replica is usable.
func (s *service) nextUsable(start int, version snapshot.Version, tried []*replicaState, hedge bool, now time.Time, exclude *replica) (*replica, snapshot.Belief) {
	for i := range s.replicas {
		candidate := &s.replicas[(start+i)%len(s.replicas)]
		if candidate == exclude || candidate.state.leaving(now) || hedge && candidate.state.coldSince.Load() != 0 ||
			slices.Contains(tried, candidate.state) {
			continue
		}
		if belief := candidate.state.holding.Belief(version, now); belief != snapshot.Lacks {
			return candidate, belief
		}
	}
	return nil, snapshot.Lacks
}

// unavailableReason returns why the service has no usable replica for the version.
func (s *service) unavailableReason(version snapshot.Version, now time.Time) verdict.Reason {
	reason := s.noReplicaReason
	for i := range s.replicas {
		state := s.replicas[i].state
		switch {
		case state.leaving(now):
			reason = verdict.Leaving
		case state.holding.Belief(version, now) == snapshot.Lacks:
			return verdict.VersionNotHeld
		default:
			reason = verdict.PeerUnreachable
		}
	}
	return reason
}
