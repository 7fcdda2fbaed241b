package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listed replaces what the instance list says. Only differences touch the view.
func (m *Membership) Listed(now time.Time, entries []Entry, servers []Server) Change {
	change := Change{}
	change.Entries = m.listEntries(now, entries)
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
	var gone []ServerID
	if m.view.servers.Len()+added > len(servers) {
		gone = m.unlisted(servers)
	}
	change.Servers = append(change.Servers, gone...)
	if len(changed)+len(gone) > 0 {
		m.view = m.view.With(nil, nil, changed, gone)
	}
	return change.Join(m.Advance(now))
}

// unlisted returns the servers of the view that the list does not have.
func (m *Membership) unlisted(servers []Server) []ServerID {
	present := make(map[ServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
	}
	var gone []ServerID
	for id := range m.view.servers.All() {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	return gone
}

// ServerChanged replaces one backend server, for example when its own answers say that it leaves.
func (m *Membership) ServerChanged(now time.Time, server Server) Change {
	m.view = m.view.WithServer(server)
	return Change{Servers: []ServerID{server.ID}}.Join(m.Advance(now))
}

func (m *Membership) listEntries(now time.Time, entries []Entry) []InstanceID {
	listed := make(map[InstanceID]bool, len(entries))
	var changed []Entry
	var ids, gone []InstanceID
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
		// A live instance that the list has dropped stays while it is heard directly.
		p, ok := m.peers[id]
		if !ok || now.Sub(later(p.heard, p.answered)) >= ClaimDelay {
			gone = append(gone, id)
			delete(m.peers, id)
		}
	}
	m.listed = listed
	if len(changed)+len(gone) > 0 {
		m.view = m.view.With(changed, gone, nil, nil)
		m.choosePeers()
	}
	return append(ids, gone...)
}

// exclude recomputes the entries that are no candidates and returns those that changed. A peer that
// leaves or is out stays a candidate until it has released its servers or can be taken to have stopped;
// otherwise two owners could send to one server.
func (m *Membership) exclude(now time.Time) []InstanceID {
	next := make(map[InstanceID]bool)
	if m.leaving || m.zonesOut[m.self.Zone] || m.instancesOut[m.self.ID] {
		next[m.self.ID] = true
	}
	for id, going := range m.marked(now) {
		p, probed := m.peers[id]
		switch {
		case probed && p.released:
			next[id] = true
		case probed && !p.since.IsZero():
			if now.Sub(later(p.answered, p.since)) >= ClaimDelay {
				next[id] = true
			}
		case now.Sub(going) >= RemovalDelay:
			next[id] = true
		}
	}
	// A peer's own word counts also before the list or the configuration says so here.
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

// marked returns the peers that the list or operators want gone, each with the time this was learnt.
func (m *Membership) marked(now time.Time) map[InstanceID]time.Time {
	next := make(map[InstanceID]time.Time)
	mark := func(id InstanceID) {
		if _, ok := m.view.Entry(id); !ok || id == m.self.ID {
			return
		}
		since, ok := m.going[id]
		if !ok {
			since = now
		}
		next[id] = since
	}
	for zone := range m.zonesOut {
		for _, id := range m.view.EntriesOf(zone) {
			mark(id)
		}
	}
	for id := range m.instancesOut {
		mark(id)
	}
	for id := range m.view.leaving {
		mark(id)
	}
	m.going = next
	return next
}

// choosePeers recomputes the heartbeat peers after a change of the entry instances.
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
	former := m.heartbeat
	m.heartbeat = make([]InstanceID, 0, len(best))
	for _, chosen := range best {
		m.heartbeat = append(m.heartbeat, chosen.id)
		if p := m.peer(chosen.id); !slices.Contains(former, chosen.id) {
			// A new peer does not reopen the rounds before it.
			p.outcome = later(p.outcome, m.completed)
			// It cannot have claimed from an instance that was sending before it was known here.
			p.granted = !m.completed.IsZero()
		}
	}
	for _, id := range former {
		if p, ok := m.peers[id]; ok && !slices.Contains(m.heartbeat, id) {
			*p = peer{heard: p.heard, released: p.released, leaving: p.leaving, contact: unknownContact}
			m.dropped = append(m.dropped, id)
		}
	}
}

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
