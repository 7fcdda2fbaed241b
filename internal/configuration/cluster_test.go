package configuration_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

// cluster is a fleet of instances on fake time, in one synctest bubble. Each instance believes all others to be live,
// as with an instance list that never catches up.
type cluster struct {
	t     *testing.T
	store *store.Store
	view  *fleet.View
	nodes []*node

	mutex sync.Mutex
	// cut holds the pairs of zones that cannot reach each other.
	cut map[[2]fleet.ZoneID]bool
	// dropsNotifications is set while notifications between peers are lost.
	dropsNotifications bool
	// violations lists the violations of an invariant that were seen during the run.
	violations []string
}

// node is one entry instance across its restarts.
type node struct {
	entry     fleet.Entry
	transport *inprocess.Transport
	cluster   *cluster

	// running is nil while the instance is down.
	running atomic.Pointer[incarnation]
}

// incarnation is one process of an instance.
type incarnation struct {
	holder      *configuration.Holder
	distributor *configuration.Distributor
	stop        context.CancelFunc
	started     time.Time
}

// newCluster returns a cluster of stopped instances in three zones: of every four instances, two are in zone a and one
// each in zones b and c.
func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, store: store.New(), cut: make(map[[2]fleet.ZoneID]bool)}
	zones := []fleet.ZoneID{"a", "b", "a", "c"}
	var entries []fleet.Entry
	for i := range size {
		entries = append(entries, fleet.Entry{ID: fleet.InstanceID(fmt.Sprintf("entry-%02d", i)), Zone: zones[i%4]})
	}
	c.view = fleet.NewView(entries, nil)
	for _, entry := range entries {
		c.nodes = append(c.nodes, &node{entry: entry, cluster: c, transport: &inprocess.Transport{Handler: c.store}})
	}
	return c
}

func (c *cluster) startAll(seed uint64) {
	for i, n := range c.nodes {
		n.start(seed + uint64(i))
	}
}

// stopAll stops all instances and waits for the calls in progress, because a synctest bubble must not end while
// goroutines sleep.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
}

// putCatalogue writes a catalogue whose write id names its revision, and returns the revision.
func (c *cluster) putCatalogue() uint64 {
	current, _ := catalogue.Parse("store", c.store.Entry(configuration.CatalogueKey).Value)
	id := fmt.Sprintf("write-%d", c.store.Entry(configuration.CatalogueKey).Revision+1)
	return c.store.Put(configuration.CatalogueKey, catalogue.New(nil).WithWriteIDs(append([]string{id}, current.WriteIDs()...)).Format())
}

func (c *cluster) recordViolation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// connected reports whether the network carries messages between two zones.
func (c *cluster) connected(a, b fleet.ZoneID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.cut[[2]fleet.ZoneID{a, b}] && !c.cut[[2]fleet.ZoneID{b, a}]
}

// heal ends all failures of the store and the network.
func (c *cluster) heal() {
	c.store.SetFaults(store.Faults{})
	c.mutex.Lock()
	clear(c.cut)
	c.dropsNotifications = false
	c.mutex.Unlock()
	for _, n := range c.nodes {
		n.transport.Partitioned.Store(false)
	}
}

// outdated returns the running instances that have not adopted the revision or are not ready.
func (c *cluster) outdated(revision uint64) []fleet.InstanceID {
	var outdated []fleet.InstanceID
	for _, n := range c.nodes {
		running := n.running.Load()
		if running == nil {
			continue
		}
		view := running.holder.Current()
		if view == nil || view.Revision < revision || !running.distributor.Ready() {
			outdated = append(outdated, n.entry.ID)
		}
	}
	return outdated
}

func (n *node) start(seed uint64) {
	n.kill()
	ctx, stop := context.WithCancel(n.cluster.t.Context())
	adapter := coordination.NewStore("http://store", coordination.Options{
		Client: &http.Client{Transport: n.transport}, Timeout: time.Second, Random: seeded(seed),
	})
	holder := configuration.NewHolder(nil)
	distributor := configuration.NewDistributor(holder, adapter, n, n, seeded(seed+1))
	minRevision := n.highestReachableRevision()
	n.running.Store(&incarnation{holder, distributor, stop, time.Now()})
	go distributor.Run(ctx)
	go n.observe(ctx, holder, distributor, minRevision)
}

