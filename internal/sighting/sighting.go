// Package sighting shares what the entry instances of one availability zone see of replicas. With many instances each of them
// asks a replica so seldom that it finds a slow one only when the replica is well again; together they find it at once.
//
// One instance of the zone, the board, collects the sightings and hands them to the others, so that the calls grow with the
// instances and not with their square. What is shared is a hint for the choice among replicas: it fades within seconds, and
// never by itself takes a replica out of use.
package sighting

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Sighting is one send that went badly, or a zone that may be cut off.
type Sighting struct {
	// Zone is set where nothing in another zone has answered what was sent there; the sighting is of no replica then.
	Zone    fleet.ZoneID
	Replica fleet.ServerID
	// Born distinguishes the starts of a replica that keeps its id.
	Born int64
	// Slowness is the time of the send in usual times; 0 for a send that was rejected or failed.
	Slowness float64
	// At is when the send ended.
	At time.Time
	// From is the instance that sent; the board fills it in.
	From fleet.InstanceID
}

const (
	// memory is how long a sighting is worth passing on; replicas are forgiven about as fast.
	memory = time.Second
	// mostSightings bounds what an instance keeps: a second of a zone in which a tenth of 30,000 sends go badly.
	mostSightings = 3000
)

const (
	// confirmAfter and confirmWithin are the times between two sends that went badly that show that a replica is in trouble.
	// Sends that wait for the end of one pause end together, and news of a pause would come when it is over.
	confirmAfter  = 60 * time.Millisecond
	confirmWithin = time.Second
)

// Board collects sightings in the order of their arrival and passes on those that another one confirms; those of zones at once,
// because whoever is told finds out by itself. It does no I/O and is not safe for concurrent use.
type Board struct {
	kept []posted
	// last is when the last send to a replica ended that went badly.
	last map[fleet.ServerID]time.Time
	// next is the position of the next sighting. Positions rise as long as the process runs.
	next uint64
}

type posted struct {
	position uint64
	Sighting
}

// Post adds sightings of an instance and drops those that are too old or too many. It tells whether there is something to pass
// on.
func (b *Board) Post(from fleet.InstanceID, sightings []Sighting, now time.Time) bool {
	former := b.next
	for _, s := range sightings {
		if now.Sub(s.At) < memory && (s.Zone != "" || b.confirmed(s)) {
			s.From = from
			b.kept = append(b.kept, posted{b.next, s})
			b.next++
		}
	}
	if len(b.last) > mostSightings {
		b.last = nil
	}
	drop := max(0, len(b.kept)-mostSightings)
	for drop < len(b.kept) && now.Sub(b.kept[drop].At) >= memory {
		drop++
	}
	b.kept = b.kept[drop:]
	return b.next > former
}

// confirmed tells whether another send went badly some time before or after.
func (b *Board) confirmed(s Sighting) bool {
	last, known := b.last[s.Replica]
	if b.last == nil {
		b.last = make(map[fleet.ServerID]time.Time)
	}
	apart := s.At.Sub(last).Abs()
	if known && apart < confirmAfter {
		return false
	}
	if s.At.After(last) {
		b.last[s.Replica] = s.At
	}
	return known && apart <= confirmWithin
}

// Since returns the sightings from a position on that other instances posted, and the position to go on from. A position
// ahead of the board is one of another process, and gets all.
func (b *Board) Since(position uint64, to fleet.InstanceID, now time.Time) ([]Sighting, uint64) {
	if position > b.next {
		position = 0
	}
	var news []Sighting
	for i := range b.kept {
		if p := &b.kept[i]; p.position >= position && p.From != to && now.Sub(p.At) < memory {
			news = append(news, p.Sighting)
		}
	}
	return news, b.next
}
