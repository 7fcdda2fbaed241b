package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/settings"
)

// TestNoContactWithServersOut guards against state polls of and connections to servers that are out of service or that
// are leaving, and against a server that is not polled again when it is in service again.
func TestNoContactWithServersOut(t *testing.T) {
	check := is.New(t)
	d := newDeployment(t)
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	servers := map[string]*contactCounts{
		"in": d.startServer(t, "in", "zone-a"), "leaving": d.startServer(t, "leaving", "zone-a"),
		"zone-out": d.startServer(t, "zone-out", "zone-b"), "instance-out": d.startServer(t, "instance-out", "zone-a"),
	}
	i := d.startEntry(t, "entry-1", "zone-a", func(*settings.Settings) {})
	for id, seen := range servers {
		eventually(t, id+" is polled", func() bool { return seen.requests.Load() > 1 })
	}
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue {
		return c.WithZoneOutOfService("zone-b", true).WithInstanceOutOfService("instance-out", true)
	})
	d.setLeaving("leaving")
	expectedStates := map[string]string{"zone-out": "out", "instance-out": "out", "leaving": "leaving"}
	for id, state := range expectedStates {
		eventually(t, id+" is "+state, func() bool { return i.serverStatus(id).State == state })
		// A state poll that is in progress may complete first.
		eventually(t, id+" has no connection", func() bool { return servers[id].open.Load() == 0 })
	}
	type counts struct{ connections, requests int64 }
	before := make(map[string]counts)
	for id, seen := range servers {
		before[id] = counts{seen.connections.Load(), seen.requests.Load()}
	}
	eventually(t, "the remaining server is polled", func() bool { return servers["in"].requests.Load() > before["in"].requests+3 })
	for id, state := range expectedStates {
		check.Equal(counts{servers[id].connections.Load(), servers[id].requests.Load()}, before[id])
		check.Equal(i.serverStatus(id).State, state)
	}
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	for _, id := range []string{"zone-out", "instance-out"} {
		eventually(t, id+" is polled again", func() bool { return servers[id].requests.Load() > before[id].requests })
	}
}

// TestConnectionLimitUsesCurrentEntry guards against a state poll that was in progress when its server began to leave
// and that opens or keeps a connection because of the server's previous entry. Nothing would close this connection
// later, and the prober would keep it alive.
func TestConnectionLimitUsesCurrentEntry(t *testing.T) {
	check := is.New(t)
	d := newDeployment(t)
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	seen := d.startServer(t, "leaving", "zone-a")
	i := d.startEntry(t, "entry-1", "zone-a", func(*settings.Settings) {})
	eventually(t, "the server is polled", func() bool { return seen.requests.Load() > 1 })
	before, known := i.members.server("leaving")
	check.True(known)
	check.True(i.connectionLimit(before) > 0)
	d.setLeaving("leaving")
	eventually(t, "the server is leaving", func() bool { return i.serverStatus("leaving").State == "leaving" })
	check.Equal(i.connectionLimit(before), 0)
}
