package snapshot

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// Choice is the version to which a query is pinned.
type Choice struct {
	ShardMap
	// Complete is set when every requested shard has a usable replica that holds the version or may hold it.
	Complete bool
	// Answerable is the number of requested shards with such a replica.
	Answerable int
}

// Pin chooses the version for a query that requests the shards in requested, or all shards of the version if requested
// is empty. It prefers, in this order, and the newest version in each case:
//
//  1. a confirmed version, in which every requested shard has a usable replica that reported holding it;
//  2. a version in which every requested shard has a usable replica that holds it or may hold it;
//  3. the version with the most answerable shards.
//
// Versions that do not have all requested shards, and versions for which skip returns true, are not considered; skip
// may be nil. ok is false if no version is left.
//
// With tryUnconfirmed set, versions of the second kind count as confirmed. Some queries have to set it: a service that
// only a new version uses gets no traffic, so no answer can confirm that version, and it would have to wait for hints
// from the state endpoints.
//
// strongestBelief returns the strongest belief about the version among the service's usable replicas, and Lacks if
// there is none.
func (x *Index) Pin(requested []ShardID, tryUnconfirmed bool, skip func(Version) bool, strongestBelief func(fleet.ServiceID, Version) Belief) (choice Choice, ok bool) {
	rank := -1
	for _, shards := range x.versions {
		if skip != nil && skip(shards.Version) {
			continue
		}
		held, unknown, total := countBeliefs(shards, requested, strongestBelief)
		if total < 0 {
			continue
		}
		// A confirmed version has the highest rank, then comes one whose shards may all be answerable.
		candidateRank := held + unknown
		switch {
		case held == total, tryUnconfirmed && held+unknown == total:
			candidateRank = maxRank
		case held+unknown == total:
			candidateRank = maxRank - 1
		}
		if candidateRank > rank {
			rank = candidateRank
			choice = Choice{ShardMap: shards, Complete: held+unknown == total, Answerable: held + unknown}
			ok = true
		}
		if rank == maxRank {
			break
		}
	}
	return choice, ok
}

// maxRank is the rank of a version that counts as confirmed; it ends the search.
const maxRank = int(^uint(0) >> 1)

// countBeliefs returns how many requested shards have Holds and Unknown as their strongest belief, and the number of
// requested shards. total is -1 if the version does not have one of them.
func countBeliefs(shards ShardMap, requested []ShardID, strongestBelief func(fleet.ServiceID, Version) Belief) (held, unknown, total int) {
	add := func(service fleet.ServiceID) {
		switch strongestBelief(service, shards.Version) {
		case Holds:
			held++
		case Unknown:
			unknown++
		}
	}
	if len(requested) == 0 {
		for _, service := range shards.Shards {
			add(service)
		}
		return held, unknown, len(shards.Shards)
	}
	for _, shard := range requested {
		service, ok := shards.Shards[shard]
		if !ok {
			return 0, 0, -1
		}
		add(service)
	}
	return held, unknown, len(requested)
}
