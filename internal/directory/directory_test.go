package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

func entryOf(id fleet.ServerID) *Replica {
	return &Replica{ID: id, Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 2, Born: 1}
}

func listed(id fleet.ServerID) Change { return Change{Replica: id, Entry: entryOf(id)} }

func gone(id fleet.ServerID) Change { return Change{Replica: id, Gone: true} }

func version(number uint64) Change {
	return Change{Table: routing.New(number, nil, nil, routing.Limits{}, nil)}
}

func ids(v *View) []fleet.ServerID {
	all := []fleet.ServerID{}
	for _, replica := range v.Replicas["s"] {
		all = append(all, replica.ID)
	}
	return all
}

// TestUsable guards against requests to replicas that leave, are gone, have an unusable entry or are in a zone that is
// out.
func TestUsable(t *testing.T) {
	draining := entryOf("a")
	draining.Draining = true
	later := entryOf("a")
	later.Sequence++
	for name, test := range map[string]struct {
		changes []Change
		usable  []fleet.ServerID
	}{
		"listed":          {[]Change{listed("a"), listed("b")}, []fleet.ServerID{"a", "b"}},
		"draining":        {[]Change{listed("a"), listed("b"), {Replica: "a", Entry: draining}}, []fleet.ServerID{"b"}},
		"gone":            {[]Change{listed("a"), listed("b"), gone("a")}, []fleet.ServerID{"b"}},
		"unusable":        {[]Change{listed("a"), listed("b"), {Replica: "a"}}, []fleet.ServerID{"b"}},
		"back after gone": {[]Change{listed("a"), gone("a"), {Replica: "a", Entry: later}}, []fleet.ServerID{"a"}},
		"zone out":        {[]Change{listed("a"), {Zone: "z"}}, []fleet.ServerID{}},
		"zone back":       {[]Change{listed("a"), {Zone: "z"}, {Zone: "z", Gone: true}}, []fleet.ServerID{"a"}},
		"another zone":    {[]Change{listed("a"), {Zone: "y"}}, []fleet.ServerID{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Apply(test.changes, time.Now())
			is.New(t).Equal(ids(d.View()), test.usable)
		})
	}
}

// TestVersionNeverGoesBack guards against a configuration that reverts, by a late list or by a peer that is behind.
func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	d := New()
	is.Equal(len(d.Apply([]Change{version(7), version(5)}, time.Now())), 1)
	d.Replace([]Change{version(6)}, time.Now())
	is.Equal(d.Table().Version(), uint64(7))
}

// TestLapse guards against replicas that are dropped because their entries lapsed in an outage of the store, and against
// one that is kept for longer than it may.
func TestLapse(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{listed("a"), listed("b")}, now)
	d.Restored(now)
	d.Replace(nil, now)
	is.Equal(ids(d.View()), []fleet.ServerID{"a", "b"})
	back := entryOf("a")
	back.Sequence++
	d.Apply([]Change{{Replica: "a", Entry: back}}, now.Add(time.Second))
	is.True(!d.Expire(now.Add(lapseGrace - time.Millisecond)))
	until, waiting := d.NextExpiry()
	is.True(waiting)
	is.Equal(until, now.Add(lapseGrace))
	is.True(d.Expire(now.Add(lapseGrace)))
	is.Equal(ids(d.View()), []fleet.ServerID{"a"})
	d.Apply([]Change{gone("a")}, now.Add(lapseGrace))
	is.Equal(ids(d.View()), []fleet.ServerID{})
}

