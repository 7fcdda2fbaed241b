package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Departure describes a replica that is draining or whose registration was removed, as of its last known heartbeat. An
// instance that has just started fetches the departures that a peer knows, because the store may execute an earlier
// heartbeat of such a replica late and then lists it as ready.
type Departure struct {
	Replica fleet.ServerID `json:"replica"`
	// StartedAt is the start time of the replica in Unix milliseconds and Sequence the number of the heartbeat since
	// that start, both as of the last known heartbeat.
	StartedAt int64 `json:"born"`
	Sequence  int64 `json:"sequence"`
	// Removed is set if the registration was removed; otherwise the replica is draining.
	Removed bool `json:"gone,omitempty"`
}

// Departures returns the replicas that are known to be draining, and the removed ones whose last heartbeat was recorded
// less than heartbeatRetention ago.
func (d *Directory) Departures() []Departure {
	var all []Departure
	for _, id := range slices.Sorted(maps.Keys(d.heartbeats)) {
		last := d.heartbeats[id]
		entry, listed := d.replicas[id]
		if !listed || entry.Draining {
			all = append(all, Departure{Replica: id, StartedAt: last.startedAt, Sequence: last.sequence, Removed: !listed})
		}
	}
	return all
}

// ApplyDepartures marks the replicas that a peer knows to be draining, and removes those that it knows to be removed. A
// replica of which this instance knows a later heartbeat or a later start stays as it is. ApplyDepartures reports
// whether the view changed.
func (d *Directory) ApplyDepartures(departures []Departure, now time.Time) bool {
	changed := false
	for _, departure := range departures {
		last, known := d.heartbeats[departure.Replica]
		if known && (last.startedAt > departure.StartedAt || last.startedAt == departure.StartedAt && last.sequence > departure.Sequence) {
			continue
		}
		entry, listed := d.replicas[departure.Replica]
		d.heartbeats[departure.Replica] = heartbeat{startedAt: departure.StartedAt, sequence: departure.Sequence, receivedAt: now}
		switch {
		case !listed:
		case departure.Removed:
			d.dropReplica(departure.Replica, false, now)
			changed = true
		case !entry.Draining:
			entry.Draining = true
			d.replicas[departure.Replica] = entry
			changed = true
		}
	}
	return changed
}
