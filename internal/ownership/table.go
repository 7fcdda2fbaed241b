package ownership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// ServiceLimits returns the number of slots and connections of one replica of a service; zeros if the catalogue does
// not list the service.
type ServiceLimits func(service fleet.ServiceID) (slots, connections int)

// Table holds the owner of each server and what this instance may use of it. It is immutable and safe for concurrent
// use.
type Table struct {
	records fleet.PersistentMap[fleet.ServerID, record]
	// zones holds the zone of each entry instance when the table was computed. If an instance moves to another zone or
	// is removed, the servers of its previous zone must be recomputed as well.
	zones fleet.PersistentMap[fleet.InstanceID, fleet.ZoneID]
	// rankings caches the eligible entry instances of each zone, so that a change of a server does not hash them again.
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
func NewTable(reach *fleet.Reachability, limits ServiceLimits) *Table {
	b := newBuilder(&Table{}, reach, limits)
	for _, entry := range reach.View().Entries() {
		b.zones.Set(entry.ID, entry.Zone)
	}
	for _, zone := range reach.View().Zones() {
		for _, id := range reach.View().ServersIn(zone) {
			b.recompute(id)
		}
	}
	return b.build()
}

// With returns the table after a change. It recomputes only the servers that the change can affect: the changed
// servers, the servers of changed services, and the servers for which a changed entry instance is a candidate or
// becomes one.
func (t *Table) With(reach *fleet.Reachability, change fleet.Change, limits ServiceLimits) *Table {
	if change.Empty() {
		return t
	}
	b := newBuilder(t, reach, limits)
	if len(change.Entries) > 0 {
		b.recomputeForEntries(change.Entries)
	}
	for _, id := range change.Servers {
		b.recompute(id)
	}
	for _, service := range change.Services {
		for _, id := range reach.View().ServersOf(service) {
			b.recompute(id)
		}
	}
	return b.build()
}

// Owner returns the entry instance that parts for the server are sent to. It reports false if the server has no owner.
func (t *Table) Owner(server fleet.ServerID) (fleet.InstanceID, bool) {
	r := t.records.Get(server)
	if r == nil || r.owner == "" {
		return "", false
	}
	return r.owner, true
}

// Claim returns the number of slots and connections of the server that this instance may use. It reports false if the
// instance may not send to the server now.
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

// builder computes a table from an earlier one and writes only the records that differ.
type builder struct {
	reach    *fleet.Reachability
	limits   ServiceLimits
	records  *fleet.MapEdit[fleet.ServerID, record]
	zones    *fleet.MapEdit[fleet.InstanceID, fleet.ZoneID]
	rankings map[fleet.ZoneID]ranking
}

func newBuilder(from *Table, reach *fleet.Reachability, limits ServiceLimits) *builder {
	b := &builder{
		reach: reach, limits: limits, records: from.records.Edit(), zones: from.zones.Edit(),
		rankings: maps.Clone(from.rankings),
	}
	if b.rankings == nil {
		b.rankings = make(map[fleet.ZoneID]ranking)
	}
	return b
}

func (b *builder) build() *Table {
	return &Table{records: b.records.Map(), zones: b.zones.Map(), rankings: b.rankings}
}

func (b *builder) ranking(zone fleet.ZoneID, region fleet.RegionID) ranking {
	known, ok := b.rankings[zone]
	if !ok {
		known = newRanking(b.reach, zone, region)
		b.rankings[zone] = known
	}
	return known
}

// recompute computes the record of one server, or deletes it if the server is no longer in the view.
func (b *builder) recompute(id fleet.ServerID) {
	server, ok := b.reach.View().Server(id)
	if !ok {
		b.records.Delete(id)
		return
	}
	b.setRecord(server, b.ranking(server.Zone, server.Region).topCandidates(id))
}

func (b *builder) setRecord(server fleet.Server, candidates [MaxCandidates]fleet.InstanceID) {
	next := record{candidates: candidates}
	decision := Decide(b.reach, candidates[:])
	next.owner = decision.Owner
	if decision.Claimed {
		slots, connections := b.limits(server.Service)
		next.slots = int32(Share(slots, decision.Unreachable+1, decision.UnreachableBefore))
		next.connections = int32(Share(connections, decision.Unreachable+1, decision.UnreachableBefore))
		next.claimed = next.slots > 0 && next.connections > 0
	}
	if known := b.records.Get(server.ID); known == nil || *known != next {
		b.records.Set(server.ID, next)
	}
}

// recomputeForEntries recomputes the servers for which a changed entry instance is a candidate or becomes one.
func (b *builder) recomputeForEntries(changed []fleet.InstanceID) {
	hashes := make([]uint64, len(changed))
	for i, id := range changed {
		hashes[i] = xxhash.Sum64String(string(id))
	}
	affectedZones := b.updateZones(changed)
	for zone := range b.rankings {
		if b.rankingMayChange(zone, affectedZones) {
			delete(b.rankings, zone)
		}
	}
	for _, zone := range b.reach.View().Zones() {
		servers := b.reach.View().ServersIn(zone)
		if len(servers) == 0 || !b.rankingMayChange(zone, affectedZones) {
			continue
		}
		recomputeAll := b.fallbackMayChange(zone, changed)
		for _, id := range servers {
			if known := b.records.Get(id); recomputeAll || known == nil || b.affectsCandidates(known, id, changed, hashes) {
				b.recompute(id)
			}
		}
	}
}

// fallbackMayChange reports whether the zone has no eligible entry instance of its own other than changed ones. The
// candidates of its servers may then change between those of the zone and those of its region.
func (b *builder) fallbackMayChange(zone fleet.ZoneID, changed []fleet.InstanceID) bool {
	return !slices.ContainsFunc(b.reach.View().EntriesOf(zone), func(id fleet.InstanceID) bool {
		return b.reach.Eligible(id) && !slices.Contains(changed, id)
	})
}

// affectsCandidates reports whether a changed entry instance is a candidate of the server or has a higher rendezvous
// weight than its last candidate.
func (b *builder) affectsCandidates(known *record, server fleet.ServerID, changed []fleet.InstanceID, hashes []uint64) bool {
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

// updateZones records the zones of the changed entry instances and returns their previous and new zones.
func (b *builder) updateZones(changed []fleet.InstanceID) map[fleet.ZoneID]bool {
	affected := make(map[fleet.ZoneID]bool)
	for _, id := range changed {
		if previous := b.zones.Get(id); previous != nil {
			affected[*previous] = true
		}
		if entry, ok := b.reach.View().Entry(id); ok {
			affected[entry.Zone] = true
			b.zones.Set(id, entry.Zone)
		} else {
			b.zones.Delete(id)
		}
	}
	return affected
}

// rankingMayChange reports whether the ranking of the zone may differ. A zone without an eligible entry instance of its
// own depends on its whole region.
func (b *builder) rankingMayChange(zone fleet.ZoneID, affectedZones map[fleet.ZoneID]bool) bool {
	return affectedZones[zone] || !slices.ContainsFunc(b.reach.View().EntriesOf(zone), b.reach.Eligible)
}

func containsAny(candidates, changed []fleet.InstanceID) bool {
	for _, id := range changed {
		if slices.Contains(candidates, id) {
			return true
		}
	}
	return false
}