// TestHeartbeatsAlterNothing guards against a new view, and news to every peer, at each heartbeat.
func TestHeartbeatsAlterNothing(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	cold := entryOf("a")
	cold.ColdUntil = now.Add(3 * time.Second)
	is.Equal(len(d.Apply([]Change{{Replica: "a", Entry: cold}}, now)), 1)
	late := *cold
	late.ColdUntil = cold.ColdUntil.Add(coldTolerance / 2)
	is.Equal(len(d.Apply([]Change{{Replica: "a", Entry: &late}}, now)), 0)
	again := *cold
	again.ColdUntil = cold.ColdUntil.Add(3 * time.Second)
	is.Equal(len(d.Apply([]Change{{Replica: "a", Entry: &again}}, now)), 1)
	reborn := again
	reborn.Born++
	is.Equal(len(d.Apply([]Change{{Replica: "a", Entry: &reborn}}, now)), 1)
}

// TestReplace guards against zones, replicas and instances that a list no longer names and that stay in force.
func TestReplace(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{listed("a"), listed("b"), {Zone: "y"}, {Instance: "i", Registered: &Instance{ID: "i"}}}, now)
	changes := d.Replace([]Change{listed("b")}, now)
	is.Equal(changes, []Change{{Zone: "y", Gone: true}, gone("a"), {Instance: "i", Gone: true}})
	is.Equal(ids(d.View()), []fleet.ServerID{"b"})
	is.Equal(len(d.Present()), 0)
}

// TestInstancesCountForAWhile guards against bounds divided among too few: an instance that lost its entry may go on
// serving.
func TestInstancesCountForAWhile(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Now()
	d.Apply([]Change{{Instance: "i", Registered: &Instance{ID: "i"}}, {Instance: "i", Gone: true}}, now)
	is.Equal(len(d.View().Instances), 1)
	is.True(!d.Expire(now.Add(instanceMemory - time.Millisecond)))
	is.True(d.Expire(now.Add(instanceMemory)))
	is.Equal(len(d.View().Instances), 0)
}

// TestAll guards against a whole state that, taken by another instance, gives another view.
func TestAll(t *testing.T) {
	is := is.New(t)
	d, other, now := New(), New(), time.Now()
	d.Apply([]Change{version(3), listed("a"), {Zone: "y"}, {Instance: "i", Registered: &Instance{ID: "i"}}}, now)
	other.Apply([]Change{listed("stale"), {Zone: "x"}}, now)
	other.Replace(d.All(), now)
	is.Equal(other.View(), d.View())
}

// TestOldHeartbeats guards against a heartbeat that the store took late and that brings a leaving replica, or one that is
// gone, back: requests reached it for longer than the bound (guaman-latch-grown, seed 970211026331).
func TestOldHeartbeats(t *testing.T) {
	beat := func(born, sequence int64, draining bool) Change {
		entry := entryOf("a")
		entry.Born, entry.Sequence, entry.Draining = born, sequence, draining
		return Change{Replica: "a", Entry: entry}
	}
	for name, test := range map[string]struct {
		changes []Change
		usable  []fleet.ServerID
	}{
		"late before leaving":    {[]Change{beat(1, 5, false), beat(1, 7, true), beat(1, 6, false)}, []fleet.ServerID{}},
		"late after its end":     {[]Change{beat(1, 5, false), gone("a"), beat(1, 4, false)}, []fleet.ServerID{}},
		"of an earlier process":  {[]Change{beat(2, 1, true), beat(1, 90, false)}, []fleet.ServerID{}},
		"of a new process":       {[]Change{beat(1, 90, true), beat(2, 1, false)}, []fleet.ServerID{"a"}},
		"back after a lapse":     {[]Change{beat(1, 5, false), gone("a"), beat(1, 6, false)}, []fleet.ServerID{"a"}},
		"the same once more":     {[]Change{beat(1, 5, false), beat(1, 5, false)}, []fleet.ServerID{"a"}},
		"no longer leaving":      {[]Change{beat(1, 5, true), beat(1, 6, false)}, []fleet.ServerID{"a"}},
		"listed again, the same": {[]Change{beat(1, 5, false), gone("a"), beat(1, 5, false)}, []fleet.ServerID{}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Apply(test.changes, time.Now())
			is.New(t).Equal(ids(d.View()), test.usable)
		})
	}
}
