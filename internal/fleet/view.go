package fleet

import (
	"cmp"
	"slices"
)

// View is the fleet at one moment: every listed entry instance and backend server.
type View struct {
	entries   map[InstanceID]Entry
	servers   map[ServerID]Server
	byService map[ServiceID][]ServerID
	byZone    map[ZoneID][]InstanceID
}

// NewView returns the view of these entry instances and backend servers.
func NewView(entries []Entry, servers []Server) *View {
	v := &View{
		entries:   make(map[InstanceID]Entry, len(entries)),
		servers:   make(map[ServerID]Server, len(servers)),
		byService: make(map[ServiceID][]ServerID),
		byZone:    make(map[ZoneID][]InstanceID),
	}
	for _, entry := range entries {
		v.entries[entry.ID] = entry
		v.byZone[entry.Zone] = append(v.byZone[entry.Zone], entry.ID)
	}
	for _, server := range servers {
		v.servers[server.ID] = server
		v.byService[server.Service] = append(v.byService[server.Service], server.ID)
	}
	for _, ids := range v.byZone {
		slices.Sort(ids)
	}
	for _, ids := range v.byService {
		slices.Sort(ids)
	}
	return v
}

// Entry returns an entry instance.
func (v *View) Entry(id InstanceID) (Entry, bool) {
	entry, ok := v.entries[id]
	return entry, ok
}

// Entries returns all entry instances in the order of their names.
func (v *View) Entries() []Entry {
	all := make([]Entry, 0, len(v.entries))
	for _, entry := range v.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Server returns a backend server.
func (v *View) Server(id ServerID) (Server, bool) {
	server, ok := v.servers[id]
	return server, ok
}

// Servers returns all backend servers in the order of their names.
func (v *View) Servers() []Server {
	all := make([]Server, 0, len(v.servers))
	for _, server := range v.servers {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ServersOf returns the names of a service's replicas in ascending order. The caller does not change
// the slice.
func (v *View) ServersOf(service ServiceID) []ServerID {
	return v.byService[service]
}

// EntriesOf returns the names of a zone's entry instances in ascending order. The caller does not
// change the slice.
func (v *View) EntriesOf(zone ZoneID) []InstanceID {
	return v.byZone[zone]
}
