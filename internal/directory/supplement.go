package directory

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Supplement adds what the snapshot of a peer has and the list of the store lacks, and returns the changes that had an
// effect. An instance that has just started knows only the list, and a store that was restored from a copy does not
// list what the operators, the replicas and the instances have not written again yet. former is set if the snapshot is
// from before the restore. What is added is removed again at the time at which the peer removes it or, if the peer did
// not expect the removal, as after a restore.
func (d *Directory) Supplement(snapshot []Change, former bool, now time.Time) []Change {
	pending := make(map[entryKey]time.Time)
	for i := range snapshot {
		if snapshot[i].Deleted {
			pending[snapshot[i].key()] = snapshot[i].RemoveAt
		}
	}
	var missing []Change
	for _, change := range snapshot {
		key := change.key()
		until, unlisted := pending[key]
		switch {
		case change.Table != nil || change.Assignment != nil:
			missing = append(missing, change)
		case change.Deleted || d.lists(key) || !unlisted && !former:
		default:
			if !unlisted {
				until = now.Add(change.gracePeriod())
			}
			missing = append(missing, change, Change{ReplicaID: key.replica, Zone: key.zone, InstanceID: key.instance, Deleted: true, RemoveAt: until})
		}
	}
	return d.Apply(missing, now)
}

// entryKey identifies the entry of a replica, a zone or an instance.
type entryKey struct {
	replica  fleet.ServerID
	zone     fleet.ZoneID
	instance fleet.InstanceID
}

func (c *Change) key() entryKey { return entryKey{c.ReplicaID, c.Zone, c.InstanceID} }

// gracePeriod returns how long the entry is kept after a restore of the store unless it is written again.
func (c *Change) gracePeriod() time.Duration {
	switch {
	case c.Zone != "":
		return evacuationGracePeriod
	case c.InstanceID != "":
		return instanceRetention
	}
	return expiryGracePeriod
}

// lists reports whether the entry is known here.
func (d *Directory) lists(key entryKey) bool {
	_, replica := d.replicas[key.replica]
	_, zone := d.zonesOutOfService[key.zone]
	_, instance := d.instances[key.instance]
	return replica || zone || instance
}
