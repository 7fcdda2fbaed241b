package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

func newReplica(id fleet.ServerID) *Replica {
	return &Replica{ID: id, Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 2, StartedAt: 1}
}

func listed(id fleet.ServerID) Change {
	return Change{ReplicaID: id, RegisteredReplica: newReplica(id)}
}

func removedReplica(id fleet.ServerID) Change { return Change{ReplicaID: id, Deleted: true} }

func configuration(number uint64) Change {
	return Change{Table: routing.New(number, nil, nil, routing.Limits{}, nil)}
}

func usableIDs(v *View) []fleet.ServerID {
	all := []fleet.ServerID{}
	for _, replica := range v.Replicas["s"] {
		all = append(all, replica.ID)
	}
	return all
}

// TestViewUsableReplicas guards against requests to replicas that are draining, were removed, have an unusable entry or
// are in a zone that is out of service.
func TestViewUsableReplicas(t *testing.T) {
	draining := newReplica("a")
	draining.Draining = true
	later := newReplica("a")
	later.Sequence++
	for name, test := range map[string]struct {
		changes []Change
		usable  []fleet.ServerID
	}{
		"listed":          {[]Change{listed("a"), listed("b")}, []fleet.ServerID{"a", "b"}},
		"draining":        {[]Change{listed("a"), listed("b"), {ReplicaID: "a", RegisteredReplica: draining}}, []fleet.ServerID{"b"}},
		"gone":            {[]Change{listed("a"), listed("b"), removedReplica("a")}, []fleet.ServerID{"b"}},
		"unusable":        {[]Change{listed("a"), listed("b"), {ReplicaID: "a"}}, []fleet.ServerID{"b"}},
		"back after gone": {[]Change{listed("a"), removedReplica("a"), {ReplicaID: "a", RegisteredReplica: later}}, []fleet.ServerID{"a"}},
		"zone out":        {[]Change{listed("a"), {Zone: "z"}}, []fleet.ServerID{}},
		"zone back":       {[]Change{listed("a"), {Zone: "z"}, {Zone: "z", Deleted: true}}, []fleet.ServerID{"a"}},
		"another zone":    {[]Change{listed("a"), {Zone: "y"}}, []fleet.ServerID{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Apply(test.changes, time.Now())
			is.New(t).Equal(usableIDs(d.View()), test.usable)
		})
	}
}

// TestOlderConfigurationIgnored guards against a return to an older configuration that arrives in a late list or from a
// peer that is behind.
func TestOlderConfigurationIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	is.Equal(len(d.Apply([]Change{configuration(7), configuration(5)}, time.Now())), 1)
	d.Replace([]Change{configuration(6)}, time.Now())
	is.Equal(d.Table().Version(), uint64(7))
}

// TestRegistrationExpiryDuringOutage guards against live replicas that are removed because their registrations expired
// during an outage of the store, and against a dead one that is kept for longer than the grace period.
func TestRegistrationExpiryDuringOutage(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{listed("a"), listed("b")}, now)
	d.StoreRecovered(now)
	d.Replace(nil, now)
	is.Equal(usableIDs(d.View()), []fleet.ServerID{"a", "b"})
	back := newReplica("a")
	back.Sequence++
	d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: back}}, now.Add(time.Second))
	is.True(!d.Expire(now.Add(expiryGracePeriod - time.Millisecond)))
	until, waiting := d.NextRemoval()
	is.True(waiting)
	is.Equal(until, now.Add(expiryGracePeriod))
	is.True(d.Expire(now.Add(expiryGracePeriod)))
	is.Equal(usableIDs(d.View()), []fleet.ServerID{"a"})
	d.Apply([]Change{removedReplica("a")}, now.Add(expiryGracePeriod))
	is.Equal(usableIDs(d.View()), []fleet.ServerID{})
}

