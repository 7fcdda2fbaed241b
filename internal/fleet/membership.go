package fleet

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeat rounds.
	HeartbeatInterval = 250 * time.Millisecond
	// UnreachableAfter is the silence after which a peer no longer counts as reachable.
	UnreachableAfter = time.Second
	// FenceAfter is the age of the last completed round at which an owner stops sending. It is shorter
	// than ClaimDelay so that an owner has stopped before another instance claims its servers.
	FenceAfter = time.Second
	// ClaimDelay is the silence after which the servers of a peer may be claimed.
	ClaimDelay = 1500 * time.Millisecond
	// RemovalDelay bounds how long a listed-as-leaving or out peer that is not heartbeated stays a
	// candidate; a configuration is in force everywhere within 5 s.
	RemovalDelay = 5 * time.Second
	// MaxHeartbeatPeers limits the heartbeats of one instance in large zones.
	MaxHeartbeatPeers = 8
	// ConfigurationWatchers is the number of entry instances of a zone that watch the store.
	ConfigurationWatchers = 2
)

// Reply is a peer's answer to a heartbeat.
type Reply struct {
	From Entry
	// Sent is when this instance sent the heartbeat; the round trip began no earlier.
	Sent time.Time
	// Acknowledged is what the peer's Acknowledges says of this instance, after its ownership table was
	// replaced accordingly.
	Acknowledged bool
	// Released is set when the peer has left or is out and sends nothing to backend servers any more.
	Released bool
}

// peer is what this instance knows of another entry instance beyond the list.
type peer struct {
	// answered is the start of the last answered heartbeat; since is the first heartbeat sent to it.
	answered, since time.Time
	// outcome is the start of the last heartbeat with a known outcome.
	outcome      time.Time
	heard        time.Time
	acknowledged bool
	granted      bool
	released     bool
	leaving      bool
	suspect      bool
	contact      Contact
}

// Membership follows the entry instances and backend servers from the list, heartbeats and operators. It is
// a state machine for one goroutine: every event carries its time, and it opens no socket.
type Membership struct {
	self Entry
	view *View
	// listed holds the entry instances on the list, each with whether the list says that it leaves.
	listed       map[InstanceID]bool
	peers        map[InstanceID]*peer
	heartbeat    []InstanceID
	zonesOut     map[ZoneID]bool
	instancesOut map[InstanceID]bool
	// going holds the time at which a peer was first known to leave or to be out.
	going    map[InstanceID]time.Time
	excluded map[InstanceID]bool
	// now is the time of the last event.
	now       time.Time
	round     time.Time
	completed time.Time
	// unfenced is the start of the first round after the last fence; older acknowledgements are void.
	unfenced time.Time
	leaving  bool
	// dropped holds peers whose contact changed because they are not heartbeated any more.
	dropped []InstanceID
	current *Reachability
}

// NewMembership returns a membership that knows only its own instance and is fenced.
func NewMembership(self Entry) *Membership {
	m := &Membership{
		self:     self,
		view:     NewView([]Entry{self}, nil),
		listed:   make(map[InstanceID]bool),
		peers:    make(map[InstanceID]*peer),
		going:    make(map[InstanceID]time.Time),
		excluded: make(map[InstanceID]bool),
	}
	m.publish()
	return m
}

// Reachability returns the present state as an immutable value.
func (m *Membership) Reachability() *Reachability { return m.current }

// Peers returns the entry instances to heartbeat, at most MaxHeartbeatPeers: suspects first, then by
// rendezvous order in the own zone, the own region and elsewhere.
func (m *Membership) Peers() []Entry {
	all := make([]Entry, 0, len(m.heartbeat))
	for _, id := range m.heartbeat {
		if entry, ok := m.view.Entry(id); ok {
			all = append(all, entry)
		}
	}
	return all
}

// BeginRound starts a heartbeat round and returns the peers to send to. After a pause longer than
// FenceAfter every acknowledgement is void, because peers may have claimed servers meanwhile.
func (m *Membership) BeginRound(now time.Time) ([]Entry, Change) {
	if m.completed.IsZero() || now.Sub(m.completed) >= FenceAfter {
		m.unfenced = now
		for _, p := range m.peers {
			// Silence counts from here: while this process was paused it could not hear anybody.
			p.answered, p.since = time.Time{}, time.Time{}
			p.acknowledged, p.granted = false, false
		}
	}
	m.round = now
	for _, id := range m.heartbeat {
		if p := m.peer(id); p.since.IsZero() {
			p.since = now
		}
	}
	return m.Peers(), m.Advance(now)
}

// HeartbeatReplied records a peer's answer.
func (m *Membership) HeartbeatReplied(now time.Time, reply Reply) Change {
	change := m.hear(now, reply.From)
	p := m.peer(reply.From.ID)
	// An answer to a heartbeat from before a pause proves nothing about the time since.
	if !reply.Sent.Before(m.unfenced) {
		p.answered = later(p.answered, reply.Sent)
		p.outcome = later(p.outcome, reply.Sent)
		p.acknowledged = reply.Acknowledged
		p.granted = p.granted || reply.Acknowledged
	}
	p.released = reply.Released
	p.suspect = false
	return change.Join(m.Advance(now))
}

// HeartbeatFailed records that a heartbeat sent at the given time got no answer.
func (m *Membership) HeartbeatFailed(now time.Time, id InstanceID, sent time.Time) Change {
	if p := m.peer(id); sent.After(p.outcome) {
		p.outcome = sent
	}
	return m.Advance(now)
}

