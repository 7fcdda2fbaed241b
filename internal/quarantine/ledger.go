package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// trialRankInterval is the time after which one more instance may make a trial that is due: the request may hardly ever
// come to the instance that may make it first.
const trialRankInterval = 30 * time.Second

// maxLoggedCrashes bounds the replicas that one log line names.
const maxLoggedCrashes = 4

// Counters counts decisions since the start.
type Counters struct {
	// Crashes is the number of crashes that this instance has seen, once for each request in progress.
	Crashes atomic.Int64
	// Refused is the number of requests that were refused because they are held.
	Refused atomic.Int64
	// Quarantined, Trials and Cleared count the requests that were held, tried and cleared here.
	Quarantined, Trials, Cleared atomic.Int64
}

// Ledger holds what is known of requests that may crash replicas. It is safe for concurrent use.
type Ledger struct {
	self     fleet.InstanceID
	counters Counters
	// known is the number of entries with something against the request, lost the number of losses; both are read without
	// the lock.
	known, lost atomic.Int32
	// changed holds a token while entries wait to be shared, archivable while some wait to be written to the store.
	changed, archivable chan struct{}

	mutex     sync.Mutex
	entries   map[Fingerprint]entry
	instances []fleet.InstanceID
	// crashed has the processes of all crashes of the entries.
	crashed map[process]inProgress
	losses  []loss
	// recentHolds are the latest requests that were found to crash replicas, at most cautionHolds.
	recentHolds []recentHold
	// unshared are the entries that changed here since the last call of takeUnshared; unarchived those whose hold began
	// or ended here.
	unshared, unarchived map[Fingerprint]struct{}
}

// NewLedger returns an empty ledger for the instance self.
func NewLedger(self fleet.InstanceID) *Ledger {
	return &Ledger{
		self: self, entries: make(map[Fingerprint]entry), crashed: make(map[process]inProgress), changed: make(chan struct{}, 1), archivable: make(chan struct{}, 1),
		unshared: make(map[Fingerprint]struct{}), unarchived: make(map[Fingerprint]struct{}),
	}
}

// Counters returns the ledger's counters, which continue to change.
func (l *Ledger) Counters() *Counters { return &l.counters }

// SetInstances sets the entry instances, among which the one that makes a trial is chosen. The slice must not change.
func (l *Ledger) SetInstances(instances []fleet.InstanceID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.instances = instances
}

// Empty reports whether nothing is known against any request. It takes no lock.
func (l *Ledger) Empty() bool { return l.known.Load() == 0 }

