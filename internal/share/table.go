package share

import (
	"slices"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Limits returns the slots and connections of one replica of a service; zeros if it is not in the
// catalogue.
type Limits func(service fleet.ServiceID) (slots, connections int)

// Table answers for each server who owns it and what this instance may use. It is immutable.
type Table struct {
	records fleet.PersistentMap[fleet.ServerID, record]
}

type record struct {
	candidates  [MaxCandidates]fleet.InstanceID
	owner       fleet.InstanceID
	slots       int32
	connections int32
	claimed     bool
}

// NewTable computes the table of all servers in the view.
func NewTable(reach *fleet.Reachability, limits Limits) *Table {
	b := newBuilder(&Table{}, reach, limits)
	for _, zone := range reach.View().Zones() {
		for _, id := range reach.View().ServersIn(zone) {
			b.replace(id)
		}
	}
	return b.table()
}

// With returns the table after a change, computing only the servers that the change can touch: the
// changed ones, those of changed services, and those in the zones of changed entry instances that have
// one of them as a candidate.
func (t *Table) With(reach *fleet.Reachability, change fleet.Change, limits Limits) *Table {
	if change.Empty() {
		return t
	}
	b := newBuilder(t, reach, limits)
	for _, id := range change.Servers {
		b.replace(id)
	}
	for _, service := range change.Services {
		for _, id := range reach.View().ServersOf(service) {
			b.replace(id)
		}
	}
	if len(change.Entries) > 0 {
		b.entriesChanged(change.Entries)
	}
	return b.table()
}

// Route returns the entry instance to which parts for the server go.
func (t *Table) Route(server fleet.ServerID) (fleet.InstanceID, bool) {
	r := t.records.Get(server)
	if r == nil || r.owner == "" {
		return "", false
	}
	return r.owner, true
}

// Claim returns what this instance may use of the server; false if it may not send to it now.
func (t *Table) Claim(server fleet.ServerID) (slots, connections int, ok bool) {
	r := t.records.Get(server)
	if r == nil || !r.claimed {
		return 0, 0, false
	}
	return int(r.slots), int(r.connections), true
}

// Candidates returns the candidates of a server in rendezvous order.
func (t *Table) Candidates(server fleet.ServerID) []fleet.InstanceID {
	r := t.records.Get(server)
	if r == nil {
		return nil
	}
	candidates := r.candidates
	if end := slices.Index(candidates[:], ""); end >= 0 {
		return candidates[:end]
	}
	return candidates[:]
}

// Claimed returns the servers that this instance may send to now, in ascending order.
func (t *Table) Claimed() []fleet.ServerID {
	var all []fleet.ServerID
	for id, r := range t.records.All() {
		if r.claimed {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// builder computes the records that differ from an earlier table.
type builder struct {
	reach    *fleet.Reachability
	limits   Limits
	edit     *fleet.MapEdit[fleet.ServerID, record]
	rankings map[fleet.ZoneID]ranking
}

func newBuilder(from *Table, reach *fleet.Reachability, limits Limits) *builder {
	return &builder{reach: reach, limits: limits, edit: from.records.Edit(), rankings: make(map[fleet.ZoneID]ranking)}
}

func (b *builder) table() *Table { return &Table{records: b.edit.Map()} }

func (b *builder) ranking(zone fleet.ZoneID, region fleet.RegionID) ranking {
	known, ok := b.rankings[zone]
	if !ok {
		known = newRanking(b.reach, zone, region)
		b.rankings[zone] = known
	}
	return known
}

// replace computes the record of one server; a server that is gone loses its record.
func (b *builder) replace(id fleet.ServerID) {
	server, ok := b.reach.View().Server(id)
	if !ok {
		b.edit.Delete(id)
		return
	}
	b.set(server, b.ranking(server.Zone, server.Region).first(id))
}

func (b *builder) set(server fleet.Server, candidates [MaxCandidates]fleet.InstanceID) {
	next := record{candidates: candidates}
	decision := Decide(b.reach, candidates[:])
	next.owner = decision.Owner
	if decision.Claimed {
		slots, connections := b.limits(server.Service)
		next.slots = int32(Share(slots, decision.Unreachable+1, decision.Before))
		next.connections = int32(Share(connections, decision.Unreachable+1, decision.Before))
		next.claimed = next.slots > 0 && next.connections > 0
	}
	if known := b.edit.Get(server.ID); known == nil || *known != next {
		b.edit.Set(server.ID, next)
	}
}

// entriesChanged recomputes the servers whose candidates include, or now would include, one of the
// changed entry instances.
func (b *builder) entriesChanged(changed []fleet.InstanceID) {
	for _, zone := range b.reach.View().Zones() {
		servers := b.reach.View().ServersIn(zone)
		if len(servers) == 0 || !b.touches(zone, changed) {
			continue
		}
		for _, id := range servers {
			server, _ := b.reach.View().Server(id)
			known := b.edit.Get(id)
			candidates := b.ranking(server.Zone, server.Region).first(id)
			if known == nil || known.candidates != candidates || containsAny(candidates[:], changed) {
				b.set(server, candidates)
			}
		}
	}
}

// touches tells whether a changed entry instance is or was a candidate for servers of the zone. One that
// has gone from the view may have been in any zone, and one that came or went in another zone of the
// region matters where the zone has no entry instance of its own.
func (b *builder) touches(zone fleet.ZoneID, changed []fleet.InstanceID) bool {
	own := b.reach.View().EntriesOf(zone)
	if !slices.ContainsFunc(own, b.reach.Eligible) {
		return true
	}
	for _, id := range changed {
		entry, ok := b.reach.View().Entry(id)
		if !ok || entry.Zone == zone {
			return true
		}
	}
	return false
}

func containsAny(candidates, changed []fleet.InstanceID) bool {
	for _, id := range changed {
		if slices.Contains(candidates, id) {
			return true
		}
	}
	return false
}
