package lookup

import "time"

const (
	// stallPenalty, suspectPenalty and rejectPenalty, in multiples of the expected send time, are added to the cost of
	// a replica; rejectPenalty is first multiplied by the share of its requests that were rejected or failed. A stalled
	// replica ranks behind any slow one, and a silent one behind that.
	stallPenalty   = 12
	suspectPenalty = 30
	rejectPenalty  = 4
	// pendingPenalty is the relative increase of the cost for each of this instance's pending requests per slot of the
	// replica, of which one that is more work than the mean of its route counts as several.
	pendingPenalty = 1
	// remotePenalty, in multiples of the expected send time, and remoteDelay are added for a replica in another
	// availability zone: traffic between zones is billed, and each direction takes about a millisecond.
	remotePenalty = 0.3
	remoteDelay   = 2 * time.Millisecond
	// connectPenalty, in multiples of the expected send time, and connectDelay are added for a replica of a subset to
	// which no connection is idle: the handshake takes a round trip and occupies a slot for some milliseconds, and a
	// replica that accepts few connections has none to spare for a small gain of time.
	connectPenalty = 0.25
	connectDelay   = 2 * time.Millisecond
	// coldFactor is how many times as long a cold replica takes, according to users of the project.
	coldFactor = 1.6
)

// cost returns the estimated cost of sending the replica a part that is expected to take the given time; lower is
// better.
func (h *replicaHealth) cost(now time.Time, expected time.Duration, local, cold bool, slots int) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	multiple := 1 + max(h.slowness.valueAt(now, slownessDecay), h.reportedSlowness.valueAt(now, slownessDecay), -0.5)
	if cold {
		multiple *= coldFactor
	}
	multiple *= h.speed.ratio()
	multiple *= 1 + pendingPenalty*h.pendingWork()/float64(max(slots, 1))
	multiple += rejectPenalty * max(h.rejects.valueAt(now, rejectDecay), h.reportedRejects.valueAt(now, rejectDecay))
	if h.stalledLocked(now) {
		multiple += stallPenalty
	}
	if now.Before(h.suspectUntil) {
		multiple += suspectPenalty
	}
	total := time.Duration(multiple * float64(expected))
	if !local {
		total += remoteDelay + time.Duration(remotePenalty*float64(expected))
	}
	return total
}

// connectCost returns the cost of opening a connection for a send that is expected to take the given time. It is twice as
// high for a connection that is closed after use.
func connectCost(expected time.Duration, kept bool) time.Duration {
	cost := connectDelay + time.Duration(connectPenalty*float64(expected))
	if !kept {
		cost *= 2
	}
	return cost
}
