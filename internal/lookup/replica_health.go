package lookup

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// A replica is stalled if requests are pending and it has answered nothing for stallFactor times the expected send
	// time plus stallMargin. Send times vary by about a third, so few reach twice the expected time, while a stall of a
	// replica takes many times as long.
	stallFactor = 2.2
	stallMargin = 8 * time.Millisecond
	// slownessDecay is the time constant with which the measured slowness of a replica decays while nothing is sent to
	// it.
	slownessDecay = 1500 * time.Millisecond
	// sampleWeight is the weight of a new sample in a decayingAverage.
	sampleWeight = 0.2
	// maxSlowness caps the ratio of measured to expected time that one send contributes.
	maxSlowness = 12
	// rejectDecay is the time constant with which the share of rejected requests decays.
	rejectDecay = time.Second
	// A replica that does not answer is avoided for minSuspectTime, which doubles with each further unanswered send in
	// a row, up to maxSuspectTime.
	minSuspectTime = 300 * time.Millisecond
	maxSuspectTime = 2 * time.Second
)

// pendingSend is what the health of a replica keeps of a send that has no outcome yet.
type pendingSend struct {
	number   uint64
	sent     time.Time
	expected time.Duration
	// work is how much work the send is, in multiples of its route's mean, but at least 1.
	work float64
}

// replicaHealth is what this instance knows of one process of a replica, mainly from its own sends. It detects three
// kinds of trouble: a replica that stalls, one that is slow for seconds, and one that rejects or loses part of its
// requests.
type replicaHealth struct {
	id fleet.ServerID
	// instances are the entry instances that share the replica's request limit.
	instances *atomic.Pointer[instanceSet]
	// zone is the reachability of the replica's zone; nil if it is not tracked.
	zone *zoneReachability
	// byWork is set if the cost of the replica includes its speed.
	byWork     bool
	mutex      sync.Mutex
	pending    []pendingSend // in the order of sending
	lastNumber uint64
	lastAnswer time.Time
	// slowness is the ratio of measured to expected send time, less 1. rejects is the share of sends that failed or
	// were rejected. The reported values come from the sightings of other instances.
	slowness, reportedSlowness decayingAverage
	rejects, reportedRejects   decayingAverage
	speed                      replicaSpeed
	unansweredSends            int // consecutive sends without an answer
	// firstUnanswered is the first unanswered send since the zone last answered.
	firstUnanswered pendingSend
	suspectUntil    time.Time
	// probing is set while a probe runs. clearedByProbe is set when a successful probe has ended the suspicion, until
	// the replica answers a request.
	probing        bool
	clearedByProbe bool
	// healthyProbeStart is when the running probe began if the replica was not known to be silent at that time, and
	// zero otherwise. Only the failure of such a probe is evidence that the zone is unreachable. lastProbeSuccess is
	// when the last successful probe ended.
	healthyProbeStart time.Time
	lastProbeSuccess  time.Time
	// misdirected is set when another process answers at the replica's address.
	misdirected bool
	// crashedAt is when the process was found to have crashed; zero if it was not. crashCheck is the running check.
	crashedAt       time.Time
	crashCheck      *crashCheck
	recentColdSends []time.Time
	selfReport      selfReport
	requestLimit    requestLimit
	// maybeSilent is set while the replica may be silent. It is read without the lock, so that healthy replicas can be
	// skipped cheaply.
	maybeSilent atomic.Bool
	// suspectedSends is the number of sends in progress of requests that are suspected of crashing replicas.
	suspectedSends atomic.Int32
}

// beginSend records a send and returns the number that identifies it for endSend.
func (h *replicaHealth) beginSend(now time.Time, expected time.Duration, kind SendKind) uint64 {
	return h.beginWork(now, expected, 1, kind)
}

// beginWork is like beginSend for a send that is the given multiple of the mean work of its route.
func (h *replicaHealth) beginWork(now time.Time, expected time.Duration, work float64, kind SendKind) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requestLimit.take(h.instances.Load(), now, kind)
	h.lastNumber++
	h.pending = append(h.pending, pendingSend{h.lastNumber, now, expected, max(work, 1)})
	h.maybeSilent.Store(true)
	return h.lastNumber
}

