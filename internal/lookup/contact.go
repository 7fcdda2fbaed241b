package lookup

import (
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// cutEvidence is the least number of replicas of a zone without an answer, since another of its replicas has answered last,
	// that shows that the zone may be cut off or down. Fewer may have failed by themselves at the same time.
	cutEvidence = 4
	// soundFor is how long an answer from another zone shows that it is reached.
	soundFor = 300 * time.Millisecond
	// toldFor is how long a doubt of another instance makes this one try replicas of a zone: some rounds of them.
	toldFor = time.Second
)

// contact is the contact to the replicas of one zone. It is safe for concurrent use; nil is that of no zone.
type contact struct {
	heard atomic.Int64 // Unix nanoseconds of the last answer or successful probe
	told  atomic.Int64 // Unix nanoseconds of the last doubt of another instance
}

func (c *contact) hear(now time.Time) {
	if c != nil {
		c.heard.Store(now.UnixNano())
	}
}

// doubt records that another instance doubts that the zone is reached. It tells whether that is new.
func (c *contact) doubt(at time.Time) bool {
	former := c.told.Swap(at.UnixNano())
	return at.Sub(time.Unix(0, former)) > toldFor
}

// inDoubt tells whether another instance doubts that the zone is reached, and nothing was heard since.
func (c *contact) inDoubt(now time.Time) bool {
	told := time.Unix(0, c.told.Load())
	return now.Sub(told) < toldFor && c.lastHeard().Before(told)
}

func (c *contact) lastHeard() time.Time {
	if c == nil {
		return time.Time{}
	}
	return time.Unix(0, c.heard.Load())
}

// remoteZone is one look at the contact to another zone.
type remoteZone struct {
	heard time.Time
	// told is set while another instance doubts that the zone is reached.
	told bool
	// unanswered is the number of replicas to which requests were sent after the zone was heard last, without an answer in the
	// time that lets expect one. While the zone is reached, the answers of other replicas keep it low.
	unanswered int
}

// sound tells whether the zone has answered just now.
func (z remoteZone) sound(now time.Time) bool { return now.Sub(z.heard) <= soundFor }

// doubtful tells whether the zone may be cut off from this instance or down as a whole.
func (z remoteZone) doubtful() bool { return z.unanswered >= cutEvidence }

// remoteZones looks at the contact to each other zone. Replicas that have answered every request cost nothing here.
func (e *Engine) remoteZones(now time.Time) map[fleet.ZoneID]remoteZone {
	zones := make(map[fleet.ZoneID]remoteZone)
	for _, m := range e.plan.Load().remote {
		zone, known := zones[m.Zone]
		if !known {
			zone.heard, zone.told = m.load.contact.lastHeard(), m.load.contact.inDoubt(now)
		}
		unanswered := m.load.uncertain.Load() && m.load.overdue(now)
		if unanswered {
			zone.unanswered++
		}
		if unanswered || !known {
			zones[m.Zone] = zone
		}
	}
	return zones
}