// TestHeartbeatsDoNotChangeView guards against a new view, and an update to every peer, at each heartbeat.
func TestHeartbeatsDoNotChangeView(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	cold := newReplica("a")
	cold.ColdUntil = now.Add(3 * time.Second)
	is.Equal(len(d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: cold}}, now)), 1)
	late := *cold
	late.ColdUntil = cold.ColdUntil.Add(warmUpTolerance / 2)
	is.Equal(len(d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: &late}}, now)), 0)
	again := *cold
	again.ColdUntil = cold.ColdUntil.Add(3 * time.Second)
	is.Equal(len(d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: &again}}, now)), 1)
	restarted := again
	restarted.StartedAt++
	is.Equal(len(d.Apply([]Change{{ReplicaID: "a", RegisteredReplica: &restarted}}, now)), 1)
}

// TestReplace guards against zones, replicas and instances that stay in force after a full list no longer contains
// them.
func TestReplace(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{listed("a"), listed("b"), {Zone: "y"}, {InstanceID: "i", RegisteredInstance: &Instance{ID: "i"}}}, now)
	changes := d.Replace([]Change{listed("b")}, now)
	is.Equal(changes, []Change{{Zone: "y", Deleted: true}, removedReplica("a"), {InstanceID: "i", Deleted: true}})
	is.Equal(usableIDs(d.View()), []fleet.ServerID{"b"})
	is.Equal(len(d.RegisteredInstances()), 0)
}

// TestGoneInstancesRetained guards against global bounds that are divided among too few instances: an instance that
// lost its registration may go on serving.
func TestGoneInstancesRetained(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{{InstanceID: "i", RegisteredInstance: &Instance{ID: "i"}}, {InstanceID: "i", Deleted: true}}, now)
	is.Equal(len(d.View().Instances), 1)
	is.True(!d.Expire(now.Add(instanceRetention - time.Millisecond)))
	is.True(d.Expire(now.Add(instanceRetention)))
	is.Equal(len(d.View().Instances), 0)
}

// TestSnapshot guards against a snapshot that gives another instance a different view.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	d, other, now := New(), New(), time.Now()
	d.Apply([]Change{configuration(3), listed("a"), {Zone: "y"}, {InstanceID: "i", RegisteredInstance: &Instance{ID: "i"}}}, now)
	other.Apply([]Change{listed("stale"), {Zone: "x"}}, now)
	other.Replace(d.Snapshot(), now)
	is.Equal(other.View(), d.View())
}

// TestLateHeartbeats guards against a heartbeat that the store executed late and that brings back a replica that is
// draining or was removed. Requests then reached the replica for longer than allowed (guaman-latch-grown, seed
// 970211026331).
func TestLateHeartbeats(t *testing.T) {
	beat := func(startedAt, sequence int64, draining bool) Change {
		entry := newReplica("a")
		entry.StartedAt, entry.Sequence, entry.Draining = startedAt, sequence, draining
		return Change{ReplicaID: "a", RegisteredReplica: entry}
	}
	for name, test := range map[string]struct {
		changes []Change
		usable  []fleet.ServerID
	}{
		"late before leaving":    {[]Change{beat(1, 5, false), beat(1, 7, true), beat(1, 6, false)}, []fleet.ServerID{}},
		"late after its end":     {[]Change{beat(1, 5, false), removedReplica("a"), beat(1, 4, false)}, []fleet.ServerID{}},
		"of an earlier process":  {[]Change{beat(2, 1, true), beat(1, 90, false)}, []fleet.ServerID{}},
		"of a new process":       {[]Change{beat(1, 90, true), beat(2, 1, false)}, []fleet.ServerID{"a"}},
		"back after expiry":      {[]Change{beat(1, 5, false), removedReplica("a"), beat(1, 6, false)}, []fleet.ServerID{"a"}},
		"the same once more":     {[]Change{beat(1, 5, false), beat(1, 5, false)}, []fleet.ServerID{"a"}},
		"no longer leaving":      {[]Change{beat(1, 5, true), beat(1, 6, false)}, []fleet.ServerID{"a"}},
		"listed again, the same": {[]Change{beat(1, 5, false), removedReplica("a"), beat(1, 5, false)}, []fleet.ServerID{}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Apply(test.changes, time.Now())
			is.New(t).Equal(usableIDs(d.View()), test.usable)
		})
	}
}