// endSend records the outcome of a send and returns what it showed about the replica.
func (h *replicaHealth) endSend(number uint64, now time.Time, outcome *Outcome) (seen observation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	defer h.updateMaybeSilent(now)
	var ended pendingSend
	for i := range h.pending {
		if h.pending[i].number == number {
			ended = h.pending[i]
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			break
		}
	}
	elapsed := now.Sub(ended.sent)
	h.recordSelfReport(now, outcome)
	seen.limitEnded = h.requestLimit.record(h.id, h.instances.Load(), now, outcome)
	switch {
	case outcome.answered():
		h.zone.recordAnswer(now)
		if !h.crashedAt.IsZero() && ended.sent.After(h.crashedAt) && outcome.Reason != verdict.Misdirected {
			seen.alive, h.crashedAt = true, time.Time{}
		}
		if h.unansweredSends > 0 {
			klog.InfoS("Replica answers again after silence", "replica", h.id, "silent-for", formatAge(h.lastAnswer, now), "sends-unanswered", h.unansweredSends)
		}
		h.lastAnswer = now
		h.unansweredSends, h.clearedByProbe = 0, false
		h.suspectUntil = time.Time{}
		if outcome.Reason == verdict.None {
			seen.ratio = h.observe(now, elapsed, ended.expected)
			h.rejects.observe(now, 0, rejectDecay)
		} else {
			seen.rejected = true
			h.rejects.observe(now, 1, rejectDecay)
		}
		if outcome.Reason == verdict.Misdirected && !h.misdirected {
			klog.InfoS("Another process answers at the replica's address", "replica", h.id)
			h.misdirected = true
		}
	case outcome.Reason == verdict.Cancelled || outcome.Reason == verdict.DeadlinePassed:
		seen.ratio = h.recordUnanswered(now, elapsed, ended)
		seen.silent = seen.ratio > 0 && h.lastAnswer.Before(ended.sent)
	case outcome.Reason == verdict.ConnectFailed:
		seen.ratio = maxSlowness
		h.updateFirstUnanswered(ended)
		h.startSuspicion(now, outcome.Reason)
	case outcome.Reason == verdict.Overloaded:
		// All connections of this instance to the replica are in use, which says nothing about the replica.
	default:
		seen.rejected = true
		h.rejects.observe(now, 1, rejectDecay)
	}
	return seen
}

// recordUnanswered records a send that was given up. It is ignored if it waited only briefly, or began before the last
// successful probe. Otherwise it counts as a send at least that slow, and as silence of the replica if nothing else was
// received from it meanwhile.
func (h *replicaHealth) recordUnanswered(now time.Time, elapsed time.Duration, ended pendingSend) (ratio float64) {
	if elapsed < stallAfter(ended.expected) || ended.sent.Before(h.lastProbeSuccess) {
		return 0
	}
	ratio = h.observe(now, elapsed, ended.expected)
	if h.lastAnswer.Before(ended.sent) {
		h.updateFirstUnanswered(ended)
		h.startSuspicion(now, verdict.DeadlinePassed)
	}
	return ratio
}

// startSuspicion marks the replica as suspected of being silent, for longer with each consecutive unanswered send. It
// does nothing while the replica is suspected already. The caller holds the lock.
func (h *replicaHealth) startSuspicion(now time.Time, reason verdict.Reason) {
	if now.Before(h.suspectUntil) {
		return
	}
	if h.unansweredSends == 0 {
		klog.InfoS("Replica does not answer", "replica", h.id, "reason", reason, "heard", formatAge(h.lastAnswer, now), "waiting", len(h.pending))
	}
	h.unansweredSends++
	h.maybeSilent.Store(true)
	h.suspectUntil = now.Add(min(minSuspectTime<<min(h.unansweredSends-1, 10), maxSuspectTime))
}

// formatAge returns the time since at for the log, or "never" if at is zero.
func formatAge(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

// observe records the time of a send and returns its ratio to the expected time. A time close to the expected one also
// reduces the slowness and rejections that other instances have reported.
func (h *replicaHealth) observe(now time.Time, elapsed, expected time.Duration) (ratio float64) {
	ratio = min(float64(elapsed)/float64(max(expected, time.Millisecond)), maxSlowness)
	h.slowness.observe(now, ratio-1, slownessDecay)
	if h.byWork {
		h.speed.observe(ratio)
	}
	if ratio < reportedRatio {
		h.reportedSlowness.observe(now, ratio-1, slownessDecay)
		h.reportedRejects.observe(now, 0, rejectDecay)
	}
	return ratio
}

// decayingAverage is an exponentially weighted moving average that decays towards zero while nothing is observed.
type decayingAverage struct {
	value float64
	at    time.Time
}

func (a *decayingAverage) valueAt(now time.Time, timeConstant time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-float64(now.Sub(a.at))/float64(timeConstant))
}

