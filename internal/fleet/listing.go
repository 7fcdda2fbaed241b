package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ApplyInstanceList applies the current instance list, which replaces the previous one. The view is only replaced if
// something differs.
func (m *Membership) ApplyInstanceList(now time.Time, entries []Entry, servers []Server) Change {
	change := Change{}
	change.Entries = m.applyEntryList(now, entries)
	var changed []Server
	added := 0
	for _, server := range servers {
		known := m.view.servers.Get(server.ID)
		if known == nil {
			added++
		}
		if known == nil || *known != server {
			changed = append(changed, server)
			change.Servers = append(change.Servers, server.ID)
		}
	}
	var removed []ServerID
	if m.view.servers.Len()+added > len(servers) {
		removed = m.unlistedServers(servers)
	}
	change.Servers = append(change.Servers, removed...)
	if len(changed)+len(removed) > 0 {
		m.view = m.view.With(nil, nil, changed, removed)
	}
	return change.Join(m.Advance(now))
}

// unlistedServers returns the servers of the view that the list does not contain.
func (m *Membership) unlistedServers(servers []Server) []ServerID {
	present := make(map[ServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
	}
	var removed []ServerID
	for id := range m.view.servers.All() {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

// ServerChanged replaces one backend server, for example when its own answers say that it is leaving.
func (m *Membership) ServerChanged(now time.Time, server Server) Change {
	m.view = m.view.WithServer(server)
	return Change{Servers: []ServerID{server.ID}}.Join(m.Advance(now))
}

// applyEntryList applies the entry instances of the instance list and returns those that changed or were removed.
func (m *Membership) applyEntryList(now time.Time, entries []Entry) []InstanceID {
	listed := make(map[InstanceID]bool, len(entries))
	var changed []Entry
	var ids, removed []InstanceID
	for _, entry := range entries {
		listed[entry.ID] = entry.Leaving
		if entry.ID == m.self.ID {
			m.leaving = m.leaving || entry.Leaving
			continue
		}
		if p, ok := m.peers[entry.ID]; ok {
			entry.Leaving = entry.Leaving || p.leaving
		}
		if known, ok := m.view.Entry(entry.ID); !ok || known != entry {
			changed = append(changed, entry)
			ids = append(ids, entry.ID)
		}
	}
	for id := range m.view.entries.All() {
		if _, ok := listed[id]; ok || id == m.self.ID {
			continue
		}
		// A live instance that the list no longer contains stays while messages from it arrive.
		p, ok := m.peers[id]
		if !ok || now.Sub(latest(p.lastHeard, p.lastAnswered)) >= ClaimDelay {
			removed = append(removed, id)
			delete(m.peers, id)
		}
	}
	m.listed = listed
	if len(changed)+len(removed) > 0 {
		m.view = m.view.With(changed, removed, nil, nil)
		m.choosePeers()
	}
	return append(ids, removed...)
}

// updateExcluded recomputes the entry instances that cannot own servers and returns those whose state changed. A peer
// that is leaving or out of service can still own servers until it has released them or can be assumed to have stopped
// sending; otherwise two owners could send to one server.
func (m *Membership) updateExcluded(now time.Time) []InstanceID {
	next := make(map[InstanceID]bool)
	if m.leaving || m.zonesOutOfService[m.self.Zone] || m.instancesOutOfService[m.self.ID] {
		next[m.self.ID] = true
	}
	for id, since := range m.departingPeers(now) {
		p, hasState := m.peers[id]
		switch {
		case hasState && p.released:
			next[id] = true
		case hasState && !p.firstSent.IsZero():
			if now.Sub(latest(p.lastAnswered, p.firstSent)) >= ClaimDelay {
				next[id] = true
			}
		case now.Sub(since) >= RemovalDelay:
			next[id] = true
		}
	}
	// A peer that has released its servers is excluded even before the list or the configuration marks it here.
	for id, p := range m.peers {
		if p.released {
			next[id] = true
		}
	}
	if maps.Equal(next, m.excluded) {
		return nil
	}
	var changed []InstanceID
	for id := range next {
		if !m.excluded[id] {
			changed = append(changed, id)
		}
	}
	for id := range m.excluded {
		if !next[id] {
			changed = append(changed, id)
		}
	}
	m.excluded = next
	slices.Sort(changed)
	return changed
}

// departingPeers returns the peers that are leaving or out of service, each with the time at which this instance first
// knew it.
func (m *Membership) departingPeers(now time.Time) map[InstanceID]time.Time {
	next := make(map[InstanceID]time.Time)
	mark := func(id InstanceID) {
		if _, ok := m.view.Entry(id); !ok || id == m.self.ID {
			return
		}
		since, ok := m.departingSince[id]
		if !ok {
			since = now
		}
		next[id] = since
	}
	for zone := range m.zonesOutOfService {
		for _, id := range m.view.EntriesOf(zone) {
			mark(id)
		}
	}
	for id := range m.instancesOutOfService {
		mark(id)
	}
	for id := range m.view.leaving {
		mark(id)
	}
	m.departingSince = next
	return next
}

// choosePeers recomputes which peers get heartbeats, after a change of the entry instances or a suspicion.
func (m *Membership) choosePeers() {
	type ranked struct {
		id     InstanceID
		tier   int
		weight uint64
	}
	self := xxhash.Sum64String(string(m.self.ID))
	compare := func(a, b ranked) int {
		if a.tier != b.tier {
			return a.tier - b.tier
		}
		return CompareWeights(a.weight, b.weight, a.id, b.id)
	}
	best := make([]ranked, 0, MaxHeartbeatPeers+1)
	for id, entry := range m.view.entries.All() {
		if id == m.self.ID {
			continue
		}
		candidate := ranked{id: id, tier: m.tier(entry), weight: Weight(self, xxhash.Sum64String(string(id)))}
		if p, ok := m.peers[id]; ok && p.suspect {
			candidate.tier = -1
		}
		at, _ := slices.BinarySearchFunc(best, candidate, compare)
		if at == MaxHeartbeatPeers {
			continue
		}
		best = slices.Insert(best, at, candidate)
		best = best[:min(len(best), MaxHeartbeatPeers)]
	}
	previous := m.heartbeatPeers
	m.heartbeatPeers = make([]InstanceID, 0, len(best))
	for _, chosen := range best {
		m.heartbeatPeers = append(m.heartbeatPeers, chosen.id)
		if p := m.peer(chosen.id); !slices.Contains(previous, chosen.id) {
			// A new peer must not reopen earlier rounds.
			p.lastOutcome = latest(p.lastOutcome, m.completedRound)
			// It cannot have claimed servers from an instance that was sending before it was known here.
			p.granted = !m.completedRound.IsZero()
		}
	}
	for _, id := range previous {
		if p, ok := m.peers[id]; ok && !slices.Contains(m.heartbeatPeers, id) {
			*p = peer{lastHeard: p.lastHeard, released: p.released, leaving: p.leaving, contact: unknownContact}
			m.droppedPeers = append(m.droppedPeers, id)
		}
	}
}

// tier ranks an entry instance by distance: 0 in the own zone, 1 in the own region, 2 elsewhere.
func (m *Membership) tier(entry *Entry) int {
	switch {
	case entry.Zone == m.self.Zone:
		return 0
	case entry.Region == m.self.Region:
		return 1
	default:
		return 2
	}
}
