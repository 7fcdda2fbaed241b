package share

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Limits returns the slots and connections of one replica of a service; zeros if it is not in the
// catalogue.
type Limits func(service fleet.ServiceID) (slots, connections int)

// Table answers for each server who owns it and what this instance may use. It is immutable.
type Table struct {
	records fleet.PersistentMap[fleet.ServerID, record]
	// zones holds the zone of each entry instance in the table's view; one that moves to another zone or
	// goes touches the servers of its former zone as well.
	zones fleet.PersistentMap[fleet.InstanceID, fleet.ZoneID]
	// rankings holds the candidates of each zone, so that a changed server does not hash them again.
	rankings map[fleet.ZoneID]ranking
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
	for _, entry := range reach.View().Entries() {
		b.zones.Set(entry.ID, entry.Zone)
	}
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
	if len(change.Entries) > 0 {
		b.entriesChanged(change.Entries)
	}
	for _, id := range change.Servers {
		b.replace(id)
	}
	for _, service := range change.Services {
		for _, id := range reach.View().ServersOf(service) {
			b.replace(id)
		}
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
	zones    *fleet.MapEdit[fleet.InstanceID, fleet.ZoneID]
	rankings map[fleet.ZoneID]ranking
}

func newBuilder(from *Table, reach *fleet.Reachability, limits Limits) *builder {
	b := &builder{
		reach: reach, limits: limits, edit: from.records.Edit(), zones: from.zones.Edit(),
		rankings: maps.Clone(from.rankings),
	}
	if b.rankings == nil {
		b.rankings = make(map[fleet.ZoneID]ranking)
	}
	return b
}

func (b *builder) table() *Table {
	return &Table{records: b.edit.Map(), zones: b.zones.Map(), rankings: b.rankings}
}

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
	hashes := make([]uint64, len(changed))
	for i, id := range changed {
		hashes[i] = xxhash.Sum64String(string(id))
	}
	touched := b.moveEntries(changed)
	for zone := range b.rankings {
		if b.touches(zone, touched) {
			delete(b.rankings, zone)
		}
	}
	for _, zone := range b.reach.View().Zones() {
		servers := b.reach.View().ServersIn(zone)
		if len(servers) == 0 || !b.touches(zone, touched) {
			continue
		}
		all := b.firstOrNone(zone, changed)
		for _, id := range servers {
			if known := b.edit.Get(id); all || known == nil || b.affects(known, id, changed, hashes) {
				b.replace(id)
			}
		}
	}
}

// firstOrNone tells whether a zone has no entry instance of its own, or none but the changed ones; its
// candidates may then move between the zone and its region.
func (b *builder) firstOrNone(zone fleet.ZoneID, changed []fleet.InstanceID) bool {
	return !slices.ContainsFunc(b.reach.View().EntriesOf(zone), func(id fleet.InstanceID) bool {
		return b.reach.Eligible(id) && !slices.Contains(changed, id)
	})
}

// affects tells whether a changed entry instance is a candidate of the server or outweighs one.
func (b *builder) affects(known *record, server fleet.ServerID, changed []fleet.InstanceID, hashes []uint64) bool {
	last := known.candidates[MaxCandidates-1]
	if last == "" || containsAny(known.candidates[:], changed) {
		return true
	}
	key := xxhash.Sum64String(string(server))
	least := fleet.Weight(key, xxhash.Sum64String(string(last)))
	for i, id := range changed {
		if fleet.CompareWeights(fleet.Weight(key, hashes[i]), least, id, last) < 0 {
			return true
		}
	}
	return false
}

// moveEntries records the zones of the changed entry instances and returns their former and new ones.
func (b *builder) moveEntries(changed []fleet.InstanceID) map[fleet.ZoneID]bool {
	touched := make(map[fleet.ZoneID]bool)
	for _, id := range changed {
		if former := b.zones.Get(id); former != nil {
			touched[*former] = true
		}
		if entry, ok := b.reach.View().Entry(id); ok {
			touched[entry.Zone] = true
			b.zones.Set(id, entry.Zone)
		} else {
			b.zones.Delete(id)
		}
	}
	return touched
}

// touches tells whether the zone's candidates may differ: a zone without an eligible entry instance of
// its own depends on its whole region.
func (b *builder) touches(zone fleet.ZoneID, touched map[fleet.ZoneID]bool) bool {
	return touched[zone] || !slices.ContainsFunc(b.reach.View().EntriesOf(zone), b.reach.Eligible)
}

func containsAny(candidates, changed []fleet.InstanceID) bool {
	for _, id := range changed {
		if slices.Contains(candidates, id) {
			return true
		}
	}
	return false
}
