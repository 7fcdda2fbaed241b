package fleet

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeat rounds.
	HeartbeatInterval = 250 * time.Millisecond
	// UnreachableTimeout is the silence after which a peer no longer counts as reachable.
	UnreachableTimeout = time.Second
	// FenceTimeout is the age of the last completed heartbeat round at which an owner stops sending to its servers. It
	// is shorter than ClaimDelay so that an owner has stopped before another instance claims its servers.
	FenceTimeout = time.Second
	// ClaimDelay is the silence after which the servers of a peer may be claimed.
	ClaimDelay = 1500 * time.Millisecond
	// RemovalDelay is how long a peer that is leaving or out of service, and gets no heartbeats from this instance,
	// remains eligible to own servers. By then the peer itself has learnt that it is out of service, because a
	// configuration is in force everywhere within 5 s.
	RemovalDelay = 5 * time.Second
	// MaxHeartbeatPeers limits the number of peers to which one instance sends heartbeats in a large zone.
	MaxHeartbeatPeers = 8
	// WatchersPerZone is the number of entry instances per zone that watch the store for configuration changes.
	WatchersPerZone = 2
)

// HeartbeatResponse is a peer's response to a heartbeat.
type HeartbeatResponse struct {
	From Entry
	// Sent is when this instance sent the heartbeat; the round trip began no earlier.
	Sent time.Time
	// Acknowledged is the result of the peer's Acknowledges for this instance, computed after the peer had updated its
	// ownership table accordingly.
	Acknowledged bool
	// Released is set if the peer is leaving or out of service and no longer sends anything to backend servers.
	Released bool
}

// peer is what this instance knows of another entry instance beyond the instance list.
type peer struct {
	// lastAnswered is when the last answered heartbeat was sent; firstSent is when the first heartbeat was sent. Both
	// are reset when a round begins after a pause of this process.
	lastAnswered, firstSent time.Time
	// lastOutcome is when the last heartbeat was sent that has been answered or has failed.
	lastOutcome  time.Time
	lastHeard    time.Time
	acknowledged bool
	granted      bool
	released     bool
	leaving      bool
	suspect      bool
	contact      Contact
}

// Membership maintains the view of entry instances and backend servers from the instance list, heartbeats and
// operators' commands. It is a state machine that does no I/O: every event carries its time. It is not safe for
// concurrent use.
type Membership struct {
	self Entry
	view *View
	// listed holds the entry instances on the instance list, each with whether the list marks it as leaving.
	listed                map[InstanceID]bool
	peers                 map[InstanceID]*peer
	heartbeatPeers        []InstanceID
	zonesOutOfService     map[ZoneID]bool
	instancesOutOfService map[InstanceID]bool
	// departingSince holds the time at which a peer was first known to be leaving or out of service.
	departingSince map[InstanceID]time.Time
	excluded       map[InstanceID]bool
	// now is the time of the last event.
	now            time.Time
	roundStart     time.Time
	completedRound time.Time
	// unfencedAt is the start of the first round after the last fence; acknowledgements from before it are void.
	unfencedAt time.Time
	leaving    bool
	// droppedPeers holds the peers whose Contact changed because they no longer get heartbeats.
	droppedPeers []InstanceID
	reachability *Reachability
}

// NewMembership returns a membership that knows only its own instance and is fenced.
func NewMembership(self Entry) *Membership {
	m := &Membership{
		self:           self,
		view:           NewView([]Entry{self}, nil),
		listed:         make(map[InstanceID]bool),
		peers:          make(map[InstanceID]*peer),
		departingSince: make(map[InstanceID]time.Time),
		excluded:       make(map[InstanceID]bool),
	}
	m.updateReachability()
	return m
}

// Reachability returns the current state as an immutable value.
func (m *Membership) Reachability() *Reachability { return m.reachability }

// Peers returns the entry instances to send heartbeats to, at most MaxHeartbeatPeers: suspects first, then those of the
// own zone, of the own region and of other regions, each group in rendezvous order.
func (m *Membership) Peers() []Entry {
	all := make([]Entry, 0, len(m.heartbeatPeers))
	for _, id := range m.heartbeatPeers {
		if entry, ok := m.view.Entry(id); ok {
			all = append(all, entry)
		}
	}
	return all
}

