// Package ownership decides which entry instance owns a backend server, and how many of the server's slots and
// connections each instance may use.
//
// A Table is an immutable value computed from a fleet.Reachability and replaced as a whole after each change. The
// package sends nothing and reads no clock.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// MaxCandidates is the maximum number of entry instances that may own one server. More would only lengthen the sequence
// of claims after failures.
const MaxCandidates = 4

// Share returns how many of a server's slots, or of its connections, one claimant may use: the ceiling of
// (slots-before)/claimants. Claimants is the number of candidates that may claim the server independently, which is
// this instance and the candidates that it cannot reach; before is the number of those ranked before it. The shares of
// claimants that cannot reach each other add up to at most slots.
func Share(slots, claimants, before int) int {
	if before >= slots || claimants <= 0 {
		return 0
	}
	return (slots - before + claimants - 1) / claimants
}

// Rank returns the entry instances in rendezvous order for a server.
func Rank(server fleet.ServerID, entries []fleet.InstanceID) []fleet.InstanceID {
	ranked := slices.Clone(entries)
	fleet.SortByWeight(string(server), ranked)
	return ranked
}

// Decision is what one entry instance concludes about the ownership of one server.
type Decision struct {
	// Owner is the first candidate that this instance can reach, possibly itself; empty if there is none.
	Owner fleet.InstanceID
	// Claimed is set when this instance is the owner and may send now.
	Claimed bool
	// Unreachable is the number of candidates that count as unreachable, and UnreachableBefore is how many of them are
	// ranked before this instance. Share takes Unreachable+1 and UnreachableBefore.
	Unreachable, UnreachableBefore int
}

// Decide applies the ownership rule to the candidates of one server in rendezvous order.
func Decide(reach *fleet.Reachability, candidates []fleet.InstanceID) Decision {
	self := reach.Self().ID
	decision := Decision{Claimed: true}
	afterSelf := false
	for _, candidate := range candidates {
		if candidate == "" {
			break
		}
		if candidate == self {
			afterSelf = true
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
		case afterSelf:
			// A candidate ranked after this instance may still hold the share that it claimed while the two could not
			// reach each other. It counts as unreachable until it has acknowledged this instance.
			decision.Claimed = decision.Claimed && contact.Granted
			if !contact.Acknowledged {
				decision.Unreachable++
			}
		case !contact.Reachable:
			decision.Claimed = decision.Claimed && contact.Silent
			decision.Unreachable++
			decision.UnreachableBefore++
		}
	}
	decision.Claimed = decision.Claimed && decision.Owner == self
	return decision
}

// ranking holds the eligible entry instances of a zone, or of its region if the zone has none, with their hashes.
type ranking struct {
	instances []fleet.InstanceID
	hashes    []uint64
}

func newRanking(reach *fleet.Reachability, zone fleet.ZoneID, region fleet.RegionID) ranking {
	var r ranking
	add := func(id fleet.InstanceID) {
		if reach.Eligible(id) {
			r.instances = append(r.instances, id)
			r.hashes = append(r.hashes, xxhash.Sum64String(string(id)))
		}
	}
	for _, id := range reach.View().EntriesOf(zone) {
		add(id)
	}
	if len(r.instances) > 0 {
		return r
	}
	for _, entry := range reach.View().Entries() {
		if entry.Region == region && entry.Zone != zone {
			add(entry.ID)
		}
	}
	return r
}

// topCandidates returns the first MaxCandidates entry instances in rendezvous order for a server.
func (r ranking) topCandidates(server fleet.ServerID) [MaxCandidates]fleet.InstanceID {
	var best [MaxCandidates]fleet.InstanceID
	var weights [MaxCandidates]uint64
	count := 0
	key := xxhash.Sum64String(string(server))
	for i, id := range r.instances {
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
