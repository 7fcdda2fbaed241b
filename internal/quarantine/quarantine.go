// Package quarantine recognises requests that crash the replicas that run them, and keeps them from further replicas. Such
// a request comes again, at any instance, so what one instance finds out is shared with all others and kept in the store.
//
// A Ledger holds what is known of each request, by its fingerprint, and decides; it does no I/O. An Exchange shares its
// entries with the other instances. An Archivist writes the requests that are held to the store.
//
// A crash says little by itself, because a replica that crashes has other requests in progress. A request is suspected
// once a replica crashed while it was in progress, and an answer of a replica ends the suspicion. A suspected request is
// sent to one replica at a time. After minCrashes crashes without an answer between them it is held: it is refused until
// a trial, one send to one replica, shows that it is harmless.
package quarantine

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=Standing -linecomment -output=standing_string.go

// Standing says how a request is treated.
type Standing int

const (
	// Unsuspected requests are treated like all others.
	Unsuspected Standing = iota // unsuspected
	// Suspected requests are sent to one replica at a time until one has answered.
	Suspected // suspected
	// OnTrial requests are held, but this one may be sent to a single replica.
	OnTrial // on-trial
	// Held requests are refused.
	Held // held
)

const (
	// minCrashes is the number of crashes for which a request is held.
	minCrashes = 3
	// maxCrashes bounds the crashes that are kept of one request.
	maxCrashes = 8
	// maxEntries bounds the requests that are known, each with a few hundred bytes.
	maxEntries = 4096
	// silenceTTL is how long a suspected request is not sent again after a replica did not answer it. A replica that has
	// crashed registers again within that time.
	silenceTTL = 5 * time.Second
	// suspicionTTL is how long after its last crash a request is suspected.
	suspicionTTL = time.Hour
	// unusedHoldTTL is how long a request that does not come again is held after its trial was due.
	unusedHoldTTL = 24 * time.Hour
	// clearedTTL is how long it is remembered that a request was cleared, so that peers that have not heard of it do not
	// bring the suspicion back.
	clearedTTL = time.Hour
)

// holdTimes are the times until the first, second and later trials of a held request. A request that still crashes
// replicas costs one of them at each trial.
var holdTimes = []time.Duration{2 * time.Minute, 20 * time.Minute, 3 * time.Hour, 24 * time.Hour}

// holdTime returns how long a request is held for the given time, counted from 1.
func holdTime(holds int) time.Duration { return holdTimes[min(holds, len(holdTimes))-1] }

// Crash is the end of a replica's process while a request was in progress there. Values are immutable.
type Crash struct {
	Replica fleet.ServerID
	// StartedAt is the start time of the process in Unix milliseconds.
	StartedAt int64
	Service   fleet.ServiceID
	At        time.Time
	// Suspected is set if the request was under suspicion already when it was sent.
	Suspected bool
	// Answered is set if replicas of other services had already answered the same request. The crash then only speaks
	// against the request at this service.
	Answered bool
}
