// Package share decides which entry instance owns a backend server and which part of the server's slots
// and connections it may use.
//
// A Table is an immutable value computed from a fleet.Reachability; its owner replaces it as a whole after
// each change. The package sends nothing and keeps no time.
package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// MaxCandidates is the number of entry instances that may own one server. More would only lengthen the
// chain of claims after failures.
const MaxCandidates = 4

// Share returns the part of a number of slots or connections that a claimant may use. It has n-1
// candidates that it cannot reach, p of them ranked before it. The shares of pairwise unreachable
// claimants sum to at most slots.
func Share(slots, n, p int) int {
	if p >= slots || n <= 0 {
		return 0
	}
	return (slots - p + n - 1) / n
}

// Rank returns the entry instances in rendezvous order for a server.
func Rank(server fleet.ServerID, entries []fleet.InstanceID) []fleet.InstanceID {
	ranked := slices.Clone(entries)
	fleet.SortByWeight(string(server), ranked)
	return ranked
}

// Decision is what one entry instance concludes for one server.
type Decision struct {
	// Owner is the first candidate that this instance reaches, perhaps itself; empty without one.
	Owner fleet.InstanceID
	// Claimed is set when this instance is the owner and may send now.
	Claimed bool
	// Unreachable is n-1, and Before is p, of Share.
	Unreachable, Before int
}

// Decide applies the ownership rule to the ranked candidates of one server.
func Decide(reach *fleet.Reachability, candidates []fleet.InstanceID) Decision {
	self := reach.Self().ID
	decision := Decision{Claimed: true}
	passed := false
	for _, candidate := range candidates {
		if candidate == "" {
			break
		}
		if candidate == self {
			passed = true
			if decision.Owner == "" {
				decision.Owner = self
			}
			continue
		}
		contact := reach.Contact(candidate)
		if contact.Reachable && decision.Owner == "" {
			decision.Owner = candidate
		}
		switch {
		case passed:
			// A later candidate that has not acknowledged this instance may still hold the part that it
			// claimed while both were apart, so it counts as unreachable.
			decision.Claimed = decision.Claimed && contact.Granted
			if !contact.Acknowledged {
				decision.Unreachable++
			}
		case !contact.Reachable:
			decision.Claimed = decision.Claimed && contact.Silent
			decision.Unreachable++
			decision.Before++
		}
	}
	decision.Claimed = decision.Claimed && decision.Owner == self
	return decision
}

// ranking holds the eligible entry instances of one zone, or of its region if the zone has none, with
// their hashes.
type ranking struct {
	ids    []fleet.InstanceID
	hashes []uint64
}

func newRanking(reach *fleet.Reachability, zone fleet.ZoneID, region fleet.RegionID) ranking {
	var r ranking
	add := func(id fleet.InstanceID) {
		if reach.Eligible(id) {
			r.ids = append(r.ids, id)
			r.hashes = append(r.hashes, xxhash.Sum64String(string(id)))
		}
	}
	for _, id := range reach.View().EntriesOf(zone) {
		add(id)
	}
	if len(r.ids) > 0 {
		return r
	}
	for _, entry := range reach.View().Entries() {
		if entry.Region == region && entry.Zone != zone {
			add(entry.ID)
		}
	}
	return r
}

// first returns the first MaxCandidates in rendezvous order for a server.
func (r ranking) first(server fleet.ServerID) [MaxCandidates]fleet.InstanceID {
	var best [MaxCandidates]fleet.InstanceID
	var weights [MaxCandidates]uint64
	count := 0
	key := xxhash.Sum64String(string(server))
	for i, id := range r.ids {
		weight := fleet.Weight(key, r.hashes[i])
		at := count
		for at > 0 && fleet.CompareWeights(weight, weights[at-1], id, best[at-1]) < 0 {
			at--
		}
		if at == MaxCandidates {
			continue
		}
		count = min(count+1, MaxCandidates)
		copy(best[at+1:count], best[at:count-1])
		copy(weights[at+1:count], weights[at:count-1])
		best[at], weights[at] = id, weight
	}
	return best
}
