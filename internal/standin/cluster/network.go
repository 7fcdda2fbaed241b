package cluster

// Relays between the processes of a cluster, with which tests simulate network partitions. Each entry instance reads
// the instance list through its own handler, which replaces the address of every peer by that of a link. So the
// connections between two entry instances can be interrupted without affecting others.

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/relay"
)

// zoneDelay is the simulated one-way delay between two zones of a region.
const zoneDelay = time.Millisecond

// Targets of links other than entry instances, which are named by their IDs.
const (
	storeTarget        = "store"
	instanceListTarget = "instances"
)

// linkEnds identifies a link by the name of the entry instance that connects and that of the target.
type linkEnds struct{ from, to string }

// network holds the links of a cluster and the servers of the rewritten instance lists.
type network struct {
	mutex sync.Mutex // guards links
	// links holds the links made so far; a link is made when its address is first needed.
	links map[linkEnds]*relay.Link
	// listServers holds one server of the instance list for each entry instance.
	listServers []*httptest.Server
}

// link returns the address of the link between two ends; it makes the link with the target and the delay if there is
// none.
func (n *network) link(from, to, target string, delay time.Duration) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known := n.links[linkEnds{from, to}]; known != nil {
		return known.Address(), nil
	}
	made, err := relay.Listen(target, delay)
	if err != nil {
		return "", err
	}
	n.links[linkEnds{from, to}] = made
	return made.Address(), nil
}

// close closes all links and servers. On a nil network it does nothing.
func (n *network) close() {
	if n == nil {
		return
	}
	for _, list := range n.listServers {
		list.Close()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		link.Close()
	}
}

// platformAddresses returns the addresses at which an entry instance reaches the store and the instance list: with
// Relays, those of links.
func (c *Cluster) platformAddresses(n int, zone string) (store, list string, err error) {
	if !c.Relays {
		return c.addresses.Store, c.addresses.Instances, nil
	}
	if c.network == nil {
		c.network = &network{links: make(map[linkEnds]*relay.Link)}
	}
	name := fmt.Sprintf("entry-%d", n+1)
	listServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serveList(w, r, name, zone) }))
	c.network.listServers = append(c.network.listServers, listServer)
	if store, err = c.network.link(name, storeTarget, c.addresses.Store, 0); err != nil {
		return "", "", err
	}
	list, err = c.network.link(name, instanceListTarget, listServer.Listener.Addr().String(), 0)
	return store, list, err
}

// serveList serves the instance list to an entry instance, with the addresses of links instead of those of its peers.
// It aborts the connection if the list cannot be read or a link cannot be made.
func (c *Cluster) serveList(w http.ResponseWriter, r *http.Request, name, zone string) {
	var listed coordination.InstanceList
	if err := c.callJSON(r.Context(), http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		panic(http.ErrAbortHandler)
	}
	for n, instance := range listed.Instances {
		if instance.Kind != coordination.KindEntry || instance.ID == name {
			continue
		}
		delay := zoneDelay
		if instance.Zone == zone {
			delay = 0
		}
		address, err := c.network.link(name, instance.ID, instance.PeerAddress, delay)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		listed.Instances[n].PeerAddress = address
	}
	writeList(w, listed)
}

// SetZoneLinks sets the state of the links between the entry instances of a zone and those of all other zones,
// separately for data sent from the zone (leaving) and to it (entering).
func (c *Cluster) SetZoneLinks(zone string, leaving, entering relay.State) {
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
			link.SetStates(leaving, entering)
		case to == zone:
			link.SetStates(entering, leaving)
		}
	}
}

// SetLinks sets the state of the links between two entry instances, separately for data sent from the first to the
// second (forward) and from the second to the first (backward). Both links must have been made.
func (c *Cluster) SetLinks(first, second string, forward, backward relay.State) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.network.links[linkEnds{first, second}].SetStates(forward, backward)
	c.network.links[linkEnds{second, first}].SetStates(backward, forward)
}

// SetPlatformLinks sets the state of the links from the entry instances of a zone to the store and the instance list,
// in both directions.
func (c *Cluster) SetPlatformLinks(zone string, state relay.State) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	for _, e := range c.Entries {
		if e.Zone == zone {
			c.network.links[linkEnds{e.Name, storeTarget}].SetStates(state, state)
			c.network.links[linkEnds{e.Name, instanceListTarget}].SetStates(state, state)
		}
	}
}
