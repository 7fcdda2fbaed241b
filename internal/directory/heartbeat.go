package directory

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// heartbeat identifies the last known heartbeat of a replica.
type heartbeat struct {
	startedAt, sequence int64
	receivedAt          time.Time
	// expired is set if the replica was removed because its registration was missing after a fault of the store. A live
	// replica may register again with the same heartbeat.
	expired bool
}

// heartbeatRetention is how long the last heartbeat of a removed replica is kept, because the store may execute a write
// some seconds late.
const heartbeatRetention = 30 * time.Second

// outdated reports whether an entry is older than the last known heartbeat of its replica; if it is not, outdated
// records its heartbeat. An older entry was written late and would bring back a replica that is draining or was
// removed.
func (d *Directory) outdated(entry *Replica, now time.Time) bool {
	last, known := d.heartbeats[entry.ID]
	_, listed := d.replicas[entry.ID]
	switch {
	case !known || entry.StartedAt > last.startedAt:
	case entry.StartedAt < last.startedAt, entry.Sequence < last.sequence, entry.Sequence == last.sequence && !listed && !last.expired:
		return true
	}
	d.heartbeats[entry.ID] = heartbeat{startedAt: entry.StartedAt, sequence: entry.Sequence, receivedAt: now}
	return false
}

// warmUpTolerance is the difference up to which two values for the end of the warm-up count as equal. A heartbeat
// carries the remaining time, so its delay shifts the end.
const warmUpTolerance = 300 * time.Millisecond

// equivalent reports whether requests are treated the same with both entries.
func (r Replica) equivalent(other Replica) bool {
	apart := r.ColdUntil.Sub(other.ColdUntil).Abs()
	r.ColdUntil, r.Sequence = other.ColdUntil, other.Sequence
	return r == other && apart < warmUpTolerance
}

// remove removes a replica, or keeps it until change.RemoveAt if its registration may be missing only because of a fault
// of the store. It sets change.RemoveAt where needed, so that peers keep the replica for the same time. It
// reports whether the replica was known.
func (d *Directory) remove(change *Change, now time.Time) bool {
	if _, known := d.replicas[change.ReplicaID]; !known {
		return false
	}
	if until := d.registrationsLostAt.Add(expiryGracePeriod); change.RemoveAt.IsZero() && now.Before(until) {
		change.RemoveAt = until
	}
	if now.Before(change.RemoveAt) {
		d.pendingRemoval[change.ReplicaID] = change.RemoveAt
		return true
	}
	d.dropReplica(change.ReplicaID, false, now)
	return true
}

// dropReplica removes a replica; expired says that only its registration is missing. Its last heartbeat is kept for
// heartbeatRetention from now: a live replica's entry may not have changed for long, and an outdated entry can come back
// after the removal.
func (d *Directory) dropReplica(id fleet.ServerID, expired bool, now time.Time) {
	delete(d.replicas, id)
	delete(d.pendingRemoval, id)
	if last, known := d.heartbeats[id]; known {
		last.receivedAt, last.expired = now, expired
		d.heartbeats[id] = last
	}
}
