package snapshot

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// Choice is the version that a query pins.
type Choice struct {
	ShardMap
	// Whole is set when every asked shard has a usable replica that may hold the version.
	Whole bool
	// Answerable counts the asked shards with such a replica.
	Answerable int
}

// Pin chooses the newest version that can be answered whole. A version in which every asked shard has
// a usable replica that said it holds it goes before one in which some replicas have said nothing;
// without either, the version with the most answerable shards is chosen. Versions that lack an
// asked shard are not considered. asked is empty for all shards of the version. skip rules versions out.
//
// A trial takes the newest version that no replica is known to lack as if it were confirmed. Without
// trials a version that moves shards to services without traffic would wait for hints.
//
// best returns the strongest belief about the version among the service's usable replicas, and Lacks if
// there is none. ok is false if no version has all asked shards.
func (x *Index) Pin(asked []ShardID, trial bool, skip func(Version) bool, best func(fleet.ServiceID, Version) Belief) (choice Choice, ok bool) {
	rank := -1
	for _, shards := range x.versions {
		if skip != nil && skip(shards.Version) {
			continue
		}
		held, unknown, all := count(shards, asked, best)
		if all < 0 {
			continue
		}
		// A version confirmed by every shard ranks above any other; then one that may be whole.
		candidate := held + unknown
		switch {
		case held == all, trial && held+unknown == all:
			candidate = maxRank
		case held+unknown == all:
			candidate = maxRank - 1
		}
		if candidate > rank {
			rank = candidate
			choice = Choice{ShardMap: shards, Whole: held+unknown == all, Answerable: held + unknown}
			ok = true
		}
		if rank == maxRank {
			break
		}
	}
	return choice, ok
}

const maxRank = int(^uint(0) >> 1)

func count(shards ShardMap, asked []ShardID, best func(fleet.ServiceID, Version) Belief) (held, unknown, all int) {
	add := func(service fleet.ServiceID) {
		switch best(service, shards.Version) {
		case Holds:
			held++
		case Unknown:
			unknown++
		}
	}
	if len(asked) == 0 {
		for _, service := range shards.Shards {
			add(service)
		}
		return held, unknown, len(shards.Shards)
	}
	for _, shard := range asked {
		service, ok := shards.Shards[shard]
		if !ok {
			return 0, 0, -1
		}
		add(service)
	}
	return held, unknown, len(asked)
}
