package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Departure is a replica that is leaving or gone, as of its last heartbeat. An instance that has just started learns departures
// from its peers, because the store may execute an earlier write of the replica late, and then lists it as ready.
type Departure struct {
	Replica fleet.ServerID `json:"replica"`
	// Born and Sequence are those of the last heartbeat known.
	Born     int64 `json:"born"`
	Sequence int64 `json:"sequence"`
	// Gone is set where the entry was removed; otherwise the replica is draining.
	Gone bool `json:"gone,omitempty"`
}

// Departures returns the replicas that are known to be leaving, or to have gone a short time ago.
func (d *Directory) Departures() []Departure {
	var all []Departure
	for _, id := range slices.Sorted(maps.Keys(d.heartbeats)) {
		last := d.heartbeats[id]
		entry, listed := d.replicas[id]
		if !listed || entry.Draining {
			all = append(all, Departure{Replica: id, Born: last.born, Sequence: last.sequence, Gone: !listed})
		}
	}
	return all
}

// Recall takes the departures that a peer knows. An entry of a later heartbeat, or of a later start, stays as it is. It tells
// whether the view is another one.
func (d *Directory) Recall(departures []Departure, now time.Time) bool {
	altered := false
	for _, left := range departures {
		last, known := d.heartbeats[left.Replica]
		if known && (last.born > left.Born || last.born == left.Born && last.sequence > left.Sequence) {
			continue
		}
		entry, listed := d.replicas[left.Replica]
		d.heartbeats[left.Replica] = heartbeat{left.Born, left.Sequence, now}
		switch {
		case !listed:
		case left.Gone:
			delete(d.replicas, left.Replica)
			delete(d.lapsed, left.Replica)
			altered = true
		case !entry.Draining:
			entry.Draining = true
			d.replicas[left.Replica] = entry
			altered = true
		}
	}
	return altered
}