// BeginRound starts a heartbeat round and returns the peers to send to. If the last completed round is older than
// FenceTimeout, every acknowledgement is void, because peers may have claimed servers in the meantime.
func (m *Membership) BeginRound(now time.Time) ([]Entry, Change) {
	if m.completedRound.IsZero() || now.Sub(m.completedRound) >= FenceTimeout {
		m.unfencedAt = now
		for _, p := range m.peers {
			// Silence counts from now: while this process was paused it could not receive answers.
			p.lastAnswered, p.firstSent = time.Time{}, time.Time{}
			p.acknowledged, p.granted = false, false
		}
	}
	m.roundStart = now
	for _, id := range m.heartbeatPeers {
		if p := m.peer(id); p.firstSent.IsZero() {
			p.firstSent = now
		}
	}
	return m.Peers(), m.Advance(now)
}

// HeartbeatAnswered records a peer's response.
func (m *Membership) HeartbeatAnswered(now time.Time, response HeartbeatResponse) Change {
	change := m.recordContact(now, response.From)
	p := m.peer(response.From.ID)
	// An answer to a heartbeat from before a pause proves nothing about the time since.
	if !response.Sent.Before(m.unfencedAt) {
		p.lastAnswered = latest(p.lastAnswered, response.Sent)
		p.lastOutcome = latest(p.lastOutcome, response.Sent)
		p.acknowledged = response.Acknowledged
		p.granted = p.granted || response.Acknowledged
	}
	p.released = response.Released
	p.suspect = false
	return change.Join(m.Advance(now))
}

// HeartbeatFailed records that a heartbeat sent at the given time got no answer.
func (m *Membership) HeartbeatFailed(now time.Time, id InstanceID, sent time.Time) Change {
	if p := m.peer(id); sent.After(p.lastOutcome) {
		p.lastOutcome = sent
	}
	return m.Advance(now)
}

// HeartbeatReceived records a heartbeat from a peer; the peer counts as listed from then on. The caller must apply the
// change to its ownership table before it acknowledges the heartbeat.
func (m *Membership) HeartbeatReceived(now time.Time, from Entry, released bool) Change {
	change := m.recordContact(now, from)
	m.peer(from.ID).released = released
	return change.Join(m.Advance(now))
}

// Suspect records that a message to a peer failed. The peer gets heartbeats from the next round on.
func (m *Membership) Suspect(now time.Time, id InstanceID) Change {
	if _, ok := m.view.Entry(id); ok && id != m.self.ID {
		m.peer(id).suspect = true
		m.choosePeers()
	}
	return m.Advance(now)
}

// Leave records that this instance is leaving: it owns no servers from now on.
func (m *Membership) Leave(now time.Time) Change {
	m.leaving = true
	return m.Advance(now)
}

// SetOutOfService replaces the zones and instances that operators have taken out of service.
func (m *Membership) SetOutOfService(now time.Time, zones []ZoneID, instances []InstanceID) Change {
	m.zonesOutOfService = setOf(zones)
	m.instancesOutOfService = setOf(instances)
	return m.Advance(now)
}

// Released reports whether this instance is leaving or out of service and owns no servers; heartbeats tell the peers.
func (m *Membership) Released() bool { return m.excluded[m.self.ID] }

// Acknowledges reports whether this instance reaches the peer and so claims no servers of which the peer is the first
// owner. The ownership table must be updated before the result is sent to the peer. An answer older than
// ClaimDelay-UnreachableTimeout is not enough: the peer relies on the acknowledgement for UnreachableTimeout, and if
// the network is cut in one direction this instance could claim before that. The current time is that of the last
// event, which for the answer to a heartbeat is its HeartbeatReceived.
func (m *Membership) Acknowledges(id InstanceID) bool {
	if _, known := m.view.Entry(id); !known || !m.reachability.Contact(id).Reachable {
		return false
	}
	p, ok := m.peers[id]
	return !ok || p.silentSince().IsZero() || m.now.Sub(p.silentSince()) < ClaimDelay-UnreachableTimeout
}

// CompletedRound returns the start of the last round in which every heartbeat was answered or failed.
func (m *Membership) CompletedRound() time.Time { return m.completedRound }

