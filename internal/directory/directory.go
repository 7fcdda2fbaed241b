// Package directory holds one entry instance's knowledge of the fleet: the configuration in force, the replicas of each
// service, the availability zones that are out of service and the registered entry instances. The entry of a replica or
// an instance in the store is its registration.
//
// A Directory is fed with changes in the order of the store's revisions and returns immutable views. It decides how
// long a replica stays in use whose registration expired during an outage of the store. It does no I/O.
package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// Replica is one registered replica of a service. Values are immutable.
type Replica struct {
	ID      fleet.ServerID  `json:"id"`
	Service fleet.ServiceID `json:"service"`
	Zone    fleet.ZoneID    `json:"zone"`
	// Region is the region of Zone; empty if it is not known.
	Region  fleet.RegionID `json:"region"`
	Address string         `json:"address"`
	// Version is the version of the replica's software; empty if it is not known.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the replica processes at a time.
	Slots int `json:"slots"`
	// Draining is set if the replica must not get new requests.
	Draining bool `json:"draining"`
	// ColdUntil is the end of the warm-up as of the last heartbeat.
	ColdUntil time.Time `json:"cold-until"`
	// StartedAt is the start time of the replica in Unix milliseconds; it tells apart the starts of a replica that
	// keeps its ID.
	StartedAt int64 `json:"born"`
	// Sequence increases with each heartbeat since the start of the replica.
	Sequence int64 `json:"sequence"`
}

// SameProcess reports whether both entries are from the same start of the same replica.
func (r Replica) SameProcess(other Replica) bool {
	return r.ID == other.ID && r.Service == other.Service && r.Address == other.Address && r.StartedAt == other.StartedAt
}

// Instance is a registered entry instance, which may be this one.
type Instance struct {
	ID   fleet.InstanceID `json:"id"`
	Zone fleet.ZoneID     `json:"zone"`
	// PeerAddress is the address, IP:port, on which the instance serves its peers; empty if it does not serve them.
	PeerAddress string `json:"peers"`
	// Lease is the number of the store's lease under which the instance is registered; 0 if it is not known.
	Lease uint64 `json:"lease,omitempty"`
}

// Change is the change of one key in the store. Exactly one of Table, Assignment, ReplicaID, Zone, InstanceID,
// RollOutOf and StatusOf is set, or none if the value of the key cannot be used.
type Change struct {
	Table *routing.Table
	// UnusableTable is set if the store has a newer configuration that this instance cannot use.
	UnusableTable bool
	Assignment    *Assignment
	// ReplicaID is the ID of a replica. RegisteredReplica is its entry in the store; nil if the key was deleted or the
	// value cannot be used.
	ReplicaID         fleet.ServerID
	RegisteredReplica *Replica
	Zone              fleet.ZoneID // goes out of service, or comes back if the key was deleted
	// InstanceID is the ID of an instance. RegisteredInstance is its entry in the store; nil if the key was deleted or
	// the value cannot be used.
	InstanceID         fleet.InstanceID
	RegisteredInstance *Instance
	// RollOutOf is the service of an order. RollOut is the order; nil if the key was deleted or the value cannot be used.
	RollOutOf fleet.ServiceID
	RollOut   *RollOut
	// StatusOf is the service of a roll-out's status. RollOutStatus is the status; nil if the key was deleted or the value
	// cannot be used.
	StatusOf      fleet.ServiceID
	RollOutStatus *RollOutStatus
	Deleted       bool // the key was deleted
	// RemoveAt is when a deletion takes effect that may be due to a fault of the store: a registration that expired
	// during an outage, or an entry that a restored copy does not contain. Zero means at once.
	RemoveAt time.Time
}

// View is what requests use to choose replicas. It is immutable.
type View struct {
	Table             *routing.Table
	Replicas          map[fleet.ServiceID][]Replica // those that may get new requests
	ZonesOutOfService []fleet.ZoneID
	// Instances are the entry instances that are registered, or were until less than instanceRetention ago.
	Instances []Instance
	// Assignment is the latest known one; nil if none is known. It is immutable.
	Assignment *Assignment
	// Unregistered holds those of Instances that are not registered any more.
	Unregistered []fleet.InstanceID
	RollOuts     []ServiceRollOut
}

