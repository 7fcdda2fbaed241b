package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// View is the fleet at one moment: every known entry instance and backend server. It is immutable.
type View struct {
	entries          PersistentMap[InstanceID, Entry]
	servers          PersistentMap[ServerID, Server]
	serversByService PersistentMap[ServiceID, []ServerID]
	entriesByZone    PersistentMap[ZoneID, []InstanceID]
	serversByZone    PersistentMap[ZoneID, []ServerID]
	// leaving holds the entry instances that are leaving. They are few; the set saves a scan of all instances.
	leaving map[InstanceID]bool
}

// NewView returns the view of these entry instances and backend servers.
func NewView(entries []Entry, servers []Server) *View {
	return new(View).With(entries, nil, servers, nil)
}

// With returns a view with these entry instances and backend servers added or replaced and the removed ones left out.
// Its cost grows with the changed items and their zones and services, not with the whole fleet.
func (v *View) With(entries []Entry, removedEntries []InstanceID, servers []Server, removedServers []ServerID) *View {
	next := *v
	next.setEntries(entries, removedEntries)
	next.setServers(servers, removedServers)
	return &next
}

// WithEntry returns a view with the entry instance added or replaced.
func (v *View) WithEntry(entry Entry) *View { return v.With([]Entry{entry}, nil, nil, nil) }

// WithoutEntry returns a view without the entry instance.
func (v *View) WithoutEntry(id InstanceID) *View { return v.With(nil, []InstanceID{id}, nil, nil) }

// WithServer returns a view with the backend server added or replaced.
func (v *View) WithServer(server Server) *View { return v.With(nil, nil, []Server{server}, nil) }

// WithoutServer returns a view without the backend server.
func (v *View) WithoutServer(id ServerID) *View { return v.With(nil, nil, nil, []ServerID{id}) }

func (v *View) setEntries(entries []Entry, removed []InstanceID) {
	if len(entries)+len(removed) == 0 {
		return
	}
	all := v.entries.Edit()
	zones := newGroupEdit(v.entriesByZone)
	for _, id := range removed {
		if old := all.Get(id); old != nil {
			zones.remove(old.Zone, id)
			all.Delete(id)
		}
	}
	for _, entry := range entries {
		old := all.Get(entry.ID)
		if old != nil && old.Zone != entry.Zone {
			zones.remove(old.Zone, entry.ID)
		}
		if old == nil || old.Zone != entry.Zone {
			zones.add(entry.Zone, entry.ID)
		}
		all.Set(entry.ID, entry)
	}
	v.entries, v.entriesByZone = all.Map(), zones.result()
	v.leaving = maps.Clone(v.leaving)
	for _, id := range removed {
		delete(v.leaving, id)
	}
	for _, entry := range entries {
		if !entry.Leaving {
			delete(v.leaving, entry.ID)
			continue
		}
		if v.leaving == nil {
			v.leaving = make(map[InstanceID]bool)
		}
		v.leaving[entry.ID] = true
	}
}

func (v *View) setServers(servers []Server, removed []ServerID) {
	if len(servers)+len(removed) == 0 {
		return
	}
	all := v.servers.Edit()
	services, zones := newGroupEdit(v.serversByService), newGroupEdit(v.serversByZone)
	for _, id := range removed {
		if old := all.Get(id); old != nil {
			services.remove(old.Service, id)
			zones.remove(old.Zone, id)
			all.Delete(id)
		}
	}
	for _, server := range servers {
		old := all.Get(server.ID)
		if old != nil && old.Service != server.Service {
			services.remove(old.Service, server.ID)
		}
		if old == nil || old.Service != server.Service {
			services.add(server.Service, server.ID)
		}
		if old != nil && old.Zone != server.Zone {
			zones.remove(old.Zone, server.ID)
		}
		if old == nil || old.Zone != server.Zone {
			zones.add(server.Zone, server.ID)
		}
		all.Set(server.ID, server)
	}
	v.servers, v.serversByService, v.serversByZone = all.Map(), services.result(), zones.result()
}

// groupEdit edits a map from a group to its sorted members. It copies the members of a changed group once.
type groupEdit[G, M ~string] struct {
	edit    *MapEdit[G, []M]
	changed map[G][]M
}

func newGroupEdit[G, M ~string](from PersistentMap[G, []M]) *groupEdit[G, M] {
	return &groupEdit[G, M]{edit: from.Edit(), changed: make(map[G][]M)}
}

func (g *groupEdit[G, M]) members(group G) []M {
	if members, ok := g.changed[group]; ok {
		return members
	}
	if members := g.edit.Get(group); members != nil {
		return slices.Clone(*members)
	}
	return nil
}

func (g *groupEdit[G, M]) add(group G, member M) {
	g.changed[group] = append(g.members(group), member)
}

func (g *groupEdit[G, M]) remove(group G, member M) {
	members := g.members(group)
	if at := slices.Index(members, member); at >= 0 {
		members = slices.Delete(members, at, at+1)
	}
	g.changed[group] = members
}

func (g *groupEdit[G, M]) result() PersistentMap[G, []M] {
	for group, members := range g.changed {
		if len(members) == 0 {
			g.edit.Delete(group)
			continue
		}
		slices.Sort(members)
		g.edit.Set(group, members)
	}
	return g.edit.Map()
}

// Entry returns an entry instance; false if the view does not contain it.
func (v *View) Entry(id InstanceID) (Entry, bool) {
	if entry := v.entries.Get(id); entry != nil {
		return *entry, true
	}
	return Entry{}, false
}

// Entries returns all entry instances in ascending order of their names.
func (v *View) Entries() []Entry {
	all := make([]Entry, 0, v.entries.Len())
	for _, entry := range v.entries.All() {
		all = append(all, *entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Server returns a backend server; false if the view does not contain it.
func (v *View) Server(id ServerID) (Server, bool) {
	if server := v.servers.Get(id); server != nil {
		return *server, true
	}
	return Server{}, false
}

// Servers returns all backend servers in ascending order of their names.
func (v *View) Servers() []Server {
	all := make([]Server, 0, v.servers.Len())
	for _, server := range v.servers.All() {
		all = append(all, *server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ServersOf returns the names of a service's replicas in ascending order. The caller must not change the slice.
func (v *View) ServersOf(service ServiceID) []ServerID {
	return membersOf(v.serversByService, service)
}

// EntriesOf returns the names of a zone's entry instances in ascending order. The caller must not change the slice.
func (v *View) EntriesOf(zone ZoneID) []InstanceID {
	return membersOf(v.entriesByZone, zone)
}

// ServersIn returns the names of a zone's backend servers in ascending order. The caller must not change the slice.
func (v *View) ServersIn(zone ZoneID) []ServerID {
	return membersOf(v.serversByZone, zone)
}

// Zones returns the names of the zones that have entry instances or backend servers, in ascending order.
func (v *View) Zones() []ZoneID {
	var all []ZoneID
	for zone := range v.entriesByZone.All() {
		all = append(all, zone)
	}
	for zone := range v.serversByZone.All() {
		all = append(all, zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func membersOf[G, M ~string](groups PersistentMap[G, []M], group G) []M {
	if members := groups.Get(group); members != nil {
		return *members
	}
	return nil
}