// peer returns the state of a peer and creates it if there is none.
func (m *Membership) peer(id InstanceID) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{contact: unknownContact}
		m.peers[id] = p
	}
	return p
}

// recordContact adds or updates a peer from which a message was received.
func (m *Membership) recordContact(now time.Time, from Entry) Change {
	if from.ID == m.self.ID {
		return Change{}
	}
	p := m.peer(from.ID)
	p.lastHeard, p.leaving = now, from.Leaving
	known, ok := m.view.Entry(from.ID)
	// The peer is leaving if either it or the list says so.
	from.Leaving = from.Leaving || m.listed[from.ID]
	if ok && known == from {
		return Change{}
	}
	m.view = m.view.WithEntry(from)
	m.choosePeers()
	return Change{Entries: []InstanceID{from.ID}}
}

// Advance applies the passing of time and returns what changed.
func (m *Membership) Advance(now time.Time) Change {
	m.now = now
	change := m.removeSilent(now)
	for _, id := range m.heartbeatPeers {
		p := m.peer(id)
		if contact := m.contactAt(now, p); contact != p.contact {
			p.contact = contact
			if !contact.Reachable {
				// A silent peer keeps getting heartbeats, or its return would go unnoticed.
				p.acknowledged, p.suspect = false, true
			}
			change.Entries = append(change.Entries, id)
		}
	}
	change.Entries = append(change.Entries, m.droppedPeers...)
	m.droppedPeers = nil
	change.Entries = append(change.Entries, m.updateExcluded(now)...)
	m.updateCompletedRound()
	m.updateReachability()
	return change
}

// silentSince returns the time from which the peer's silence counts; zero if no heartbeat was sent to it yet.
func (p *peer) silentSince() time.Time {
	if p.lastAnswered.IsZero() {
		return p.firstSent
	}
	return p.lastAnswered
}

// contactAt returns the state of the connection to a peer at the given time. It sets granted once the peer has been
// silent for ClaimDelay.
func (m *Membership) contactAt(now time.Time, p *peer) Contact {
	if p.silentSince().IsZero() {
		return Contact{Reachable: true, Granted: p.granted}
	}
	silence := now.Sub(p.silentSince())
	p.granted = p.granted || silence >= ClaimDelay
	contact := Contact{Reachable: silence < UnreachableTimeout, Granted: p.granted, Silent: silence >= ClaimDelay}
	contact.Acknowledged = contact.Reachable && p.acknowledged
	return contact
}

// removeSilent removes the peers that are not on the list and have been silent for ClaimDelay.
func (m *Membership) removeSilent(now time.Time) Change {
	var removed []InstanceID
	for id, p := range m.peers {
		_, known := m.view.Entry(id)
		if _, listed := m.listed[id]; !listed && known && now.Sub(latest(p.lastHeard, p.lastAnswered)) >= ClaimDelay {
			removed = append(removed, id)
		}
	}
	if len(removed) == 0 {
		return Change{}
	}
	slices.Sort(removed)
	for _, id := range removed {
		delete(m.peers, id)
	}
	m.view = m.view.With(nil, removed, nil, nil)
	m.choosePeers()
	return Change{Entries: removed}
}

// updateCompletedRound sets the completed round to the oldest lastOutcome among the peers, so that a single outstanding
// heartbeat keeps the round open.
func (m *Membership) updateCompletedRound() {
	completed := m.roundStart
	for _, id := range m.heartbeatPeers {
		if outcome := m.peer(id).lastOutcome; outcome.Before(completed) {
			completed = outcome
		}
	}
	m.completedRound = completed
}

// updateReachability replaces the state that Reachability returns.
func (m *Membership) updateReachability() {
	contacts := make(map[InstanceID]Contact, len(m.heartbeatPeers))
	for _, id := range m.heartbeatPeers {
		contacts[id] = m.peers[id].contact
	}
	fresh := time.Time{}
	if !m.completedRound.IsZero() {
		fresh = m.completedRound.Add(FenceTimeout)
	}
	m.reachability = NewReachability(m.self, m.view, contacts, m.excluded, fresh)
}

func latest(a, b time.Time) time.Time {
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
