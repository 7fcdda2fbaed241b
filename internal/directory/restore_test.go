package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestEvacuationAfterRestore guards against requests to a zone that the operators have taken out of service, because
// the copy from which the store was restored does not have the entry.
func TestEvacuationAfterRestore(t *testing.T) {
	evacuated := []Change{{Zone: "y"}}
	for name, test := range map[string]struct {
		later    func(d *Directory, now time.Time) // after the first list of the restored store
		at       time.Duration
		outAtEnd bool
	}{
		"not written again yet": {nil, evacuationGracePeriod - time.Millisecond, true},
		"never written again":   {nil, evacuationGracePeriod, false},
		"written again":         {func(d *Directory, now time.Time) { d.Apply(evacuated, now) }, evacuationGracePeriod, true},
		"ended by the operators": {func(d *Directory, now time.Time) {
			d.Apply([]Change{{Zone: "y", Deleted: true}}, now)
		}, time.Second, false},
		"listed again without it": {func(d *Directory, now time.Time) {
			d.Replace(nil, now)
		}, evacuationGracePeriod - time.Millisecond, true},
		"restored again": {func(d *Directory, now time.Time) {
			d.StoreRestored(now)
			d.Replace(nil, now)
		}, evacuationGracePeriod, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, now := New(), time.Now()
			d.Apply(evacuated, now)
			d.StoreRestored(now)
			until := now.Add(evacuationGracePeriod)
			is.Equal(d.Replace(nil, now), []Change{{Zone: "y", Deleted: true, RemoveAt: until}}) // peers keep it as long
			is.Equal(d.View().ZonesOutOfService, []fleet.ZoneID{"y"})
			next, _ := d.NextRemoval()
			is.Equal(next, until)
			if test.later != nil {
				test.later(d, now.Add(time.Second))
			}
			d.Expire(now.Add(test.at))
			is.Equal(len(d.View().ZonesOutOfService) == 1, test.outAtEnd)
			if _, pending := d.NextRemoval(); !test.outAtEnd {
				is.True(!pending)
			}
		})
	}
}

// TestRemovedReplicaListedAgain guards against requests to a replica that was removed and is listed again, because the
// store was restored from a copy or executed a write late. The replica had registered long before, and its entry had
// not changed since.
func TestRemovedReplicaListedAgain(t *testing.T) {
	for name, remove := range map[string]func(d *Directory, now time.Time){
		"entry removed": func(d *Directory, now time.Time) { d.Apply([]Change{removedReplica("a")}, now) },
		"removed at a peer": func(d *Directory, now time.Time) {
			d.ApplyDepartures([]Departure{{Replica: "a", StartedAt: 1, Removed: true}}, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, now := New(), time.Now()
			d.Apply([]Change{listed("a")}, now)
			now = now.Add(time.Hour)
			remove(d, now)
			is.Equal(usableIDs(d.View()), []fleet.ServerID{})
			now = now.Add(heartbeatRetention - time.Second)
			d.Expire(now)
			d.StoreRestored(now)
			d.Replace([]Change{listed("a")}, now)
			is.Equal(usableIDs(d.View()), []fleet.ServerID{})
			alive := newReplica("a")
			alive.Sequence++
			d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: alive}}, now)
			is.Equal(usableIDs(d.View()), []fleet.ServerID{"a"})
		})
	}
}

// TestExpiredReplicaRegistersAgain guards against a live replica that is not used for long because its registration,
// which was missing after a fault of the store, is written again with the heartbeat that is known. The store does not
// pass on later heartbeats that change nothing else.
func TestExpiredReplicaRegistersAgain(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	known := newReplica("a")
	known.Sequence = 7
	d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: known}}, now)
	d.StoreRestored(now)
	d.Replace(nil, now)
	now = now.Add(expiryGracePeriod)
	is.True(d.Expire(now))
	is.Equal(usableIDs(d.View()), []fleet.ServerID{})
	older := newReplica("a")
	older.Sequence = 6
	is.Equal(len(d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: older}}, now)), 0)
	d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: known}}, now)
	is.Equal(usableIDs(d.View()), []fleet.ServerID{"a"})
}
