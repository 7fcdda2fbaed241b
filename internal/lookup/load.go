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
	// stallFactor and stallFloor say how long a replica may be silent while requests wait at it, as a multiple of the
	// usual time of a part. The time of a part varies by a third, so twice the usual time is met by few parts, while a
	// pause of a replica takes many times as long.
	stallFactor = 2.2
	stallFloor  = 8 * time.Millisecond
	// slownessMemory is how fast a slow replica is forgiven while nothing is sent to it.
	slownessMemory = 1500 * time.Millisecond
	// observationGain is the weight of a new observation.
	observationGain = 0.2
	// mostSlowness bounds what one observation counts.
	mostSlowness = 12
	// rejectMemory is how fast rejections are forgiven.
	rejectMemory = time.Second
	// firstSuspicion doubles with each further send in a row without any answer, up to longestSuspicion.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 2 * time.Second
	// coldSlowness is how much longer a cold replica takes, by what the users say of theirs.
	coldSlowness = 1.6
)

// waiting is one send without an outcome yet.
type waiting struct {
	number   uint64
	sent     time.Time
	expected time.Duration
}

// load is what this instance knows of one start of a replica from its own sends. It answers three patterns: a replica
// that pauses, one that is slow for seconds, and one that rejects or loses part of its requests.
type load struct {
	id fleet.ServerID
	// contact is that of the replica's zone; nil where it does not matter.
	contact *contact
	mutex   sync.Mutex
	waiting []waiting // in the order of sending
	numbers uint64
	heard   time.Time
	// slowness is the time of a part over the usual time, less 1; rejects is the share of sends that failed or were
	// rejected. The told ones are what other instances saw.
	slowness, toldSlowness smoothed
	rejects, toldRejects   smoothed
	silent                 int // sends in a row without an answer
	// missed is the first send without an answer since the zone was heard last.
	missed  waiting
	suspect time.Time
	// probing is set while a probe runs; reached is when the last successful one ended. vouched is set once a probe has
	// ended a suspicion, until the replica answers a request.
	probing bool
	vouched bool
	// soundProbe is when the running probe began, if the replica was not known to be silent; zero otherwise. That it fails is
	// evidence of a cut.
	soundProbe time.Time
	reached    time.Time
	// misdirected is set when another process answers at the address.
	misdirected bool
	coldSends   []time.Time
	notice      notice
	// uncertain is set while the replica may be silent. It is read without the lock.
	uncertain atomic.Bool
}

// begin records a send.
func (l *load) begin(now time.Time, expected time.Duration) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.numbers++
	l.waiting = append(l.waiting, waiting{l.numbers, now, expected})
	l.uncertain.Store(true)
	return l.numbers
}

