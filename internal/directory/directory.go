// Package directory holds what one entry instance believes of the fleet: the configuration in force, the replicas of
// each service, the availability zones that are out and the other entry instances.
//
// A Directory is fed with changes in the order of the store's revisions by one goroutine and publishes immutable views.
// It decides how an entry that lapsed during an outage of the store is treated. It does no I/O.
package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// lapseGrace is how long an entry that lapsed is kept after the store has come back. A live replica registers again
// within about two seconds; longer than three seconds would go beyond the bound on leaving replicas.
const lapseGrace = 2500 * time.Millisecond

// Replica is one registered replica of a service. Values are immutable.
type Replica struct {
	ID      fleet.ServerID  `json:"id"`
	Service fleet.ServiceID `json:"service"`
	Zone    fleet.ZoneID    `json:"zone"`
	// Region is that of the zone; empty if the zone is not known.
	Region  fleet.RegionID `json:"region"`
	Address string         `json:"address"`
	// Slots is the number of requests that the replica processes at a time.
	Slots int `json:"slots"`
	// Draining replicas get no new request.
	Draining bool `json:"draining"`
	// ColdUntil is when the replica is warm, by its last word.
	ColdUntil time.Time `json:"cold-until"`
	// Born distinguishes the starts of a replica that keeps its id; Unix milliseconds.
	Born int64 `json:"born"`
	// Sequence rises with each heartbeat of one start.
	Sequence int64 `json:"sequence"`
}

// SameProcess tells whether two entries speak of the same start of the same replica.
func (r Replica) SameProcess(other Replica) bool {
	return r.ID == other.ID && r.Service == other.Service && r.Address == other.Address && r.Born == other.Born
}

// Instance is another entry instance, or this one.
type Instance struct {
	ID   fleet.InstanceID `json:"id"`
	Zone fleet.ZoneID     `json:"zone"`
	// Peers is the address, IP:port, on which it answers other instances; empty if it does not.
	Peers string `json:"peers"`
}

// Change is one change that the store reported. Exactly one of Table, Replica, Zone and Instance is set, or none where
// an entry cannot be used. Gone says that the key was deleted.
type Change struct {
	Table *routing.Table
	// Replica is the key of a registration; Entry is nil if it is gone or cannot be used.
	Replica fleet.ServerID
	Entry   *Replica
	// Zone is taken out, or back in with Gone.
	Zone fleet.ZoneID
	// Instance is the key of an instance's registration; Registered is nil if it is gone.
	Instance   fleet.InstanceID
	Registered *Instance
	Gone       bool
	// Lapses is when a replica that is gone is dropped, where its entry may have lapsed in an outage; zero for at once.
	Lapses time.Time
}

// View is what requests see. It is immutable.
type View struct {
	Table    *routing.Table
	Replicas map[fleet.ServiceID][]Replica
	ZonesOut []fleet.ZoneID
	// Instances are the entry instances registered now or until a short time ago.
	Instances []Instance
}

// Directory is the state behind the views. One goroutine uses it.
type Directory struct {
	table    *routing.Table
	replicas map[fleet.ServerID]Replica
	// lapsed are the replicas whose entry may have lapsed only because the store was away, until they are dropped.
	lapsed map[fleet.ServerID]time.Time
	// heartbeats are the last ones known, also of replicas that were removed a short time ago.
	heartbeats map[fleet.ServerID]heartbeat
	zonesOut   map[fleet.ZoneID]struct{}
	// instances and instancesGone are the registered instances, and when those whose entry is gone lost it.
	instances     map[fleet.InstanceID]Instance
	instancesGone map[fleet.InstanceID]time.Time
	// restored is when the store answered again after an outage.
	restored time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		replicas: make(map[fleet.ServerID]Replica),
		lapsed:   make(map[fleet.ServerID]time.Time),
		zonesOut: make(map[fleet.ZoneID]struct{}),

		heartbeats:    make(map[fleet.ServerID]heartbeat),
		instances:     make(map[fleet.InstanceID]Instance),
		instancesGone: make(map[fleet.InstanceID]time.Time),
	}
}

