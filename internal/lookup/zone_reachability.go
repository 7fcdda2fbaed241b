package lookup

import (
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// minUnansweredReplicas is the number of replicas with an overdue request at which their zone is suspected of being
	// unreachable. Only requests that were sent after the zone last answered count. Fewer replicas may have failed
	// independently at the same time.
	minUnansweredReplicas = 4
	// recentAnswerWindow is how long an answer from a zone or a replica shows that it is reachable.
	recentAnswerWindow = 300 * time.Millisecond
	// zoneReportTTL is how long another instance's report that a zone may be unreachable makes this instance probe
	// replicas of the zone: several rounds of probes.
	zoneReportTTL = time.Second
)

// zoneReachability records when one zone last answered and when another instance last reported it unreachable. It is
// safe for concurrent use. A nil pointer stands for no zone: recordAnswer does nothing and lastAnswer returns the zero
// time.
type zoneReachability struct {
	lastAnswerNanos atomic.Int64 // Unix nanoseconds of the last answer or successful probe
	lastReportNanos atomic.Int64 // Unix nanoseconds of the last report of another instance
}

func (r *zoneReachability) recordAnswer(now time.Time) {
	if r != nil {
		r.lastAnswerNanos.Store(now.UnixNano())
	}
}

// recordReport records that another instance suspects the zone of being unreachable. It reports whether no earlier
// report was still in effect.
func (r *zoneReachability) recordReport(at time.Time) bool {
	previous := r.lastReportNanos.Swap(at.UnixNano())
	return at.Sub(time.Unix(0, previous)) > zoneReportTTL
}

// reportedUnreachable reports whether another instance suspects the zone of being unreachable and nothing has been
// received from the zone since that report.
func (r *zoneReachability) reportedUnreachable(now time.Time) bool {
	reportedAt := time.Unix(0, r.lastReportNanos.Load())
	return now.Sub(reportedAt) < zoneReportTTL && r.lastAnswer().Before(reportedAt)
}

func (r *zoneReachability) lastAnswer() time.Time {
	if r == nil {
		return time.Time{}
	}
	return time.Unix(0, r.lastAnswerNanos.Load())
}

// remoteZone is a snapshot of the reachability of one other zone.
type remoteZone struct {
	lastAnswer time.Time
	// reportedUnreachable is set while another instance suspects the zone of being unreachable.
	reportedUnreachable bool
	// unansweredReplicas is the number of replicas with a request that was sent after the zone last answered and is
	// overdue. While the zone is reachable, the answers of its other replicas keep this number low.
	unansweredReplicas int
}

// answeredRecently reports whether the zone has answered within recentAnswerWindow.
func (z remoteZone) answeredRecently(now time.Time) bool {
	return now.Sub(z.lastAnswer) <= recentAnswerWindow
}

// suspected reports whether the zone may be unreachable from this instance, or down as a whole.
func (z remoteZone) suspected() bool { return z.unansweredReplicas >= minUnansweredReplicas }

// remoteZones returns a snapshot of each other zone. Replicas that have answered every request are skipped without
// taking their locks.
func (e *Engine) remoteZones(now time.Time) map[fleet.ZoneID]remoteZone {
	zones := make(map[fleet.ZoneID]remoteZone)
	for _, m := range e.view.Load().remote {
		zone, known := zones[m.Zone]
		if !known {
			zone.lastAnswer, zone.reportedUnreachable = m.health.zone.lastAnswer(), m.health.zone.reportedUnreachable(now)
		}
		unanswered := m.health.maybeSilent.Load() && m.health.hasOverdueSend(now)
		if unanswered {
			zone.unansweredReplicas++
		}
		if unanswered || !known {
			zones[m.Zone] = zone
		}
	}
	return zones
}
