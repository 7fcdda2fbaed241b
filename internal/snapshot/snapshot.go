// Package snapshot holds the index versions of each application with their shard maps, and chooses
// the one that a query pins.
//
// An Index is an immutable value that the configuration holder replaces whole. The package never
// sends anything; what replicas hold is told to it.
package snapshot

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// Version numbers the versions of one application's index; a larger one is newer.
type Version uint64

// ShardID names a shard of an application's index.
type ShardID string

// ShardMap tells which service holds each shard in one version. Do not change it after it is in use.
type ShardMap struct {
	Version Version
	Shards  map[ShardID]fleet.ServiceID
}