// Ready tells whether requests can be served at all.
func (d *Directory) Ready() bool { return d.table != nil }

// Table returns the configuration in force, or nil.
func (d *Directory) Table() *routing.Table { return d.table }

// Restored records that the store answers again after an outage.
func (d *Directory) Restored(now time.Time) { d.restored = now }

// Apply takes changes in the order of their revisions and returns those that alter something. Most changes are heartbeats
// that do not.
func (d *Directory) Apply(changes []Change, now time.Time) []Change {
	var altering []Change
	for i := range changes {
		if d.apply(&changes[i], now) {
			altering = append(altering, changes[i])
		}
	}
	return altering
}

func (d *Directory) apply(change *Change, now time.Time) bool {
	switch {
	case change.Table != nil:
		if d.table != nil && change.Table.Version() <= d.table.Version() {
			return false
		}
		d.table = change.Table
		return true
	case change.Zone != "":
		return d.setZone(change.Zone, !change.Gone)
	case change.Registered != nil:
		former, listed := d.instances[change.Instance]
		_, gone := d.instancesGone[change.Instance]
		d.instances[change.Instance] = *change.Registered
		delete(d.instancesGone, change.Instance)
		return !listed || gone || former != *change.Registered
	case change.Instance != "":
		return d.loseInstance(change.Instance, now)
	case change.Entry != nil && d.outdated(change.Entry, now):
		return false
	case change.Entry != nil:
		former, listed := d.replicas[change.Replica]
		_, lapsed := d.lapsed[change.Replica]
		d.replicas[change.Replica] = *change.Entry
		delete(d.lapsed, change.Replica)
		// Peers that saw the entry lapse must hear that it is back.
		return !listed || lapsed || !former.alike(*change.Entry)
	case change.Replica != "":
		return d.remove(change, now)
	}
	return false
}

// heartbeat is the last one known of a replica.
type heartbeat struct {
	born, sequence int64
	at             time.Time
}

// heartbeatMemory is how long the last heartbeat of a replica that is gone is known. The store may execute a write some
// seconds late.
const heartbeatMemory = 30 * time.Second

// outdated tells whether an entry is from before what is known of the replica, and remembers it otherwise. Such an entry
// was written late and would bring back a replica that leaves or is gone.
func (d *Directory) outdated(entry *Replica, now time.Time) bool {
	last, known := d.heartbeats[entry.ID]
	_, listed := d.replicas[entry.ID]
	switch {
	case !known || entry.Born > last.born:
	case entry.Born < last.born, entry.Sequence < last.sequence, entry.Sequence == last.sequence && !listed:
		return true
	}
	d.heartbeats[entry.ID] = heartbeat{entry.Born, entry.Sequence, now}
	return false
}

// loseInstance records that an instance's entry is gone. It counts for a while longer.
func (d *Directory) loseInstance(id fleet.InstanceID, now time.Time) bool {
	if _, listed := d.instances[id]; !listed {
		return false
	}
	if _, gone := d.instancesGone[id]; gone {
		return false
	}
	d.instancesGone[id] = now
	return true
}

func (d *Directory) setZone(zone fleet.ZoneID, out bool) bool {
	_, was := d.zonesOut[zone]
	if out {
		d.zonesOut[zone] = struct{}{}
	} else {
		delete(d.zonesOut, zone)
	}
	return was != out
}

// coldTolerance is the difference between two words on the end of the warm-up that is no change: heartbeats are late by
// some time.
const coldTolerance = 300 * time.Millisecond

// alike tells whether requests are treated the same by both entries.
func (r Replica) alike(other Replica) bool {
	apart := r.ColdUntil.Sub(other.ColdUntil).Abs()
	r.ColdUntil, r.Sequence = other.ColdUntil, other.Sequence
	return r == other && apart < coldTolerance
}