// HeartbeatReceived records a heartbeat from a peer, which thereby counts as listed. The caller applies
// the change to its ownership table before it acknowledges.
func (m *Membership) HeartbeatReceived(now time.Time, from Entry, released bool) Change {
	change := m.hear(now, from)
	m.peer(from.ID).released = released
	return change.Join(m.Advance(now))
}

// Suspect records that a message to a peer failed; it is heartbeated from the next round on.
func (m *Membership) Suspect(now time.Time, id InstanceID) Change {
	if _, ok := m.view.Entry(id); ok && id != m.self.ID {
		m.peer(id).suspect = true
		m.choosePeers()
	}
	return m.Advance(now)
}

// Leave records that this instance is leaving: it owns nothing from now on.
func (m *Membership) Leave(now time.Time) Change {
	m.leaving = true
	return m.Advance(now)
}

// TakeOut replaces the zones and instances that operators have taken out.
func (m *Membership) TakeOut(now time.Time, zones []ZoneID, instances []InstanceID) Change {
	m.zonesOut = setOf(zones)
	m.instancesOut = setOf(instances)
	return m.Advance(now)
}

// Released tells whether this instance owns nothing, which heartbeats announce to the peers.
func (m *Membership) Released() bool { return m.excluded[m.self.ID] }

// Acknowledges tells whether this instance reaches the peer and so claims nothing that the peer is the
// first to own. The ownership table is to be replaced before this is told to the peer. An answer older than
// ClaimDelay-UnreachableAfter is not enough: the peer relies on the acknowledgement for UnreachableAfter,
// and in a cut of one direction this instance could claim before that. The time is that of the last event,
// which for an answer to a heartbeat is its HeartbeatReceived.
func (m *Membership) Acknowledges(id InstanceID) bool {
	if _, known := m.view.Entry(id); !known || !m.current.Contact(id).Reachable {
		return false
	}
	p, ok := m.peers[id]
	return !ok || p.last().IsZero() || m.now.Sub(p.last()) < ClaimDelay-UnreachableAfter
}

// CompletedRound returns the start of the last round in which every peer answered or failed.
func (m *Membership) CompletedRound() time.Time { return m.completed }

func (m *Membership) peer(id InstanceID) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{contact: unknownContact}
		m.peers[id] = p
	}
	return p
}

// hear adds or refreshes a peer that was heard from directly.
func (m *Membership) hear(now time.Time, from Entry) Change {
	if from.ID == m.self.ID {
		return Change{}
	}
	p := m.peer(from.ID)
	p.heard, p.leaving = now, from.Leaving
	known, ok := m.view.Entry(from.ID)
	// Leaving counts from either source, the peer itself or the list.
	from.Leaving = from.Leaving || m.listed[from.ID]
	if ok && known == from {
		return Change{}
	}
	m.view = m.view.WithEntry(from)
	m.choosePeers()
	return Change{Entries: []InstanceID{from.ID}}
}

// Advance applies the passing of time and returns what differs from before.
func (m *Membership) Advance(now time.Time) Change {
	m.now = now
	change := m.dropSilent(now)
	for _, id := range m.heartbeat {
		p := m.peer(id)
		if contact := m.contactAt(now, p); contact != p.contact {
			p.contact = contact
			if !contact.Reachable {
				// A silent peer stays among those heartbeated, else its return would go unseen.
				p.acknowledged, p.suspect = false, true
			}
			change.Entries = append(change.Entries, id)
		}
	}
	change.Entries = append(change.Entries, m.dropped...)
	m.dropped = nil
	change.Entries = append(change.Entries, m.exclude(now)...)
	m.completeRound()
	m.publish()
	return change
}

// last returns the time from which the peer's silence counts; zero if it was sent nothing yet.
func (p *peer) last() time.Time {
	if p.answered.IsZero() {
		return p.since
	}
	return p.answered
}

func (m *Membership) contactAt(now time.Time, p *peer) Contact {
	if p.last().IsZero() {
		return Contact{Reachable: true, Granted: p.granted}
	}
	silence := now.Sub(p.last())
	p.granted = p.granted || silence >= ClaimDelay
	contact := Contact{Reachable: silence < UnreachableAfter, Granted: p.granted, Silent: silence >= ClaimDelay}
	contact.Acknowledged = contact.Reachable && p.acknowledged
	return contact
}

// dropSilent removes peers that were only heard directly and are silent now.
func (m *Membership) dropSilent(now time.Time) Change {
	var gone []InstanceID
	for id, p := range m.peers {
		_, known := m.view.Entry(id)
		if _, listed := m.listed[id]; !listed && known && now.Sub(later(p.heard, p.answered)) >= ClaimDelay {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return Change{}
	}
	slices.Sort(gone)
	for _, id := range gone {
		delete(m.peers, id)
	}
	m.view = m.view.With(nil, gone, nil, nil)
	m.choosePeers()
	return Change{Entries: gone}
}

// completeRound moves the completed round to the oldest last outcome among the peers, so a single
// outstanding heartbeat keeps the round open.
func (m *Membership) completeRound() {
	completed := m.round
	for _, id := range m.heartbeat {
		if outcome := m.peer(id).outcome; outcome.Before(completed) {
			completed = outcome
		}
	}
	m.completed = completed
}

func (m *Membership) publish() {
	contacts := make(map[InstanceID]Contact, len(m.heartbeat))
	for _, id := range m.heartbeat {
		contacts[id] = m.peers[id].contact
	}
	fresh := time.Time{}
	if !m.completed.IsZero() {
		fresh = m.completed.Add(FenceAfter)
	}
	m.current = NewReachability(m.self, m.view, contacts, m.excluded, fresh)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func setOf[K comparable](keys []K) map[K]bool {
	set := make(map[K]bool, len(keys))
	for _, key := range keys {
		set[key] = true
	}
	return set
}
