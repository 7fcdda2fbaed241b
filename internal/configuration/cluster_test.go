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

// cluster is a fleet of instances in one bubble of fake time. Every instance goes on believing that all
// others are live, as with a list that lags for ever.
type cluster struct {
	t     *testing.T
	store *store.Store
	view  *fleet.View
	nodes []*node

	mutex sync.Mutex
	// cut holds pairs of zones that cannot reach each other.
	cut map[[2]fleet.ZoneID]bool
	// dropsNotifications is set while notifications between peers are lost.
	dropsNotifications bool
	// violations are the breaches that were seen while running.
	violations []string
}

// node is one entry instance over all its restarts.
type node struct {
	entry     fleet.Entry
	transport *inprocess.Transport
	cluster   *cluster

	// running is nil while the instance is down.
	running atomic.Pointer[incarnation]
}

// incarnation is one process of an instance.
type incarnation struct {
	holder   *configuration.Holder
	spreader *configuration.Spreader
	stop     context.CancelFunc
	started  time.Time
}

// newCluster starts instances in three zones, with 2, 1 and 1 of each four.
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

// stopAll also waits for the calls under way, because a bubble may not end with goroutines asleep.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
}

func (c *cluster) put() uint64 {
	current, _ := catalogue.Parse("store", c.store.Entry(configuration.Key).Value)
	id := fmt.Sprintf("write-%d", c.store.Entry(configuration.Key).Revision+1)
	return c.store.Put(configuration.Key, catalogue.New(nil).WithWriteIDs(append([]string{id}, current.WriteIDs()...)).Format())
}

func (c *cluster) violate(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// reaches tells whether the network carries messages between two zones.
func (c *cluster) reaches(a, b fleet.ZoneID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.cut[[2]fleet.ZoneID{a, b}] && !c.cut[[2]fleet.ZoneID{b, a}]
}

func (c *cluster) heal() {
	c.store.SetFaults(store.Faults{})
	c.mutex.Lock()
	clear(c.cut)
	c.dropsNotifications = false
	c.mutex.Unlock()
	for _, n := range c.nodes {
		n.transport.Cut.Store(false)
	}
}

// late returns the instances that have not adopted the revision, and those that are not ready.
func (c *cluster) late(revision uint64) []fleet.InstanceID {
	var late []fleet.InstanceID
	for _, n := range c.nodes {
		running := n.running.Load()
		if running == nil {
			continue
		}
		view := running.holder.Current()
		if view == nil || view.Revision < revision || !running.spreader.Ready() {
			late = append(late, n.entry.ID)
		}
	}
	return late
}

func (n *node) start(seed uint64) {
	n.kill()
	ctx, stop := context.WithCancel(n.cluster.t.Context())
	adapter := coordination.NewStore("http://store", coordination.Options{
		Client: &http.Client{Transport: n.transport}, Timeout: time.Second, Random: seeded(seed),
	})
	holder := configuration.NewHolder(nil)
	spreader := configuration.NewSpreader(holder, adapter, n, n, seeded(seed+1))
	floor := n.reachable()
	n.running.Store(&incarnation{holder, spreader, stop, time.Now()})
	go spreader.Run(ctx)
	go n.observe(ctx, holder, spreader, floor)
}

func (n *node) kill() {
	if running := n.running.Swap(nil); running != nil {
		running.stop()
	}
}

// reachable is the highest revision that the sources of this instance can tell it.
func (n *node) reachable() uint64 {
	floor := uint64(0)
	plan := configuration.NewPlan(n.cluster.view, n.entry, everyEntry)
	for _, peer := range append(plan.Near, plan.Far...) {
		other := n.cluster.node(peer)
		running := other.running.Load()
		if running != nil && n.cluster.reaches(n.entry.Zone, other.entry.Zone) && running.holder.Current() != nil {
			floor = max(floor, running.holder.Current().Revision)
		}
	}
	return floor
}

// observe checks every adoption of one incarnation.
func (n *node) observe(ctx context.Context, holder *configuration.Holder, spreader *configuration.Spreader, floor uint64) {
	last := uint64(0)
	for ready := false; ; {
		changed := holder.Changed()
		if view := holder.Current(); view != nil {
			if view.Revision < last {
				n.cluster.violate("%s went from revision %d back to %d", n.entry.ID, last, view.Revision)
			}
			if want := fmt.Sprintf("write-%d", view.Revision); view.WriteID() != want {
				n.cluster.violate("%s has %s at revision %d", n.entry.ID, view.WriteID(), view.Revision)
			}
			last = view.Revision
			if !ready && spreader.Ready() {
				ready = true
				if last < floor {
					n.cluster.violate("%s became ready at revision %d although a source had %d", n.entry.ID, last, floor)
				}
			}
		} else if spreader.Ready() {
			n.cluster.violate("%s is ready without a configuration", n.entry.ID)
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

func everyEntry(fleet.Entry) bool { return true }

// blindTime is how long an instance knows no other after its start.
const blindTime = 600 * time.Millisecond

// Plan implements configuration.Guide.
func (n *node) Plan() configuration.Plan {
	if running := n.running.Load(); running == nil || time.Since(running.started) < blindTime {
		return configuration.NewPlan(n.cluster.view, n.entry, func(fleet.Entry) bool { return false })
	}
	return configuration.NewPlan(n.cluster.view, n.entry, everyEntry)
}

// deliver waits for the network; a message that cannot arrive hangs until the context ends.
func (n *node) deliver(ctx context.Context, peer fleet.InstanceID) (*incarnation, error) {
	other := n.cluster.node(peer)
	running := other.running.Load()
	if running == nil || !n.cluster.reaches(n.entry.Zone, other.entry.Zone) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return running, nil
}

// Tell implements configuration.Peers.
func (n *node) Tell(ctx context.Context, peer fleet.InstanceID, revisions configuration.Revisions) error {
	other, err := n.deliver(ctx, peer)
	n.cluster.mutex.Lock()
	dropsNotifications := n.cluster.dropsNotifications
	n.cluster.mutex.Unlock()
	if err == nil && !dropsNotifications {
		other.spreader.Heard(n.entry.ID, revisions)
	}
	return err
}

// Ask implements configuration.Peers.
func (n *node) Ask(ctx context.Context, peer fleet.InstanceID, known configuration.Revisions) ([]configuration.Document, error) {
	other, err := n.deliver(ctx, peer)
	if err != nil {
		return nil, err
	}
	return other.holder.Newer(known), nil
}
