package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/settings"
)

// TestNoContactWithServersOut guards against questions and connections to servers that operators have taken out or
// that leave, and against a server that is not asked again when it is back.
func TestNoContactWithServersOut(t *testing.T) {
	check := is.New(t)
	d := newDeployment(t)
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	servers := map[string]*contacts{
		"in": d.serve(t, "in", "zone-a"), "leaving": d.serve(t, "leaving", "zone-a"),
		"zone-out": d.serve(t, "zone-out", "zone-b"), "instance-out": d.serve(t, "instance-out", "zone-a"),
	}
	i := d.run(t, "entry-1", "zone-a", func(*settings.Settings) {})
	for id, seen := range servers {
		eventually(t, id+" is asked", func() bool { return seen.requests.Load() > 1 })
	}
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue {
		return c.WithZoneOut("zone-b", true).WithInstanceOut("instance-out", true)
	})
	d.setLeaving("leaving")
	out := map[string]string{"zone-out": "out", "instance-out": "out", "leaving": "leaving"}
	for id, state := range out {
		eventually(t, id+" is "+state, func() bool { return i.server(id).State == state })
		// A question that was under way may end first.
		eventually(t, id+" has no connection", func() bool { return servers[id].open.Load() == 0 })
	}
	type counts struct{ connections, requests int64 }
	before := make(map[string]counts)
	for id, seen := range servers {
		before[id] = counts{seen.connections.Load(), seen.requests.Load()}
	}
	eventually(t, "the others are asked", func() bool { return servers["in"].requests.Load() > before["in"].requests+3 })
	for id, state := range out {
		check.Equal(counts{servers[id].connections.Load(), servers[id].requests.Load()}, before[id])
		check.Equal(i.server(id).State, state)
	}
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	for _, id := range []string{"zone-out", "instance-out"} {
		eventually(t, id+" is asked again", func() bool { return servers[id].requests.Load() > before[id].requests })
	}
}

// TestConnectionsByTheCurrentEntry guards against a question that was under way when its server began to leave and opens or
// keeps a connection by the entry from before: nothing closes that one later, and the prober keeps it alive.
func TestConnectionsByTheCurrentEntry(t *testing.T) {
	check := is.New(t)
	d := newDeployment(t)
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	seen := d.serve(t, "leaving", "zone-a")
	i := d.run(t, "entry-1", "zone-a", func(*settings.Settings) {})
	eventually(t, "it is asked", func() bool { return seen.requests.Load() > 1 })
	before, known := i.members.server("leaving")
	check.True(known)
	check.True(i.connections(before) > 0)
	d.setLeaving("leaving")
	eventually(t, "it is leaving", func() bool { return i.server("leaving").State == "leaving" })
	check.Equal(i.connections(before), 0)
}
