package quarantine

import (
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// entry is what is known of one request. Values are immutable.
type entry struct {
	// crashes are of different processes, in the order in which they became known; at most maxCrashes.
	crashes []Crash
	// holds counts how often the request was held; 0 if it is only suspected. heldUntil is when the next trial is due.
	holds     int
	heldUntil time.Time
	// silentAt is when a replica to which the suspected request was sent last turned out not to answer; zero if it never
	// did. Until it registers again, it is not known whether it has crashed.
	silentAt time.Time
	// claim is the instance that is trying the suspected request.
	claim claim
	// clearedAt is when a replica last answered the request or an operator let it go; earlier crashes do not count.
	clearedAt time.Time
	changedAt time.Time
	// local is set if this instance has seen one of the crashes itself.
	local bool
}

func (e entry) held() bool { return e.holds > 0 }

// known reports whether anything speaks against the request.
func (e entry) known() bool { return len(e.crashes) > 0 }

// withCrash returns the entry with another crash, and whether that is new.
func (e entry) withCrash(crash Crash, now time.Time) (entry, bool) {
	if !crash.At.After(e.clearedAt) || e.sharesProcess(crash) {
		return e, false
	}
	crashes := append(slices.Clone(e.crashes), crash)
	e.crashes = crashes[max(0, len(crashes)-maxCrashes):]
	e.changedAt = now
	if crash.Suspected {
		e.silentAt, e.claim = time.Time{}, claim{}
	}
	if e.holds == 0 && e.blamed() {
		e = e.withHold(1, crash.At.Add(holdTime(1)), now)
	}
	return e, true
}

// blamed reports whether the crashes suffice to hold the request: enough of them without any answer, or of one service,
// with one of them at least after the request was suspected.
func (e entry) blamed() bool {
	suffice := func(counts func(Crash) bool) bool {
		count, suspected := 0, false
		for _, c := range e.crashes {
			if counts(c) {
				count++
				suspected = suspected || c.Suspected
			}
		}
		return count >= minCrashes && suspected
	}
	if suffice(func(c Crash) bool { return !c.Answered }) {
		return true
	}
	return slices.ContainsFunc(e.crashes, func(last Crash) bool {
		return suffice(func(c Crash) bool { return c.Service == last.Service })
	})
}

func (e entry) withHold(holds int, until, now time.Time) entry {
	e.holds, e.heldUntil, e.changedAt = holds, until, now
	return e
}

// withTrial returns the entry with a trial that begins now, and the next one due only later.
func (e entry) withTrial(now time.Time) entry {
	return e.withHold(e.holds+1, now.Add(holdTime(e.holds+1)), now)
}

// withoutCrashes returns the entry without some of its crashes; without all it is cleared.
func (e entry) withoutCrashes(disproved func(Crash) bool, now time.Time) entry {
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), disproved)
	e.changedAt = now
	if len(e.crashes) == 0 {
		return e.withClearing(now, now)
	}
	if !e.blamed() {
		e.holds, e.heldUntil = 0, time.Time{}
	}
	return e
}

// withAnswer returns the entry after a replica of the service has answered the request. The answer disproves the crashes
// of that service, and all crashes if they are of several services: a request that crashes the replicas of several
// services crashes this one as well.
func (e entry) withAnswer(service fleet.ServiceID, now time.Time) (entry, bool) {
	if !slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Service == service }) && !e.severalServices() {
		return e, false
	}
	several := e.severalServices()
	return e.withoutCrashes(func(c Crash) bool { return several || c.Service == service }, now), true
}

func (e entry) severalServices() bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Service != e.crashes[0].Service })
}

// withClearing returns the entry with nothing against the request that was known at the given time.
func (e entry) withClearing(at, now time.Time) entry {
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), func(c Crash) bool { return !c.At.After(at) })
	e.clearedAt, e.changedAt, e.silentAt = at, now, time.Time{}
	if len(e.crashes) < minCrashes {
		e.holds, e.heldUntil = 0, time.Time{}
	}
	return e
}

// expired reports whether the entry need not be kept any longer.
func (e entry) expired(now time.Time) bool {
	switch {
	case e.held():
		return now.Sub(e.heldUntil) > unusedHoldTTL
	case e.known():
		return now.Sub(e.crashes[len(e.crashes)-1].At) > suspicionTTL
	}
	return now.Sub(e.clearedAt) > clearedTTL
}

// concerns reports whether one of the services is among those whose replicas crashed.
func (e entry) concerns(services []fleet.ServiceID) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return slices.Contains(services, c.Service) })
}

// rank orders entries by how much it costs to forget them; the lowest is forgotten first.
func (e entry) rank() int {
	rank := 0
	if e.known() {
		rank = 1
	}
	if e.held() {
		rank = 3
	}
	if e.local {
		rank++
	}
	return rank
}
