package lookup

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
)

const (
	// reportedRatio is the ratio of measured to expected send time from which the other instances are informed. Few
	// sends to a healthy replica take that long.
	reportedRatio = 2
	// maxLoggedReplicas bounds the number of replicas that one log line names.
	maxLoggedReplicas = 8
)

// observation is what one send showed about its replica.
type observation struct {
	// ratio is the ratio of the measured to the expected time of the send; 0 if the send gave no measurement.
	ratio float64
	// rejected is set if the replica rejected or failed the send.
	rejected bool
	// limitEnded is set if the replica has stopped naming a request limit, and this instance found it first.
	limitEnded bool
	// silent is set if the send was given up and nothing else was received from the replica meanwhile. alive is set if a
	// replica that was taken for crashed has answered.
	silent, alive bool
}

// reportZone informs the other instances that a zone is suspected of being unreachable.
func (e *Engine) reportZone(zone fleet.ZoneID, now time.Time) {
	if e.reportSighting != nil {
		e.reportSighting(sighting.Sighting{Zone: zone, ObservedAt: now})
	}
}

// reportSend informs the other instances of a send that was slow, rejected or failed, or showed the end of a request
// limit.
func (e *Engine) reportSend(to *member, seen observation, now time.Time) {
	if e.reportSighting == nil {
		return
	}
	if seen.limitEnded {
		e.reportSighting(sighting.Sighting{Replica: to.ID, StartedAt: to.StartedAt, LimitEnded: true, ObservedAt: now})
	}
	if !seen.rejected && seen.ratio < reportedRatio {
		return
	}
	s := sighting.Sighting{Replica: to.ID, StartedAt: to.StartedAt, ObservedAt: now}
	if !seen.rejected {
		s.Slowness = seen.ratio
	}
	e.reportSighting(s)
}

// ApplySightings applies what other instances have observed. With many instances, each sends to a replica too rarely to
// find out by itself that the replica is slow or fails. Sightings affect the order in which replicas are chosen, keep
// parts from being hedged to a replica that rejects requests, help to tell why a request is late, and let this instance
// send one request to find out whether a request limit has ended. Whether a replica is silent, and whether a request can
// meet its coverage floor, is decided only from this instance's own sends and probes.
func (e *Engine) ApplySightings(sightings []sighting.Sighting) {
	e.updateMutex.Lock()
	defer e.updateMutex.Unlock()
	var slow, unlimited []fleet.ServerID
	for _, s := range sightings {
		if s.Zone != "" {
			e.applyZoneSighting(s)
			continue
		}
		known := e.replicas[s.Replica]
		switch {
		case known.health == nil || known.replica.StartedAt != s.StartedAt:
		case s.LimitEnded:
			if known.health.hintLimitEnded(time.Now()) {
				unlimited = append(unlimited, s.Replica)
			}
		case known.health.applySighting(s):
			slow = append(slow, s.Replica)
		}
	}
	if len(slow) > 0 {
		klog.InfoS("Replicas reported slow by other instances", "count", len(slow), "replicas", slow[:min(len(slow), maxLoggedReplicas)], "from", sightings[len(sightings)-1].From)
	}
	if len(unlimited) > 0 {
		klog.InfoS("Request limits ended according to other instances", "count", len(unlimited), "replicas", unlimited[:min(len(unlimited), maxLoggedReplicas)], "from", sightings[len(sightings)-1].From)
	}
}

// applyZoneSighting makes the zone monitor probe a zone that another instance of the own zone suspects of being
// unreachable. With many instances, each sends a request only now and then and would not notice the loss of a zone
// before its next one.
func (e *Engine) applyZoneSighting(s sighting.Sighting) {
	if zone := e.zones[s.Zone]; zone != nil && zone.recordReport(s.ObservedAt) {
		klog.InfoS("Another instance suspects that the zone is unreachable", "zone", s.Zone, "from", s.From)
	}
}

// applySighting records what another instance observed. It reports whether the sighting raised the reported slowness to
// slowThreshold.
func (h *replicaHealth) applySighting(s sighting.Sighting) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if s.Slowness == 0 {
		h.reportedRejects.observe(latest(s.ObservedAt, h.reportedRejects.at), 1, rejectDecay)
		return false
	}
	was := h.reportedSlowness.valueAt(s.ObservedAt, slownessDecay)
	h.reportedSlowness.observe(latest(s.ObservedAt, h.reportedSlowness.at), min(s.Slowness, maxSlowness)-1, slownessDecay)
	return was < slowThreshold && h.reportedSlowness.value >= slowThreshold
}

// latest returns the later of two times. For a decayingAverage it keeps the time from going back, because sightings of
// several instances arrive out of order.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
