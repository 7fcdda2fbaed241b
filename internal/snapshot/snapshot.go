// Package snapshot holds the versions of each application's index with their shard maps, and chooses the version to
// which a query is pinned.
//
// An Index is immutable; the configuration holder replaces it as a whole. The package sends no requests: callers report
// to it which versions the replicas hold.
package snapshot

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// Version is the version number of an application's index; a larger number is newer.
type Version uint64

// ShardID is the name of a shard of an application's index.
type ShardID string

// ShardMap maps each shard of one version to the service that holds it. It must not be changed once it is in use.
type ShardMap struct {
	Version Version
	Shards  map[ShardID]fleet.ServiceID
}
