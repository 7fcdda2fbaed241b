package lookup

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
)

const (
	// sharedRatio is the time of a send, in usual times, from which the other instances are told: few sends to a sound replica
	// take that long.
	sharedRatio = 2
	// mostNamed bounds the replicas that one line names.
	mostNamed = 8
)

// observation is what one send showed of its replica.
type observation struct {
	// ratio is the time of the send in usual times; 0 if it showed none.
	ratio float64
	// rejected is set when the replica rejected or failed it.
	rejected bool
}

// reportZone tells the other instances of a zone in doubt.
func (e *Engine) reportZone(zone fleet.ZoneID, now time.Time) {
	if e.seen != nil {
		e.seen(sighting.Sighting{Zone: zone, At: now})
	}
}

// report tells the other instances of a send that went badly.
func (e *Engine) report(to *member, seen observation, now time.Time) {
	if e.seen == nil || !seen.rejected && seen.ratio < sharedRatio {
		return
	}
	s := sighting.Sighting{Replica: to.ID, Born: to.Born, At: now}
	if !seen.rejected {
		s.Slowness = seen.ratio
	}
	e.seen(s)
}

// Told takes what other instances saw. It answers many instances of which each sends to a replica too seldom to find out by
// itself that it is slow or fails. It changes the order in which replicas are chosen, keeps parts from being hedged to a replica
// that rejects, and helps to tell why a request is late. Whether a replica is silent, and whether a request can reach its floor,
// is judged from this instance's own sends.
func (e *Engine) Told(sightings []sighting.Sighting) {
	e.updating.Lock()
	defer e.updating.Unlock()
	var slow []fleet.ServerID
	for _, s := range sightings {
		if s.Zone != "" {
			e.toldOfZone(s)
		} else if known := e.loads[s.Replica]; known.load != nil && known.replica.Born == s.Born && known.load.told(s) {
			slow = append(slow, s.Replica)
		}
	}
	if len(slow) > 0 {
		klog.InfoS("Replicas reported slow", "count", len(slow), "replicas", slow[:min(len(slow), mostNamed)], "from", sightings[len(sightings)-1].From)
	}
}

// toldOfZone makes WatchReach find out whether a zone is cut off that another instance of the own zone is in doubt about. It answers
// many instances, of which each gets a request now and then and would notice a cut with its next one only.
func (e *Engine) toldOfZone(s sighting.Sighting) {
	if told := e.contacts[s.Zone]; told != nil && told.doubt(s.At) {
		klog.InfoS("Zone in doubt by another instance", "zone", s.Zone, "from", s.From)
	}
}

// told records what another instance saw. It tells whether the replica counts as slow from now on.
func (l *load) told(s sighting.Sighting) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s.Slowness == 0 {
		l.toldRejects.observe(latest(s.At, l.toldRejects.at), 1, rejectMemory)
		return false
	}
	was := l.toldSlowness.now(s.At, slownessMemory)
	l.toldSlowness.observe(latest(s.At, l.toldSlowness.at), min(s.Slowness, mostSlowness)-1, slownessMemory)
	return was < slowState && l.toldSlowness.value >= slowState
}

// latest keeps the time of a smoothed value from going back: sightings of several instances come out of order.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
