package entry

// Test helpers that run complete entry instances in the test's process, against stand-ins for the platform's services
// and for backend servers on loopback.

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

// deployment is a store, an instance list and the instances that the list holds.
type deployment struct {
	store             *store.Store
	list              *instances.List
	storeURL, listURL string
	instances         []coordination.Instance
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{store: store.New(), list: instances.New()}
	for handler, at := range map[http.Handler]*string{d.store: &d.storeURL, d.list: &d.listURL} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		*at = server.URL
	}
	return d
}

// configure stores a catalogue with one service, modified by change.
func (d *deployment) configure(change func(catalogue.Catalogue) catalogue.Catalogue) {
	d.store.Put(configuration.CatalogueKey, change(catalogue.New([]catalogue.Service{{
		ID: "bib", Owner: "o", Application: "search", Idempotent: true, Slots: 3, MaxConnections: 30, Deadline: time.Second,
		MinCoverage: 1, LatencyObjective: time.Second, ObjectivePercent: 99,
	}})).Format())
}

// addInstance adds a live instance to the instance list.
func (d *deployment) addInstance(line coordination.Instance) {
	line.Region, line.State = "region-1", coordination.StateLive
	d.instances = append(d.instances, line)
	d.list.Set(d.instances...)
}

// setLeaving marks an instance as leaving in the instance list.
func (d *deployment) setLeaving(id string) {
	for n := range d.instances {
		if d.instances[n].ID == id {
			d.instances[n].State = coordination.StateLeaving
		}
	}
	d.list.Set(d.instances...)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := relay.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// startEntry adds an entry instance to the instance list and runs it until the test ends.
func (d *deployment) startEntry(t *testing.T, id fleet.InstanceID, zone fleet.ZoneID, change func(*settings.Settings)) *Instance {
	t.Helper()
	s := settings.Settings{
		Instance: id, Zone: zone, Region: "region-1", Seed: 1, CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: freeAddress(t),
		StoreURL: d.storeURL, InstanceListURL: d.listURL, PlatformTimeout: 5 * time.Second, PeerKey: "a peer key of the tests", OperatorKey: "an operator key",
	}
	change(&s)
	i, err := New(s)
	is.New(t).NoErr(err)
	d.addInstance(coordination.Instance{ID: string(id), Kind: coordination.KindEntry, Zone: string(zone), PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return i
}

// eventually fails the test if the condition does not become true within 30 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 30 s", what)
		}
	}
}

// serverStatus returns the status of a server; it is zero if the instance does not know the server.
func (i *Instance) serverStatus(id string) httpapi.ServerStatus {
	for _, status := range (reporter{i}).Status().Servers {
		if status.Server == id {
			return status
		}
	}
	return httpapi.ServerStatus{}
}

// contactCounts counts the connections and requests that reach a backend server of the test.
type contactCounts struct {
	connections, requests, open atomic.Int64
}

// startServer adds a backend server to the instance list and runs it until the test ends. It answers every request with
// its state.
func (d *deployment) startServer(t *testing.T, id, zone string) *contactCounts {
	t.Helper()
	c := &contactCounts{}
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
	d.addInstance(coordination.Instance{
		ID: id, Kind: coordination.KindBackendServer, Zone: zone, Service: "bib", Address: server.Listener.Addr().String(),
	})
	return c
}
