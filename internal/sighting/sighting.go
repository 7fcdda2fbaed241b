// Package sighting shares what the entry instances of one availability zone observe about replicas. With many
// instances, each sends to a replica so rarely that it would find a slow replica only after the replica has recovered;
// together they find it at once.
//
// One instance of the zone, the hub, collects the sightings and passes them on to the others, so that the number of
// calls grows linearly with the number of instances. Sightings are hints for the choice among replicas: they expire
// within seconds, and never by themselves take a replica out of use.
package sighting

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Sighting is an observation of one instance: a bad send, which was slow, rejected or failed, a zone that may be
// unreachable, or the end of a replica's request limit.
type Sighting struct {
	// Zone is set if no replica of that zone has answered what was sent there; the sighting then concerns no single
	// replica.
	Zone    fleet.ZoneID
	Replica fleet.ServerID
	// StartedAt is the start time of the replica in Unix milliseconds; it tells apart the starts of a replica that
	// keeps its ID.
	StartedAt int64
	// Slowness is the ratio of the measured to the expected time of the send; 0 for a send that was rejected or failed.
	Slowness float64
	// LimitEnded is set if the replica has stopped naming a request limit. The sighting is then not of a bad send.
	LimitEnded bool
	// ObservedAt is when the send ended, or when the instance began to suspect the zone.
	ObservedAt time.Time
	// From is the instance that made the observation; the hub fills it in.
	From fleet.InstanceID
}

const (
	// sightingTTL is how long a sighting is worth passing on. Its effect on the choice of replicas decays about as
	// fast.
	sightingTTL = time.Second
	// maxSightings bounds what a hub keeps: one second in a zone in which a tenth of 30,000 sends are slow, rejected or
	// fail.
	maxSightings = 3000
)

const (
	// Two bad sends between minConfirmInterval and maxConfirmInterval apart show that a replica is in trouble. Sends
	// that wait for the end of one stall end closer together, and reporting a stall would come when it is over.
	minConfirmInterval = 60 * time.Millisecond
	maxConfirmInterval = time.Second
)

// Hub collects sightings in the order of their arrival. It passes on a bad send once another one confirms it. Sightings
// of a zone and of the end of a request limit are passed on at once, because each instance that gets one finds out for
// itself. Hub does no I/O and is not safe for concurrent use.
type Hub struct {
	sightings []positionedSighting
	// lastBadSend is when the last bad send to a replica ended.
	lastBadSend map[fleet.ServerID]time.Time
	// lastLimitEnd is when the end of a replica's request limit was last passed on.
	lastLimitEnd map[fleet.ServerID]time.Time
	// nextPosition is the position of the next sighting. Positions increase for the lifetime of the process.
	nextPosition uint64
}

type positionedSighting struct {
	position uint64
	Sighting
}

// Add adds sightings of an instance. It discards those that have expired, those of a replica that no other sighting
// confirms yet, and the oldest ones beyond maxSightings. It reports whether it added any.
func (h *Hub) Add(from fleet.InstanceID, sightings []Sighting, now time.Time) bool {
	previous := h.nextPosition
	for _, s := range sightings {
		if now.Sub(s.ObservedAt) < sightingTTL && h.worthPassingOn(s) {
			s.From = from
			h.sightings = append(h.sightings, positionedSighting{h.nextPosition, s})
			h.nextPosition++
		}
	}
	if len(h.lastBadSend) > maxSightings {
		h.lastBadSend = nil
	}
	if len(h.lastLimitEnd) > maxSightings {
		h.lastLimitEnd = nil
	}
	drop := max(0, len(h.sightings)-maxSightings)
	for drop < len(h.sightings) && now.Sub(h.sightings[drop].ObservedAt) >= sightingTTL {
		drop++
	}
	h.sightings = h.sightings[drop:]
	return h.nextPosition > previous
}

func (h *Hub) worthPassingOn(s Sighting) bool {
	switch {
	case s.Zone != "":
		return true
	case s.LimitEnded:
		return h.isFirstLimitEnd(s)
	}
	return h.confirmed(s)
}

// isFirstLimitEnd reports whether the end of the replica's request limit has not been passed on lately: all instances
// that use a limit find its end at about the same time.
func (h *Hub) isFirstLimitEnd(s Sighting) bool {
	if last, known := h.lastLimitEnd[s.Replica]; known && s.ObservedAt.Sub(last) < sightingTTL {
		return false
	}
	if h.lastLimitEnd == nil {
		h.lastLimitEnd = make(map[fleet.ServerID]time.Time)
	}
	h.lastLimitEnd[s.Replica] = s.ObservedAt
	return true
}

// confirmed reports whether another bad send to the replica ended within the confirmation interval before or after.
func (h *Hub) confirmed(s Sighting) bool {
	last, known := h.lastBadSend[s.Replica]
	if h.lastBadSend == nil {
		h.lastBadSend = make(map[fleet.ServerID]time.Time)
	}
	apart := s.ObservedAt.Sub(last).Abs()
	if known && apart < minConfirmInterval {
		return false
	}
	if s.ObservedAt.After(last) {
		h.lastBadSend[s.Replica] = s.ObservedAt
	}
	return known && apart <= maxConfirmInterval
}

// Since returns the sightings from a position on that other instances reported, and the position to continue from. A
// position beyond the hub's own comes from another process, so all sightings are returned.
func (h *Hub) Since(position uint64, to fleet.InstanceID, now time.Time) ([]Sighting, uint64) {
	if position > h.nextPosition {
		position = 0
	}
	var sightings []Sighting
	for i := range h.sightings {
		if p := &h.sightings[i]; p.position >= position && p.From != to && now.Sub(p.ObservedAt) < sightingTTL {
			sightings = append(sightings, p.Sighting)
		}
	}
	return sightings, h.nextPosition
}