// remove drops a replica, or keeps it for a while where its entry may have lapsed only because the store was away. The
// change then says for how long, so that peers do the same.
func (d *Directory) remove(change *Change, now time.Time) bool {
	if _, known := d.replicas[change.Replica]; !known {
		return false
	}
	if until := d.restored.Add(lapseGrace); change.Lapses.IsZero() && now.Before(until) {
		change.Lapses = until
	}
	if now.Before(change.Lapses) {
		d.lapsed[change.Replica] = change.Lapses
		return true
	}
	delete(d.replicas, change.Replica)
	delete(d.lapsed, change.Replica)
	return true
}

// Replace takes a whole list of the store: what it does not name is gone. It returns the changes that alter something.
func (d *Directory) Replace(listed []Change, now time.Time) []Change {
	replicas := make(map[fleet.ServerID]struct{}, len(listed))
	zones := make(map[fleet.ZoneID]struct{})
	instances := make(map[fleet.InstanceID]struct{})
	for i := range listed {
		if listed[i].Entry != nil {
			replicas[listed[i].Replica] = struct{}{}
		}
		zones[listed[i].Zone] = struct{}{}
		instances[listed[i].Instance] = struct{}{}
	}
	changes := slices.Clone(listed)
	for _, zone := range slices.Sorted(maps.Keys(d.zonesOut)) {
		if _, ok := zones[zone]; !ok {
			changes = append(changes, Change{Zone: zone, Gone: true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		if _, ok := replicas[id]; !ok {
			changes = append(changes, Change{Replica: id, Gone: true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if _, ok := instances[id]; !ok {
			changes = append(changes, Change{Instance: id, Gone: true})
		}
	}
	return d.Apply(changes, now)
}

// All returns the whole state as changes, as a list of the store would.
func (d *Directory) All() []Change {
	var all []Change
	if d.table != nil {
		all = append(all, Change{Table: d.table})
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zonesOut)) {
		all = append(all, Change{Zone: zone})
	}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		entry := d.replicas[id]
		all = append(all, Change{Replica: id, Entry: &entry})
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if registered := d.instances[id]; d.instancesGone[id].IsZero() {
			all = append(all, Change{Instance: id, Registered: &registered})
		}
	}
	return all
}

// Present returns the instances whose entries are there now.
func (d *Directory) Present() []Instance {
	var present []Instance
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if _, gone := d.instancesGone[id]; !gone {
			present = append(present, d.instances[id])
		}
	}
	return present
}

// Replicas returns the number of registered replicas.
func (d *Directory) Replicas() int { return len(d.replicas) }

// instanceMemory is how long an instance whose entry is gone still counts. It may go on serving without the store, and
// a count that is too high only leaves shares of the bounds unused.
const instanceMemory = 15 * time.Second

// Expire drops the entries that were not renewed in time after an outage, and the instances that are gone for long. It
// tells whether the view is another one.
func (d *Directory) Expire(now time.Time) bool {
	for id, last := range d.heartbeats {
		if _, listed := d.replicas[id]; !listed && now.Sub(last.at) >= heartbeatMemory {
			delete(d.heartbeats, id)
		}
	}
	dropped := d.expireInstances(now)
	for id, until := range d.lapsed {
		if !now.Before(until) {
			delete(d.replicas, id)
			delete(d.lapsed, id)
			dropped = true
		}
	}
	return dropped
}

// NextExpiry returns when a lapsed entry is dropped next; false without one.
func (d *Directory) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, until := range d.lapsed {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next, !next.IsZero()
}

func (d *Directory) expireInstances(now time.Time) bool {
	dropped := false
	for id, gone := range d.instancesGone {
		if now.Sub(gone) >= instanceMemory {
			delete(d.instances, id)
			delete(d.instancesGone, id)
			dropped = true
		}
	}
	return dropped
}

// View returns what requests may use now: no draining replica and none in a zone that is out.
func (d *Directory) View() *View {
	v := &View{Table: d.table, Replicas: make(map[fleet.ServiceID][]Replica)}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		known := d.replicas[id]
		if _, out := d.zonesOut[known.Zone]; known.Draining || out {
			continue
		}
		v.Replicas[known.Service] = append(v.Replicas[known.Service], known)
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		v.Instances = append(v.Instances, d.instances[id])
	}
	v.ZonesOut = slices.Sorted(maps.Keys(d.zonesOut))
	return v
}