// Standing returns how a request for the services is to be treated, and until when it is held. OnTrial is returned once
// for each trial; the trial counts as made.
func (l *Ledger) Standing(identity Fingerprint, services []fleet.ServiceID, now time.Time) (Standing, time.Time) {
	if l.Empty() {
		return Unsuspected, time.Time{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, found := l.entries[identity]
	switch {
	case !found || e.expired(now) || !e.concerns(services):
		return Unsuspected, time.Time{}
	case !e.held() && now.Before(e.silentAt.Add(silenceTTL)):
		l.counters.Refused.Add(1)
		return Held, e.silentAt.Add(silenceTTL)
	case !e.held():
		return Suspected, time.Time{}
	case now.Before(e.heldUntil) || !l.mayTry(identity, e, now):
		l.counters.Refused.Add(1)
		return Held, latest(e.heldUntil, now.Add(time.Second))
	}
	tried := e.withTrial(now)
	l.put(identity, tried)
	l.share(identity)
	l.archiveLater(identity)
	l.counters.Trials.Add(1)
	klog.InfoS("Quarantined request tried at one replica", "fingerprint", identity, "holds", e.holds, "next-trial", tried.heldUntil.Sub(now))
	return OnTrial, tried.heldUntil
}

// Peek is like Standing, but makes no trial and counts nothing: it returns Held for a held request, also if a trial is
// due.
func (l *Ledger) Peek(identity Fingerprint, services []fleet.ServiceID, now time.Time) Standing {
	if l.Empty() {
		return Unsuspected
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e, found := l.entries[identity]; found && !e.expired(now) && e.concerns(services) {
		return standingOf(e)
	}
	return Unsuspected
}

// UntilTrial returns the time until the next trial of a held request is due.
func (l *Ledger) UntilTrial(identity Fingerprint, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(0, l.entries[identity].heldUntil.Sub(now))
}

// CrashedServices returns the services whose replicas crashed while the request was in progress.
func (l *Ledger) CrashedServices(identity Fingerprint) map[fleet.ServiceID]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	services := make(map[fleet.ServiceID]bool)
	for _, crash := range l.entries[identity].crashes {
		services[crash.Service] = true
	}
	return services
}

// mayTry reports whether this instance may make a trial that is due. The caller holds the lock.
func (l *Ledger) mayTry(identity Fingerprint, e entry, now time.Time) bool {
	return now.Sub(e.heldUntil) >= time.Duration(l.rank(identity))*trialRankInterval
}

// rank returns the position of this instance in an order of all instances for the request; 0 if it is not known. The
// caller holds the lock.
func (l *Ledger) rank(identity Fingerprint) int {
	ranked := slices.Clone(l.instances)
	fleet.SortByWeight("quarantine/"+identity.String(), ranked)
	return max(slices.Index(ranked, l.self), 0)
}

// RecordCrash records that a replica crashed while the request was in progress there, and returns the request's standing
// since.
func (l *Ledger) RecordCrash(identity Fingerprint, crash Crash) Standing {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordCrash(identity, crash)
}

func (l *Ledger) recordCrash(identity Fingerprint, crash Crash) Standing {
	now := crash.At
	before := l.entries[identity]
	if before.expired(now) {
		before = entry{clearedAt: before.clearedAt}
	}
	if l.explained(identity, crash) {
		return standingOf(before)
	}
	after, added := before.withCrash(crash, now)
	if added {
		after.local = true
		l.put(identity, after)
		l.share(identity)
		l.counters.Crashes.Add(1)
		l.logChange(identity, before, after)
	}
	return standingOf(after)
}

func standingOf(e entry) Standing {
	switch {
	case e.held():
		return Held
	case e.known():
		return Suspected
	}
	return Unsuspected
}

// logChange logs that a request is suspected or held since a crash. The caller holds the lock.
func (l *Ledger) logChange(identity Fingerprint, before, after entry) {
	crash := after.crashes[len(after.crashes)-1]
	switch {
	case after.held() && !before.held():
		l.counters.Quarantined.Add(1)
		l.noteHold(identity, after, crash.At)
		l.explainOthers(identity, after)
		l.archiveLater(identity)
		klog.InfoS("Request quarantined", "fingerprint", identity, "crashes", len(after.crashes), "replicas", replicasOf(after.crashes), "until-trial", time.Until(after.heldUntil).Round(time.Second))
	case !after.held():
		klog.InfoS("Replica crashed with a request in progress", "fingerprint", identity, "replica", crash.Replica, "started-at", crash.StartedAt,
			"service", crash.Service, "suspected", crash.Suspected, "crashes", len(after.crashes))
	}
}

func replicasOf(crashes []Crash) (replicas []fleet.ServerID) {
	for _, crash := range crashes[max(0, len(crashes)-maxLoggedCrashes):] {
		replicas = append(replicas, crash.Replica)
	}
	return replicas
}

// RecordSilence records that a replica did not answer a suspected request that was sent to no other one, and that it is
// not known whether the replica has crashed.
func (l *Ledger) RecordSilence(identity Fingerprint, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e, found := l.entries[identity]; found && e.known() {
		e.silentAt = now
		l.put(identity, e)
		l.share(identity)
	}
}

// RecordAnswer records that a replica of the service has answered the request after it began to run it. It reports
// whether that ended a suspicion.
func (l *Ledger) RecordAnswer(identity Fingerprint, service fleet.ServiceID, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.entries[identity]
	after, changed := before.withAnswer(service, now)
	if changed {
		l.clear(identity, before, after, "answered by a replica")
	}
	return changed
}

// Release clears a request, as an operator wants it.
func (l *Ledger) Release(identity Fingerprint, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if before := l.entries[identity]; before.known() {
		l.clear(identity, before, before.withClearing(now, now), "released")
	}
}

// RecordAlive records that the process of a replica still answers, so that it has not crashed.
func (l *Ledger) RecordAlive(replica fleet.ServerID, startedAt int64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isThis := func(c Crash) bool { return c.process() == process{replica, startedAt} }
	for identity, before := range l.entries {
		if slices.ContainsFunc(before.crashes, isThis) {
			l.clear(identity, before, before.withoutCrashes(isThis, now), "replica "+string(replica)+" still runs")
		}
	}
}

// clear replaces an entry by one with less against the request. The caller holds the lock.
func (l *Ledger) clear(identity Fingerprint, before, after entry, reason string) {
	l.put(identity, after)
	l.share(identity)
	if before.held() && !after.held() {
		l.archiveLater(identity)
		l.counters.Cleared.Add(1)
	}
	klog.InfoS("Crashes no longer held against a request", "fingerprint", identity, "reason", reason, "crashes", len(after.crashes), "quarantined-before", before.held())
}

// put stores an entry. The caller holds the lock.
func (l *Ledger) put(identity Fingerprint, e entry) {
	before, found := l.entries[identity]
	if !found && len(l.entries) >= maxEntries {
		l.evict()
	}
	l.entries[identity] = e
	l.countProcesses(before, -1)
	l.countProcesses(e, 1)
	l.known.Add(knownCount(e) - knownCount(before))
}

func knownCount(e entry) int32 {
	if e.known() {
		return 1
	}
	return 0
}

// evict removes a quarter of the entries: cleared requests first, then suspected and then held ones, those that only
// other instances have seen before others, and the oldest first. The caller holds the lock.
func (l *Ledger) evict() {
	order := slices.SortedFunc(maps.Keys(l.entries), func(a, b Fingerprint) int {
		x, y := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(x.rank(), y.rank()), x.changedAt.Compare(y.changedAt))
	})
	for _, identity := range order[:len(order)/4] {
		l.drop(identity)
	}
	klog.InfoS("Oldest entries of suspected requests removed", "left", len(l.entries))
}

// drop removes an entry. The caller holds the lock.
func (l *Ledger) drop(identity Fingerprint) {
	l.countProcesses(l.entries[identity], -1)
	l.known.Add(-knownCount(l.entries[identity]))
	delete(l.entries, identity)
	delete(l.unshared, identity)
	delete(l.unarchived, identity)
}

// removeExpired removes the entries that need not be kept any longer. The caller holds the lock.
func (l *Ledger) removeExpired(now time.Time) {
	for identity, e := range l.entries {
		if !e.expired(now) {
			continue
		}
		l.drop(identity)
		if e.held() && l.rank(identity) == 0 {
			l.archiveLater(identity)
		}
	}
}

// share marks an entry to be shared. The caller holds the lock.
func (l *Ledger) share(identity Fingerprint) {
	l.unshared[identity] = struct{}{}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Numbers returns the number of requests that are suspected and of those that are held.
func (l *Ledger) Numbers(now time.Time) (suspected, held int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range l.entries {
		switch {
		case e.expired(now):
		case e.held():
			held++
		case e.known():
			suspected++
		}
	}
	return suspected, held
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
