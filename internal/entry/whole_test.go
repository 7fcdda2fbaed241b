package entry

// Whole entry instances in the test's process, with the stand-ins of the platform on loopback.

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/standin/instances"
	"github.com/medlarlatch/medlarlatch/internal/standin/relay"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

type deployment struct {
	store          *store.Store
	list           *instances.List
	storeAt, lists string
	lines          []coordination.Instance
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{store: store.New(), list: instances.New()}
	for handler, at := range map[http.Handler]*string{d.store: &d.storeAt, d.list: &d.lists} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		*at = server.URL
	}
	return d
}

// configure puts the catalogue of one service into the store.
func (d *deployment) configure(change func(catalogue.Catalogue) catalogue.Catalogue) {
	d.store.Put(configuration.Key, change(catalogue.New([]catalogue.Service{{
		ID: "bib", Owner: "o", Application: "search", Idempotent: true, Slots: 3, Connections: 30, Deadline: time.Second,
		CoverageFloor: 1, LatencyObjective: time.Second, ObjectivePercent: 99,
	}})).Format())
}

func (d *deployment) add(line coordination.Instance) {
	line.Region, line.State = "region-1", coordination.StateLive
	d.lines = append(d.lines, line)
	d.list.Set(d.lines...)
}

func (d *deployment) setLeaving(id string) {
	for n := range d.lines {
		if d.lines[n].ID == id {
			d.lines[n].State = coordination.StateLeaving
		}
	}
	d.list.Set(d.lines...)
}

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := relay.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// run lists and runs an entry instance until the test ends.
func (d *deployment) run(t *testing.T, id fleet.InstanceID, zone fleet.ZoneID, change func(*settings.Settings)) *Instance {
	t.Helper()
	s := settings.Settings{
		Instance: id, Zone: zone, Region: "region-1", Seed: 1, Callers: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t),
		Store: d.storeAt, Instances: d.lists, Timeout: 5 * time.Second, PeerKey: "a peer key of the tests", OperatorKey: "an operator key",
	}
	change(&s)
	i, err := New(s)
	is.New(t).NoErr(err)
	d.add(coordination.Instance{ID: string(id), Kind: coordination.KindEntry, Zone: string(zone), Peers: s.Peers, Operators: s.Operators})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return i
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 30 s", what)
		}
	}
}

func (i *Instance) server(id string) httpapi.ServerStatus {
	for _, line := range (reporter{i}).Status().Servers {
		if line.Server == id {
			return line
		}
	}
	return httpapi.ServerStatus{}
}

// contacts counts what reaches a backend server that only answers for its state.
type contacts struct {
	connections, requests, open atomic.Int64
}

func (d *deployment) serve(t *testing.T, id, zone string) *contacts {
	t.Helper()
	c := &contacts{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.requests.Add(1)
		_ = json.NewEncoder(w).Encode(map[string]any{"start-mark": "m", "held": []int{1}})
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			c.connections.Add(1)
			c.open.Add(1)
		case http.StateClosed:
			c.open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	d.add(coordination.Instance{
		ID: id, Kind: coordination.KindBackendServer, Zone: zone, Service: "bib", Address: server.Listener.Addr().String(),
	})
	return c
}