// Directory is the state from which views are made. It is not safe for concurrent use.
type Directory struct {
	table      *routing.Table
	assignment *Assignment
	replicas   map[fleet.ServerID]Replica
	// pendingRemoval holds the replicas whose registration may have expired only because the store was unreachable,
	// each with the time at which it is removed.
	pendingRemoval map[fleet.ServerID]time.Time
	// heartbeats holds the last known heartbeat of each replica, including replicas that were removed a short time ago.
	heartbeats        map[fleet.ServerID]heartbeat
	zonesOutOfService map[fleet.ZoneID]struct{}
	// pendingReturn holds the zones out of service whose entries a restored store lacks, each with the time at which it
	// is back in service unless the operators write the entry again.
	pendingReturn map[fleet.ZoneID]time.Time
	// instances holds the instances that are registered, or were until a short time ago; unregisteredSince holds when
	// the latter lost their registration.
	instances         map[fleet.InstanceID]Instance
	unregisteredSince map[fleet.InstanceID]time.Time
	// rollOuts and rollOutStatus hold the orders of roll-outs and the status that the store has of them.
	rollOuts      map[fleet.ServiceID]RollOut
	rollOutStatus map[fleet.ServiceID]RollOutStatus
	// registrationsLostAt is when the store answered again after the last outage or restore in which registrations of
	// live replicas may have been lost. storeRestoredAt is when it answered again after the last restore from a copy.
	registrationsLostAt, storeRestoredAt time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		replicas:          make(map[fleet.ServerID]Replica),
		pendingRemoval:    make(map[fleet.ServerID]time.Time),
		zonesOutOfService: make(map[fleet.ZoneID]struct{}),
		pendingReturn:     make(map[fleet.ZoneID]time.Time),

		heartbeats:        make(map[fleet.ServerID]heartbeat),
		instances:         make(map[fleet.InstanceID]Instance),
		unregisteredSince: make(map[fleet.InstanceID]time.Time),
		rollOuts:          make(map[fleet.ServiceID]RollOut),
		rollOutStatus:     make(map[fleet.ServiceID]RollOutStatus),
	}
}

// Ready reports whether a configuration is known, without which no request can be served.
func (d *Directory) Ready() bool { return d.table != nil }

// Table returns the configuration in force; nil if none is known.
func (d *Directory) Table() *routing.Table { return d.table }

// StoreRecovered records that the store answers again after an outage in which registrations may have expired.
func (d *Directory) StoreRecovered(now time.Time) { d.registrationsLostAt = now }

// StoreRestored records that the store has been restored from a copy and has lost its latest changes, so that entries of
// live replicas and of the operators are missing until they are written again.
func (d *Directory) StoreRestored(now time.Time) { d.registrationsLostAt, d.storeRestoredAt = now, now }

// Apply applies changes, which come in the order of their revisions, and returns those that had an effect. Most changes
// are heartbeats, which have none.
func (d *Directory) Apply(changes []Change, now time.Time) []Change {
	var effective []Change
	for i := range changes {
		if d.apply(&changes[i], now) {
			effective = append(effective, changes[i])
		}
	}
	return effective
}

func (d *Directory) apply(change *Change, now time.Time) bool {
	switch {
	case change.Table != nil:
		if d.table != nil && change.Table.Version() <= d.table.Version() {
			return false
		}
		d.table = change.Table
		return true
	case change.Assignment != nil:
		// A store that was restored from a copy may have a former one, or none.
		if d.assignment != nil && change.Assignment.Epoch <= d.assignment.Epoch {
			return false
		}
		d.assignment = change.Assignment
		return true
	case change.Zone != "":
		return d.setOutOfService(change, now)
	case change.RollOutOf != "":
		return d.setRollOut(change, now)
	case change.StatusOf != "":
		return d.setRollOutStatus(change)
	case change.RegisteredInstance != nil:
		previous, listed := d.instances[change.InstanceID]
		_, gone := d.unregisteredSince[change.InstanceID]
		d.instances[change.InstanceID] = *change.RegisteredInstance
		delete(d.unregisteredSince, change.InstanceID)
		return !listed || gone || previous != *change.RegisteredInstance
	case change.InstanceID != "":
		return d.markUnregistered(change, now)
	case change.RegisteredReplica != nil && d.outdated(change.RegisteredReplica, now):
		return false
	case change.RegisteredReplica != nil:
		previous, listed := d.replicas[change.ReplicaID]
		_, expiring := d.pendingRemoval[change.ReplicaID]
		d.replicas[change.ReplicaID] = *change.RegisteredReplica
		delete(d.pendingRemoval, change.ReplicaID)
		// Peers that were told of the removal must learn that the replica is registered again.
		return !listed || expiring || !previous.equivalent(*change.RegisteredReplica)
	case change.ReplicaID != "":
		return d.remove(change, now)
	}
	return false
}

// markUnregistered records that an instance is no longer registered. The instance stays in the view until
// change.RemoveAt or, if that is zero, for instanceRetention. It reports whether the instance was still registered.
func (d *Directory) markUnregistered(change *Change, now time.Time) bool {
	id := change.InstanceID
	if _, listed := d.instances[id]; !listed {
		return false
	}
	if _, gone := d.unregisteredSince[id]; gone {
		return false
	}
	d.unregisteredSince[id] = now
	if !change.RemoveAt.IsZero() {
		d.unregisteredSince[id] = change.RemoveAt.Add(-instanceRetention)
	}
	return true
}

