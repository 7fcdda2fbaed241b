package quarantine

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// claimTTL is how long an instance may try a suspected request alone.
	claimTTL = time.Second
	// claimDelay is the time from the claim to the try, in which the other instances hear of it.
	claimDelay = 10 * time.Millisecond
)

// claim says which instance tries a suspected request, since when.
type claim struct {
	by fleet.InstanceID
	at time.Time
}

func (c claim) valid(now time.Time) bool { return c.by != "" && now.Sub(c.at) < claimTTL }

// precedes reports whether the claim is to be respected rather than another valid one.
func (c claim) precedes(other claim, now time.Time) bool {
	return c.valid(now) && (!other.valid(now) || c.by < other.by)
}

// Claim reports whether this instance may now send a suspected request to one replica. The first call announces it to the
// other instances, so that only one of them does; it may later be asked again. A request of which nothing is known may
// always be sent.
func (l *Ledger) Claim(identity Fingerprint, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, found := l.entries[identity]
	switch {
	case !found || !e.known():
		return true
	case !e.claim.valid(now):
		e.claim = claim{l.self, now}
		l.put(identity, e)
		l.share(identity)
		return false
	}
	return e.claim.by == l.self && now.Sub(e.claim.at) >= claimDelay
}

// Unclaim ends the claim of this instance.
func (l *Ledger) Unclaim(identity Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e, found := l.entries[identity]; found && e.claim.by == l.self {
		e.claim = claim{}
		l.put(identity, e)
	}
}
