package cluster

// The links between the processes of a cluster. Each entry instance reads the instance list through a handler of
// its own, which names a link as the address of every peer, so that the way between two of them can be cut.

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/relay"
)

// zoneDelay is the time one way between two zones of a region.
const zoneDelay = time.Millisecond

// Ends of links that are no entry instance.
const (
	storeEnd = "store"
	listEnd  = "instances"
)

type way struct{ from, to string }

type network struct {
	mutex sync.Mutex
	// links holds the ways by the names of their ends; they are made when they are first named.
	links map[way]*relay.Link
	lists []*httptest.Server
}

func (w *network) link(from, to, target string, delay time.Duration) (string, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.links[way{from, to}]; known != nil {
		return known.Address(), nil
	}
	made, err := relay.Listen(target, delay)
	if err != nil {
		return "", err
	}
	w.links[way{from, to}] = made
	return made.Address(), nil
}

func (w *network) close() {
	if w == nil {
		return
	}
	for _, list := range w.lists {
		list.Close()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, link := range w.links {
		link.Close()
	}
}

// platformOf returns the addresses at which an entry instance finds the store and the instance list.
func (c *Cluster) platformOf(n int, zone string) (store, list string, err error) {
	if !c.Relays {
		return c.addresses.Store, c.addresses.Instances, nil
	}
	if c.network == nil {
		c.network = &network{links: make(map[way]*relay.Link)}
	}
	name := fmt.Sprintf("entry-%d", n+1)
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serveList(w, r, name, zone) }))
	c.network.lists = append(c.network.lists, served)
	if store, err = c.network.link(name, storeEnd, c.addresses.Store, 0); err != nil {
		return "", "", err
	}
	list, err = c.network.link(name, listEnd, served.Listener.Addr().String(), 0)
	return store, list, err
}

// serveList passes the instance list on with the links to the peers in place of their addresses.
func (c *Cluster) serveList(w http.ResponseWriter, r *http.Request, name, zone string) {
	var listed coordination.InstanceList
	if err := c.call(r.Context(), http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		panic(http.ErrAbortHandler)
	}
	for n, line := range listed.Instances {
		if line.Kind != coordination.KindEntry || line.ID == name {
			continue
		}
		delay := zoneDelay
		if line.Zone == zone {
			delay = 0
		}
		address, err := c.network.link(name, line.ID, line.Peers, delay)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		listed.Instances[n].Peers = address
	}
	writeList(w, listed)
}

// SetZoneLinks sets the links between the entry instances of a zone and those of all other zones, by the
// direction of the bytes: leaving the zone, and coming into it.
func (c *Cluster) SetZoneLinks(zone string, leaving, coming relay.State) {
	zones := make(map[string]string, len(c.Entries))
	for _, e := range c.Entries {
		zones[e.Name] = e.Zone
	}
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	for ends, link := range c.network.links {
		from, to := zones[ends.from], zones[ends.to]
		switch {
		case to == "" || from == to:
		case from == zone:
			link.Set(leaving, coming)
		case to == zone:
			link.Set(coming, leaving)
		}
	}
}

// SetLinks sets the links between two entry instances by the direction of the bytes: from the first to the second,
// and back.
func (c *Cluster) SetLinks(first, second string, there, back relay.State) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.network.links[way{first, second}].Set(there, back)
	c.network.links[way{second, first}].Set(back, there)
}

// SetPlatformLinks sets the links from the entry instances of a zone to the store and the instance list.
func (c *Cluster) SetPlatformLinks(zone string, state relay.State) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	for _, e := range c.Entries {
		if e.Zone == zone {
			c.network.links[way{e.Name, storeEnd}].Set(state, state)
			c.network.links[way{e.Name, listEnd}].Set(state, state)
		}
	}
}