// setOutOfService records that a zone is out of service or, if the entry was deleted, back in service at
// change.RemoveAt. It reports whether anything changed.
func (d *Directory) setOutOfService(change *Change, now time.Time) bool {
	_, was := d.zonesOutOfService[change.Zone]
	pending := d.pendingReturn[change.Zone]
	switch {
	case !change.Deleted:
		d.zonesOutOfService[change.Zone] = struct{}{}
		delete(d.pendingReturn, change.Zone)
		return !was || !pending.IsZero()
	case was && now.Before(change.RemoveAt):
		d.pendingReturn[change.Zone] = change.RemoveAt
		return !pending.Equal(change.RemoveAt)
	}
	delete(d.zonesOutOfService, change.Zone)
	delete(d.pendingReturn, change.Zone)
	return was
}

// evacuationGracePeriod is how long after a restore of the store from a copy a zone stays out of service whose entry the
// copy lacks. The operators write their entries again; requests to a zone that they have taken out do more harm than a
// zone that is used again some seconds late.
const evacuationGracePeriod = 10 * time.Second

// Replace applies a full list of the store: what the list does not contain is removed, zones that are out of service
// only at the end of evacuationGracePeriod if the store has been restored from a copy. It returns the changes that had
// an effect.
func (d *Directory) Replace(listed []Change, now time.Time) []Change {
	replicas := make(map[fleet.ServerID]struct{}, len(listed))
	zones := make(map[fleet.ZoneID]struct{})
	instances := make(map[fleet.InstanceID]struct{})
	for i := range listed {
		if listed[i].RegisteredReplica != nil {
			replicas[listed[i].ReplicaID] = struct{}{}
		}
		zones[listed[i].Zone] = struct{}{}
		instances[listed[i].InstanceID] = struct{}{}
	}
	changes := slices.Clone(listed)
	for _, zone := range slices.Sorted(maps.Keys(d.zonesOutOfService)) {
		if _, ok := zones[zone]; !ok {
			change := Change{Zone: zone, Deleted: true}
			if until := d.storeRestoredAt.Add(evacuationGracePeriod); now.Before(until) {
				change.RemoveAt = until
			}
			changes = append(changes, change)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		if _, ok := replicas[id]; !ok {
			changes = append(changes, Change{ReplicaID: id, Deleted: true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if _, ok := instances[id]; !ok {
			changes = append(changes, Change{InstanceID: id, Deleted: true})
		}
	}
	return d.Apply(append(changes, d.missingRollOuts(listed)...), now)
}

// Snapshot returns the whole state as changes, in the form of a full list of the store. An entry that is kept although
// the store does not have it is followed by its deletion with the time at which that takes effect.
func (d *Directory) Snapshot() []Change {
	var all []Change
	if d.table != nil {
		all = append(all, Change{Table: d.table})
	}
	if d.assignment != nil {
		all = append(all, Change{Assignment: d.assignment})
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zonesOutOfService)) {
		all = append(all, Change{Zone: zone})
		if until, pending := d.pendingReturn[zone]; pending {
			all = append(all, Change{Zone: zone, Deleted: true, RemoveAt: until})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		entry := d.replicas[id]
		all = append(all, Change{ReplicaID: id, RegisteredReplica: &entry})
		if until, pending := d.pendingRemoval[id]; pending {
			all = append(all, Change{ReplicaID: id, Deleted: true, RemoveAt: until})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		registered := d.instances[id]
		all = append(all, Change{InstanceID: id, RegisteredInstance: &registered})
		if since, gone := d.unregisteredSince[id]; gone {
			all = append(all, Change{InstanceID: id, Deleted: true, RemoveAt: since.Add(instanceRetention)})
		}
	}
	return append(all, d.rollOutSnapshot()...)
}

// RegisteredInstances returns the instances whose registration is in the store now.
func (d *Directory) RegisteredInstances() []Instance {
	var present []Instance
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if _, gone := d.unregisteredSince[id]; !gone {
			present = append(present, d.instances[id])
		}
	}
	return present
}

// RegisteredInstance returns the registration of an instance that is in the store now; false if there is none.
func (d *Directory) RegisteredInstance(id fleet.InstanceID) (Instance, bool) {
	if _, gone := d.unregisteredSince[id]; gone {
		return Instance{}, false
	}
	registered, listed := d.instances[id]
	return registered, listed
}

// ReplicaCount returns the number of known replicas, including those that are draining or about to be removed.
func (d *Directory) ReplicaCount() int { return len(d.replicas) }

// View returns what requests may use now: the replicas that are not draining and not in a zone that is out of service.
func (d *Directory) View() *View {
	v := &View{Table: d.table, Assignment: d.assignment, Replicas: make(map[fleet.ServiceID][]Replica)}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		known := d.replicas[id]
		if _, out := d.zonesOutOfService[known.Zone]; known.Draining || out {
			continue
		}
		v.Replicas[known.Service] = append(v.Replicas[known.Service], known)
	}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		v.Instances = append(v.Instances, d.instances[id])
	}
	v.ZonesOutOfService = slices.Sorted(maps.Keys(d.zonesOutOfService))
	v.Unregistered = slices.Sorted(maps.Keys(d.unregisteredSince))
	v.RollOuts = d.serviceRollOuts()
	return v
}