// end records the outcome of a send and returns what it showed.
func (l *load) end(number uint64, now time.Time, outcome *Outcome) (seen observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	defer l.settle(now)
	var ended waiting
	for i := range l.waiting {
		if l.waiting[i].number == number {
			ended = l.waiting[i]
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	elapsed := now.Sub(ended.sent)
	l.recordNotice(now, outcome)
	switch {
	case outcome.answered():
		l.contact.hear(now)
		if l.silent > 0 {
			klog.InfoS("Replica answers again", "replica", l.id, "silent-for", ageOf(l.heard, now), "sends-unanswered", l.silent)
		}
		l.heard = now
		l.silent, l.vouched = 0, false
		l.suspect = time.Time{}
		if outcome.Reason == verdict.None {
			seen.ratio = l.observe(now, elapsed, ended.expected)
			l.rejects.observe(now, 0, rejectMemory)
		} else {
			seen.rejected = true
			l.rejects.observe(now, 1, rejectMemory)
		}
		if outcome.Reason == verdict.Misdirected && !l.misdirected {
			klog.InfoS("Replica misdirected", "replica", l.id)
			l.misdirected = true
		}
	case outcome.Reason == verdict.Cancelled || outcome.Reason == verdict.DeadlinePassed:
		seen.ratio = l.unanswered(now, elapsed, ended)
	case outcome.Reason == verdict.ConnectFailed:
		seen.ratio = mostSlowness
		l.miss(ended)
		l.suspectFor(now, outcome.Reason)
	case outcome.Reason == verdict.Overloaded:
		// Every connection of this instance is in use; nothing is learnt of the replica.
	default:
		seen.rejected = true
		l.rejects.observe(now, 1, rejectMemory)
	}
	return seen
}

// unanswered records a send that was given up. A short wait says nothing, nor does one that began before the replica was
// reached again; a long one counts as at least that slow, and as silence if nothing else was heard meanwhile.
func (l *load) unanswered(now time.Time, elapsed time.Duration, ended waiting) (ratio float64) {
	if elapsed < stallAfter(ended.expected) || ended.sent.Before(l.reached) {
		return 0
	}
	ratio = l.observe(now, elapsed, ended.expected)
	if l.heard.Before(ended.sent) {
		l.miss(ended)
		l.suspectFor(now, verdict.DeadlinePassed)
	}
	return ratio
}

func (l *load) suspectFor(now time.Time, reason verdict.Reason) {
	if now.Before(l.suspect) {
		return
	}
	if l.silent == 0 {
		klog.InfoS("Replica silent", "replica", l.id, "reason", reason, "heard", ageOf(l.heard, now), "waiting", len(l.waiting))
	}
	l.silent++
	l.uncertain.Store(true)
	l.suspect = now.Add(min(firstSuspicion<<min(l.silent-1, 10), longestSuspicion))
}

// ageOf returns how long ago something was, for the log.
func ageOf(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

// observe records the time of a send and returns it in usual times. A usual one shows that what others told is over.
func (l *load) observe(now time.Time, elapsed, expected time.Duration) (ratio float64) {
	ratio = min(float64(elapsed)/float64(max(expected, time.Millisecond)), mostSlowness)
	l.slowness.observe(now, ratio-1, slownessMemory)
	if ratio < sharedRatio {
		l.toldSlowness.observe(now, ratio-1, slownessMemory)
		l.toldRejects.observe(now, 0, rejectMemory)
	}
	return ratio
}

// smoothed is a smoothed value that fades while nothing is observed.
type smoothed struct {
	value float64
	at    time.Time
}

func (s *smoothed) now(now time.Time, memory time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now.Sub(s.at))/float64(memory))
}

func (s *smoothed) observe(now time.Time, sample float64, memory time.Duration) {
	current := s.now(now, memory)
	s.value = current + observationGain*(sample-current)
	s.at = now
}

func stallAfter(expected time.Duration) time.Duration {
	return time.Duration(stallFactor*float64(expected)) + stallFloor
}

// stalled tells whether requests wait at the replica and none has been answered for longer than usual.
func (l *load) stalled(now time.Time) bool {
	if len(l.waiting) == 0 {
		return false
	}
	oldest := &l.waiting[0]
	since := oldest.sent
	if l.heard.After(since) {
		since = l.heard
	}
	return now.Sub(since) > stallAfter(oldest.expected)
}

// rejecting returns the share of requests that the replica has lately rejected or failed, here or at another instance.
func (l *load) rejecting(now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.rejects.now(now, rejectMemory), l.toldRejects.now(now, rejectMemory))
}

// isStalled is stalled with the lock taken.
func (l *load) isStalled(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.stalled(now)
}

const (
	// stallCost, suspectCost and rejectCost rank replicas against slowness, in usual times of a part: a paused replica
	// comes after any that is slow, a silent one after that.
	stallCost   = 12
	suspectCost = 30
	rejectCost  = 4
	// waitingCost is what this instance's requests that wait at the replica add, for each of its slots.
	waitingCost = 1
	// remoteCost and remoteDelay are what a replica in another availability zone adds: bytes between zones are paid
	// for, and each way takes about a millisecond.
	remoteCost  = 0.3
	remoteDelay = 2 * time.Millisecond
)

// cost ranks the replica for a part that usually takes expected; less is better.
func (l *load) cost(now time.Time, expected time.Duration, local, cold bool, slots int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	times := 1 + max(l.slowness.now(now, slownessMemory), l.toldSlowness.now(now, slownessMemory), -0.5)
	if cold {
		times *= coldSlowness
	}
	times *= 1 + waitingCost*float64(len(l.waiting))/float64(max(slots, 1))
	times += rejectCost * max(l.rejects.now(now, rejectMemory), l.toldRejects.now(now, rejectMemory))
	if l.stalled(now) {
		times += stallCost
	}
	if now.Before(l.suspect) {
		times += suspectCost
	}
	total := time.Duration(times * float64(expected))
	if !local {
		total += remoteDelay + time.Duration(remoteCost*float64(expected))
	}
	return total
}

