package quarantine

import (
	"slices"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// process is one process of a replica.
type process struct {
	replica   fleet.ServerID
	startedAt int64
}

func (c Crash) process() process { return process{c.Replica, c.StartedAt} }

// sharesProcess reports whether one of the crashes is of the same process.
func (e entry) sharesProcess(crash Crash) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.process() == crash.process() })
}

// explained reports whether the process crashed with a held request in progress, other than the given one. Such a crash
// does not count against the other requests that were in progress. The caller holds the lock.
func (l *Ledger) explained(identity Fingerprint, crash Crash) bool {
	count := l.crashed[crash.process()].held
	if own := l.entries[identity]; own.held() && own.sharesProcess(crash) {
		count--
	}
	return count > 0
}

// inProgress counts the requests, and the held ones among them, that were in progress at a process that crashed.
type inProgress struct{ all, held int }

// countProcesses adds a number to the counts of the processes that crashed with the request in progress. The caller holds
// the lock.
func (l *Ledger) countProcesses(e entry, number int) {
	for _, crash := range e.crashes {
		count := l.crashed[crash.process()]
		count.all += number
		if e.held() {
			count.held += number
		}
		if l.crashed[crash.process()] = count; count.all == 0 {
			delete(l.crashed, crash.process())
		}
	}
}

// explainOthers removes the crashes of a request that is now held from the other requests that were in progress. The
// caller holds the lock.
func (l *Ledger) explainOthers(identity Fingerprint, held entry) {
	if !slices.ContainsFunc(held.crashes, func(c Crash) bool { return l.crashed[c.process()].all > 1 }) {
		return
	}
	for other, before := range l.entries {
		if other != identity && slices.ContainsFunc(before.crashes, held.sharesProcess) {
			l.clear(other, before, before.withoutCrashes(held.sharesProcess, held.changedAt), "request "+identity.String()+" crashed the replicas")
		}
	}
}