func (a *decayingAverage) observe(now time.Time, sample float64, timeConstant time.Duration) {
	current := a.valueAt(now, timeConstant)
	a.value = current + sampleWeight*(sample-current)
	a.at = now
}

func stallAfter(expected time.Duration) time.Duration {
	return time.Duration(stallFactor*float64(expected)) + stallMargin
}

// stalledLocked reports whether requests are pending and the replica has answered none for longer than expected. The
// caller holds the lock.
func (h *replicaHealth) stalledLocked(now time.Time) bool {
	if len(h.pending) == 0 {
		return false
	}
	oldest := &h.pending[0]
	since := oldest.sent
	if h.lastAnswer.After(since) {
		since = h.lastAnswer
	}
	return now.Sub(since) > stallAfter(oldest.expected)
}

// rejectShare returns the share of recent requests that the replica has rejected or failed, as seen by this instance or
// reported by others.
func (h *replicaHealth) rejectShare(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(h.rejects.valueAt(now, rejectDecay), h.reportedRejects.valueAt(now, rejectDecay))
}

// isStalled is like stalledLocked but takes the lock.
func (h *replicaHealth) isStalled(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.stalledLocked(now)
}

// usable reports whether the replica accepts another request over at most maxConnections connections, and whether it is
// responding: neither suspected of being silent nor stalled. Unlike availability, which decides whether a shard can
// be answered at all, responding is about the choice among the replicas of a shard.
func (h *replicaHealth) usable(now time.Time, maxConnections int) (accepts, responding bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	accepts = !h.misdirected && len(h.pending) < maxConnections && h.acceptsNowLocked(now)
	return accepts, !now.Before(h.suspectUntil) && !h.stalledLocked(now)
}

// admitCold reports whether this instance may send a cold replica one more request, given that it may send limit of
// them a second, and if so counts the request.
func (h *replicaHealth) admitCold(now time.Time, limit int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	kept := h.recentColdSends[:0]
	for _, sent := range h.recentColdSends {
		if now.Sub(sent) < time.Second {
			kept = append(kept, sent)
		}
	}
	h.recentColdSends = kept
	if len(kept) >= limit {
		return false
	}
	h.recentColdSends = append(kept, now)
	return true
}

// isUnresponsive reports whether the replica has recently not answered at all. After a suspicion has ended, the first
// request to the replica shows whether it answers again; until then other requests regard it as unresponsive.
func (h *replicaHealth) isUnresponsive(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unresponsiveLocked(now)
}

func (h *replicaHealth) unresponsiveLocked(now time.Time) bool {
	return h.misdirected || now.Before(h.suspectUntil) || h.unansweredSends > 0 && len(h.pending) > 0
}

// isSilent reports whether the replica is suspected of being silent, or is stalled and has not answered recently.
// Unlike isUnresponsive, it includes stalled replicas and excludes those whose suspicion has ended.
func (h *replicaHealth) isSilent(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.updateMaybeSilent(now)
	return now.Before(h.suspectUntil) || h.stalledLocked(now) && !h.answeredRecently(now)
}

// updateFirstUnanswered keeps an unanswered send if it is the first one since the zone last answered.
func (h *replicaHealth) updateFirstUnanswered(ended pendingSend) {
	if !h.firstUnanswered.sent.After(h.zone.lastAnswer()) {
		h.firstUnanswered = ended
	}
}

// hasOverdueSend reports whether a request that was sent after the zone last answered should have been answered by now.
// A send whose connection was refused also counts only after that time, because other replicas of the zone may still
// answer requests that were sent at the same time.
func (h *replicaHealth) hasOverdueSend(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	lastAnswer := h.zone.lastAnswer()
	overdue := func(send *pendingSend) bool {
		return send.sent.After(lastAnswer) && now.Sub(send.sent) > stallAfter(send.expected)
	}
	return overdue(&h.firstUnanswered) || slices.ContainsFunc(h.pending, func(send pendingSend) bool { return overdue(&send) })
}

func (h *replicaHealth) answeredRecently(now time.Time) bool {
	return now.Sub(h.lastAnswer) <= recentAnswerWindow || now.Sub(h.lastProbeSuccess) <= recentAnswerWindow
}

// updateMaybeSilent sets maybeSilent from the current state. The caller holds the lock.
func (h *replicaHealth) updateMaybeSilent(now time.Time) {
	h.maybeSilent.Store(len(h.pending) > 0 || h.unansweredSends > 0 || now.Before(h.suspectUntil))
}