func (n *node) kill() {
	if running := n.running.Swap(nil); running != nil {
		running.stop()
	}
}

// highestReachableRevision returns the highest revision of the peers that this instance asks and can reach.
func (n *node) highestReachableRevision() uint64 {
	highest := uint64(0)
	plan := configuration.NewPlan(n.cluster.view, n.entry, anyEntry)
	for _, peer := range append(plan.SameZoneWatchers, plan.OtherZoneWatchers...) {
		other := n.cluster.node(peer)
		running := other.running.Load()
		if running != nil && n.cluster.connected(n.entry.Zone, other.entry.Zone) && running.holder.Current() != nil {
			highest = max(highest, running.holder.Current().Revision)
		}
	}
	return highest
}

// observe checks the invariants at each adoption of one incarnation: the revision never falls, the text is the one that
// the store has at that revision, and an instance that becomes ready has at least minRevision.
func (n *node) observe(ctx context.Context, holder *configuration.Holder, distributor *configuration.Distributor, minRevision uint64) {
	last := uint64(0)
	for ready := false; ; {
		changed := holder.Changed()
		if view := holder.Current(); view != nil {
			if view.Revision < last {
				n.cluster.recordViolation("%s went from revision %d back to %d", n.entry.ID, last, view.Revision)
			}
			if want := fmt.Sprintf("write-%d", view.Revision); view.WriteID() != want {
				n.cluster.recordViolation("%s has %s at revision %d", n.entry.ID, view.WriteID(), view.Revision)
			}
			last = view.Revision
			if !ready && distributor.Ready() {
				ready = true
				if last < minRevision {
					n.cluster.recordViolation("%s became ready at revision %d although a reachable peer had %d", n.entry.ID, last, minRevision)
				}
			}
		} else if distributor.Ready() {
			n.cluster.recordViolation("%s is ready without a configuration", n.entry.ID)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (c *cluster) node(id fleet.InstanceID) *node {
	for _, n := range c.nodes {
		if n.entry.ID == id {
			return n
		}
	}
	return nil
}

// anyEntry reports every entry instance as live.
func anyEntry(fleet.Entry) bool { return true }

// discoveryDelay is how long an instance knows no other instance after its start.
const discoveryDelay = 600 * time.Millisecond

// Plan implements configuration.Planner.
func (n *node) Plan() configuration.Plan {
	if running := n.running.Load(); running == nil || time.Since(running.started) < discoveryDelay {
		return configuration.NewPlan(n.cluster.view, n.entry, func(fleet.Entry) bool { return false })
	}
	return configuration.NewPlan(n.cluster.view, n.entry, anyEntry)
}

// deliver waits for the network delay. A message that cannot arrive blocks until ctx ends.
func (n *node) deliver(ctx context.Context, peer fleet.InstanceID) (*incarnation, error) {
	other := n.cluster.node(peer)
	running := other.running.Load()
	if running == nil || !n.cluster.connected(n.entry.Zone, other.entry.Zone) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return running, nil
}

// Notify implements configuration.Peers.
func (n *node) Notify(ctx context.Context, peer fleet.InstanceID, revisions configuration.Revisions) error {
	other, err := n.deliver(ctx, peer)
	n.cluster.mutex.Lock()
	dropsNotifications := n.cluster.dropsNotifications
	n.cluster.mutex.Unlock()
	if err == nil && !dropsNotifications {
		other.distributor.HandlePeerRevisions(n.entry.ID, revisions)
	}
	return err
}

// Fetch implements configuration.Peers.
func (n *node) Fetch(ctx context.Context, peer fleet.InstanceID, known configuration.Revisions) ([]configuration.Document, error) {
	other, err := n.deliver(ctx, peer)
	if err != nil {
		return nil, err
	}
	return other.holder.Newer(known), nil
}
