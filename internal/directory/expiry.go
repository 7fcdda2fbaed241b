package directory

import "time"

// expiryGracePeriod is how long a replica whose registration expired is kept after the store has come back from an
// outage. A live replica registers again within about 2 s; a grace period over 3 s would exceed the time within which a
// departed replica must be out of use.
const expiryGracePeriod = 2500 * time.Millisecond

// instanceRetention is how long an instance that is no longer registered still counts. It may go on serving without the
// store. Each instance gets a share of the global bounds; a count that is too high only leaves some shares unused.
const instanceRetention = 15 * time.Second

// Expire removes the replicas whose RemoveAt has come and the instances that lost their registration instanceRetention
// ago, and returns zones to service whose RemoveAt has come. It reports whether the view changed.
func (d *Directory) Expire(now time.Time) bool {
	for id, last := range d.heartbeats {
		if _, listed := d.replicas[id]; !listed && now.Sub(last.receivedAt) >= heartbeatRetention {
			delete(d.heartbeats, id)
		}
	}
	dropped := d.expireInstances(now)
	for id, until := range d.pendingRemoval {
		if !now.Before(until) {
			d.dropReplica(id, true, now)
			dropped = true
		}
	}
	for zone, until := range d.pendingReturn {
		if !now.Before(until) {
			delete(d.zonesOutOfService, zone)
			delete(d.pendingReturn, zone)
			dropped = true
		}
	}
	return dropped
}

// NextRemoval returns when the next deletion that is pending takes effect; false if there is none.
func (d *Directory) NextRemoval() (time.Time, bool) {
	var next time.Time
	for _, until := range d.pendingRemoval {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for _, until := range d.pendingReturn {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next, !next.IsZero()
}

func (d *Directory) expireInstances(now time.Time) bool {
	dropped := false
	for id, gone := range d.unregisteredSince {
		if now.Sub(gone) >= instanceRetention {
			delete(d.instances, id)
			delete(d.unregisteredSince, id)
			dropped = true
		}
	}
	return dropped
}
