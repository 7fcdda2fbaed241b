package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// maxNameBytes bounds the names of replicas and services in messages.
const maxNameBytes = 200

// entryMessage is an entry on the wire and in the store. It carries ages and remaining times instead of times, because
// the clocks of instances may differ.
type entryMessage struct {
	Fingerprint Fingerprint    `json:"fingerprint"`
	Crashes     []crashMessage `json:"crashes,omitempty"`
	Holds       int            `json:"holds,omitempty"`
	// HeldMillis is the time until the next trial.
	HeldMillis int64 `json:"held-millis,omitempty"`
	// SilentMillis is the time since a replica did not answer the suspected request, and 1 at least; 0 if none did.
	SilentMillis int64 `json:"silent-millis,omitempty"`
	// ClaimedBy is the instance that is trying the suspected request, ClaimedMillis the time since its claim.
	ClaimedBy     fleet.InstanceID `json:"claimed-by,omitempty"`
	ClaimedMillis int64            `json:"claimed-millis,omitempty"`
	// ClearedMillis is the time since the request was cleared, and 1 at least; 0 if it never was.
	ClearedMillis int64 `json:"cleared-millis,omitempty"`
}

type crashMessage struct {
	Replica   fleet.ServerID  `json:"replica"`
	StartedAt int64           `json:"started-at"`
	Service   fleet.ServiceID `json:"service"`
	AgeMillis int64           `json:"age-millis"`
	Suspected bool            `json:"suspected,omitempty"`
	Answered  bool            `json:"answered,omitempty"`
}

func encode(identity Fingerprint, e entry, now time.Time) entryMessage {
	m := entryMessage{Fingerprint: identity, Holds: e.holds}
	for _, c := range e.crashes {
		m.Crashes = append(m.Crashes, crashMessage{c.Replica, c.StartedAt, c.Service, max(0, now.Sub(c.At).Milliseconds()), c.Suspected, c.Answered})
	}
	if e.held() {
		m.HeldMillis = max(0, e.heldUntil.Sub(now).Milliseconds())
	}
	if now.Before(e.silentAt.Add(silenceTTL)) {
		m.SilentMillis = max(1, now.Sub(e.silentAt).Milliseconds())
	}
	if e.claim.valid(now) {
		m.ClaimedBy, m.ClaimedMillis = e.claim.by, now.Sub(e.claim.at).Milliseconds()
	}
	if !e.clearedAt.IsZero() {
		m.ClearedMillis = max(1, now.Sub(e.clearedAt).Milliseconds())
	}
	return m
}

// decode returns the entry of a message. ok is false if the message is not valid.
func (m *entryMessage) decode(now time.Time) (e entry, ok bool) {
	if len(m.Crashes) > maxCrashes || m.Holds < 0 || m.HeldMillis < 0 || m.SilentMillis < 0 || m.ClaimedMillis < 0 || m.ClearedMillis < 0 || len(m.ClaimedBy) > maxNameBytes {
		return entry{}, false
	}
	for _, c := range m.Crashes {
		if c.AgeMillis < 0 || c.AgeMillis > maxAge.Milliseconds() || len(c.Replica) > maxNameBytes || len(c.Service) > maxNameBytes {
			return entry{}, false
		}
		e.crashes = append(e.crashes, Crash{c.Replica, c.StartedAt, c.Service, now.Add(-time.Duration(c.AgeMillis) * time.Millisecond), c.Suspected, c.Answered})
	}
	if m.Holds > 0 {
		e.holds = min(m.Holds, len(holdTimes))
		e.heldUntil = now.Add(time.Duration(min(m.HeldMillis, holdTime(e.holds).Milliseconds())) * time.Millisecond)
	}
	if m.SilentMillis > 0 && m.SilentMillis <= silenceTTL.Milliseconds() {
		e.silentAt = now.Add(-time.Duration(m.SilentMillis) * time.Millisecond)
	}
	if m.ClaimedMillis < claimTTL.Milliseconds() {
		e.claim = claim{m.ClaimedBy, now.Add(-time.Duration(m.ClaimedMillis) * time.Millisecond)}
	}
	if m.ClearedMillis > 0 && m.ClearedMillis <= clearedTTL.Milliseconds() {
		e.clearedAt = now.Add(-time.Duration(m.ClearedMillis) * time.Millisecond)
	}
	return e, true
}

