package lookup

import "time"

// suspectUntilAtLeast treats the replica as silent until the given time, without counting an unanswered send.
func (h *replicaHealth) suspectUntilAtLeast(until time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if until.After(h.suspectUntil) {
		h.suspectUntil = until
		h.maybeSilent.Store(true)
	}
}

// doubtTime is how long after a suspicion has ended a replica that accepts connections and has answered no request since
// is still not sent requests that another instance may serve.
const doubtTime = 30 * time.Second

// isDoubtful reports whether the replica is unresponsive or was so lately and has not answered since.
func (h *replicaHealth) isDoubtful(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unresponsiveLocked(now) || h.unansweredSends > 0 && h.clearedByProbe && now.Before(h.suspectUntil.Add(doubtTime))
}

// suspectUnlessAnswered treats the replica as silent until the given time, unless it has answered since another time.
func (h *replicaHealth) suspectUnlessAnswered(since, until time.Time) {
	h.mutex.Lock()
	answered := h.lastAnswer.After(since)
	h.mutex.Unlock()
	if !answered {
		h.suspectUntilAtLeast(until)
	}
}

// recentlyHeard is how long before a partition of this instance a replica must have answered to be used at its end
// without a probe.
const recentlyHeard = 10 * time.Second

// endSuspicionSince ends a suspicion that is due to a partition of this instance which began at the given time.
func (h *replicaHealth) endSuspicionSince(since time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.suspectUntil.IsZero() || h.misdirected || h.lastAnswer.Before(since.Add(-recentlyHeard)) {
		return
	}
	h.suspectUntil, h.unansweredSends, h.clearedByProbe = time.Time{}, 0, false
	h.slowness = decayingAverage{}
}

// startProbe reports whether the replica should be probed now, and if so marks the probe as running. With
// evenIfHealthy, a replica that is not known to be silent is probed as well.
func (h *replicaHealth) startProbe(now time.Time, evenIfHealthy bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.probing || h.misdirected || h.selfReport.leaving {
		return false
	}
	silent := h.unansweredSends > 0 || now.Before(h.suspectUntil)
	h.probing = evenIfHealthy || !h.clearedByProbe && silent
	h.healthyProbeStart = time.Time{}
	if !silent {
		h.healthyProbeStart = now
	}
	return h.probing
}

// endProbe records the result of a probe. A successful probe ends the suspicion of the replica, but only once until the
// replica answers a request: it may accept connections and still answer no request.
func (h *replicaHealth) endProbe(now time.Time, reached bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.probing = false
	if !reached {
		if !h.healthyProbeStart.IsZero() {
			h.updateFirstUnanswered(pendingSend{sent: h.healthyProbeStart})
			h.maybeSilent.Store(true)
		}
		// Keep the replica suspected, so that no request has to find out that it is still silent.
		if h.unansweredSends > 0 && !h.clearedByProbe {
			h.suspectUntil = latest(h.suspectUntil, now.Add(maxSuspectTime))
		}
		return
	}
	h.lastProbeSuccess = now
	h.zone.recordAnswer(now)
	if !h.clearedByProbe && (h.unansweredSends > 0 || now.Before(h.suspectUntil)) {
		h.clearedByProbe = true
		h.suspectUntil = time.Time{}
		h.slowness = decayingAverage{}
	}
}