// usable tells whether the replica may get a request at all over the given number of connections, and whether it is
// likely to answer.
func (l *load) usable(now time.Time, connections int) (may, likely bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.misdirected && l.notice.takes(now) && len(l.waiting) < connections, !now.Before(l.suspect) && !l.stalled(now)
}

// admitCold tells whether a cold replica may get one more request from this instance, which may send it limit of them a second,
// and counts it.
func (l *load) admitCold(now time.Time, limit int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := l.coldSends[:0]
	for _, sent := range l.coldSends {
		if now.Sub(sent) < time.Second {
			kept = append(kept, sent)
		}
	}
	l.coldSends = kept
	if len(kept) >= limit {
		return false
	}
	l.coldSends = append(kept, now)
	return true
}

// mayAnswer tells whether the replica takes requests and has lately answered.
func (l *load) mayAnswer(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.notice.takes(now) && !l.unheard(now)
}

// silentNow tells whether the replica has lately not answered at all. After a suspicion has ended, the first request
// shows whether it answers again; until then it counts as silent for the others.
func (l *load) silentNow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unheard(now)
}

func (l *load) unheard(now time.Time) bool {
	return l.misdirected || now.Before(l.suspect) || l.silent > 0 && len(l.waiting) > 0
}

// isSilent tells whether the replica is silent and has not answered just now.
func (l *load) isSilent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.settle(now)
	return now.Before(l.suspect) || l.stalled(now) && !l.sound(now)
}

func (l *load) miss(ended waiting) {
	if !l.missed.sent.After(l.contact.lastHeard()) {
		l.missed = ended
	}
}

// overdue tells whether a request that was sent after the zone was heard last has no answer although it should. A refused
// connection counts only then, too: other replicas may still answer what was sent at the same time.
func (l *load) overdue(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	heard := l.contact.lastHeard()
	late := func(w *waiting) bool { return w.sent.After(heard) && now.Sub(w.sent) > stallAfter(w.expected) }
	return late(&l.missed) || slices.ContainsFunc(l.waiting, func(w waiting) bool { return late(&w) })
}

func (l *load) sound(now time.Time) bool {
	return now.Sub(l.heard) <= soundFor || now.Sub(l.reached) <= soundFor
}

// settle notes whether the replica may be silent, so that those that are not need no closer look.
func (l *load) settle(now time.Time) {
	l.uncertain.Store(len(l.waiting) > 0 || l.silent > 0 || now.Before(l.suspect))
}

// suspectUntil takes the replica for silent until the time, without counting it as a failure of its own.
func (l *load) suspectUntil(until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if until.After(l.suspect) {
		l.suspect = until
		l.uncertain.Store(true)
	}
}

// startProbe tells whether the replica should be probed, and counts the probe as running. With sound also one that is not
// known to be silent is probed.
func (l *load) startProbe(now time.Time, sound bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.probing || l.misdirected || l.notice.leaving {
		return false
	}
	silent := l.silent > 0 || now.Before(l.suspect)
	l.probing = sound || !l.vouched && silent
	l.soundProbe = time.Time{}
	if !silent {
		l.soundProbe = now
	}
	return l.probing
}

// endProbe ends a probe. A replica that was reached is no longer taken for silent. One that accepts connections but
// answers no request is vouched for only once.
func (l *load) endProbe(now time.Time, reached bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.probing = false
	if !reached {
		if !l.soundProbe.IsZero() {
			l.miss(waiting{sent: l.soundProbe})
			l.uncertain.Store(true)
		}
		// No request has to find out that it is still silent.
		if l.silent > 0 && !l.vouched {
			l.suspect = latest(l.suspect, now.Add(longestSuspicion))
		}
		return
	}
	l.reached = now
	l.contact.hear(now)
	if !l.vouched && (l.silent > 0 || now.Before(l.suspect)) {
		l.vouched = true
		l.suspect = time.Time{}
		l.slowness = smoothed{}
	}
}
