package quarantine

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// cautionWindow is how long a request that was found to crash replicas makes others suspect, and cautionHolds how many
	// such requests it takes: callers that send one deadly request after the other never send one for the second time.
	cautionWindow = time.Minute
	cautionHolds  = 2
)

// recentHold is a request that was found to crash replicas.
type recentHold struct {
	identity Fingerprint
	at       time.Time
	services []fleet.ServiceID
}

// Cautious reports whether so many requests have lately been found to crash replicas of the services that others, of
// which nothing is known, are better sent to one replica first.
func (l *Ledger) Cautious(services []fleet.ServiceID, now time.Time) bool {
	if l.Empty() {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, hold := range l.recentHolds {
		if now.Sub(hold.at) <= cautionWindow && slices.ContainsFunc(hold.services, func(s fleet.ServiceID) bool { return slices.Contains(services, s) }) {
			count++
		}
	}
	return count >= cautionHolds
}

// noteHold records that a request was found to crash replicas, here or at another instance. The caller holds the lock.
func (l *Ledger) noteHold(identity Fingerprint, e entry, now time.Time) {
	hold := recentHold{identity: identity, at: e.crashes[len(e.crashes)-1].At}
	for _, crash := range e.crashes {
		hold.services = append(hold.services, crash.Service)
	}
	l.recentHolds = slices.DeleteFunc(l.recentHolds, func(h recentHold) bool {
		return h.identity == identity || now.Sub(h.at) > cautionWindow
	})
	l.recentHolds = append(l.recentHolds, hold)
	l.recentHolds = l.recentHolds[max(0, len(l.recentHolds)-cautionHolds):]
}