// merge returns what two instances know together, and whether the other one has added anything. A hold counts only with
// the crashes that justify it.
func (e entry) merge(other entry, now time.Time) (merged entry, changed bool) {
	if other.clearedAt.After(e.clearedAt) {
		e, changed = e.withClearing(other.clearedAt, now), true
	}
	for _, crash := range other.crashes {
		var added bool
		e, added = e.withCrash(crash, now)
		changed = changed || added
	}
	if e.known() && !e.held() && other.silentAt.After(e.silentAt) {
		e.silentAt, changed = other.silentAt, true
	}
	if e.known() && !e.held() && other.claim.precedes(e.claim, now) {
		e.claim, changed = other.claim, true
	}
	if e.blamed() && other.holds > e.holds {
		return e.withHold(other.holds, other.heldUntil, now), true
	}
	return e, changed
}

// merge adds what another instance knows, and returns the messages that said anything new. disproved reports whether a
// crash cannot have happened; it may be nil. It is called without the lock, because it may wait for one whose holder calls
// the ledger.
func (l *Ledger) merge(messages []entryMessage, disproved func(Crash) bool, now time.Time) (news []entryMessage) {
	others := make([]entry, len(messages))
	valid := make([]bool, len(messages))
	for i := range messages {
		if others[i], valid[i] = messages[i].decode(now); !valid[i] {
			klog.InfoS("Entry of another instance ignored", "fingerprint", messages[i].Fingerprint)
		} else if disproved != nil {
			others[i] = others[i].without(disproved)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range others {
		if !valid[i] {
			continue
		}
		identity := messages[i].Fingerprint
		other = other.without(func(crash Crash) bool { return l.explained(identity, crash) })
		before := l.entries[identity]
		after, changed := before.merge(other, now)
		if after.holds > other.holds && other.known() {
			l.share(identity) // the other instance may have been restarted
		}
		if !changed || after.expired(now) {
			continue
		}
		l.put(identity, after)
		news = append(news, messages[i])
		if after.held() && !before.held() {
			l.noteHold(identity, after, now)
			l.explainOthers(identity, after)
			klog.InfoS("Request quarantined by other instances", "fingerprint", identity, "crashes", len(after.crashes), "replicas", replicasOf(after.crashes), "until-trial", after.heldUntil.Sub(now).Round(time.Second))
		}
	}
	return news
}

// without returns the entry without the crashes that are disproved, and without the hold if too few are left.
func (e entry) without(disproved func(Crash) bool) entry {
	var kept []Crash
	for _, c := range e.crashes {
		if !disproved(c) {
			kept = append(kept, c)
		}
	}
	if len(kept) < len(e.crashes) && len(kept) < minCrashes {
		e.holds = 0
	}
	e.crashes = kept
	return e
}

// takeUnshared returns up to limit entries that have changed here since they were last returned.
func (l *Ledger) takeUnshared(limit int, now time.Time) (messages []entryMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for identity := range l.unshared {
		if len(messages) == limit {
			break
		}
		messages = append(messages, encode(identity, l.entries[identity], now))
		delete(l.unshared, identity)
	}
	return messages
}

// snapshot returns up to limit entries, those of held requests first.
func (l *Ledger) snapshot(limit int, now time.Time) (messages []entryMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeExpired(now)
	for _, held := range []bool{true, false} {
		for identity, e := range l.entries {
			if len(messages) < limit && e.held() == held {
				messages = append(messages, encode(identity, e, now))
			}
		}
	}
	return messages
}

// digest returns a hash of what is known against requests; instances with the same knowledge have the same digest, and 0
// stands for none.
func (l *Ledger) digest() (sum uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var buffer [fingerprintBytes + 16]byte
	for identity, e := range l.entries {
		if !e.known() {
			continue
		}
		copy(buffer[:], identity[:])
		binary.BigEndian.PutUint64(buffer[fingerprintBytes:], uint64(len(e.crashes)))
		binary.BigEndian.PutUint64(buffer[fingerprintBytes+8:], uint64(e.holds))
		sum ^= xxhash.Sum64(buffer[:])
	}
	return sum
}
