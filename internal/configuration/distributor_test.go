package configuration_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

// adoptionTarget is the time within which every instance adopts a configuration.
const adoptionTarget = 5 * time.Second

// TestAdoptionTime guards against a change that reaches an instance too late while one failure lasts.
func TestAdoptionTime(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no failure":         func(*cluster) {},
		"notifications lost": func(c *cluster) { c.dropsNotifications = true },
		"a zone cut off from the store": func(c *cluster) {
			for _, n := range c.nodes {
				n.transport.Partitioned.Store(n.entry.Zone == "a")
			}
		},
		"two zones cut off from the store, notifications lost": func(c *cluster) {
			c.dropsNotifications = true
			for _, n := range c.nodes {
				n.transport.Partitioned.Store(n.entry.Zone != "c")
			}
		},
		"both watchers of a zone lost but listed": func(c *cluster) {
			for _, n := range c.nodes {
				if n.entry.Zone == "a" && n.Plan().WatchesStore {
					n.kill()
				}
			}
		},
		"zones cut off from each other": func(c *cluster) {
			c.cut[[2]fleet.ZoneID{"a", "b"}], c.cut[[2]fleet.ZoneID{"a", "c"}], c.cut[[2]fleet.ZoneID{"b", "c"}] = true, true, true
		},
		"slow store": func(c *cluster) { c.store.SetFaults(store.Faults{SlowMillis: 500}) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 16)
				c.putCatalogue()
				c.startAll(1)
				defer c.stopAll()
				time.Sleep(3 * time.Second)
				is.Equal(len(c.outdated(1)), 0)
				c.mutex.Lock()
				fail(c)
				c.mutex.Unlock()
				slowest := time.Duration(0)
				for range 10 {
					revision, start := c.putCatalogue(), time.Now()
					for len(c.outdated(revision)) > 0 && time.Since(start) < adoptionTarget {
						time.Sleep(10 * time.Millisecond)
					}
					slowest = max(slowest, time.Since(start))
					is.Equal(len(c.outdated(revision)), 0) // no instance is without the change after 5 s
					time.Sleep(137 * time.Millisecond)
				}
				t.Log("slowest:", slowest)
				c.mutex.Lock()
				violations := c.violations
				c.mutex.Unlock()
				is.Equal(violations, nil)
			})
		})
	}
}

// TestSilentConnections guards against a change that is delayed because a long poll waits on a connection that went
// silent, even if this happens to all watchers at once.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 16)
		c.putCatalogue()
		c.startAll(1)
		defer c.stopAll()
		time.Sleep(3 * time.Second)
		for _, n := range c.nodes {
			// Calls in progress get no response; later calls work.
			n.transport.DropResponses()
		}
		revision := c.putCatalogue()
		time.Sleep(adoptionTarget)
		is.Equal(len(c.outdated(revision)), 0)
	})
}

// event is one step of a failure schedule.
type event struct {
	Kind  string
	Node  int
	Zones [2]int
	Delay time.Duration
}

var genEvent = rapid.Custom(func(t *rapid.T) event {
	return event{
		Kind:  rapid.SampledFrom([]string{"put", "put", "put", "down", "up", "behind", "cut-store", "cut-zones", "heal", "restart", "restart", "kill"}).Draw(t, "kind"),
		Node:  rapid.IntRange(0, 7).Draw(t, "node"),
		Zones: [2]int{rapid.IntRange(0, 2).Draw(t, "zone"), rapid.IntRange(0, 2).Draw(t, "zone")},
		Delay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond,
	}
})

func (c *cluster) apply(e event) {
	zones := []fleet.ZoneID{"a", "b", "c"}
	switch e.Kind {
	case "put":
		c.putCatalogue()
	case "down":
		c.store.SetFaults(store.Faults{Down: true})
	case "up":
		c.store.SetFaults(store.Faults{})
	case "behind":
		c.store.SetFaults(store.Faults{Behind: uint64(1 + e.Node%3)})
	case "cut-store":
		for _, n := range c.nodes {
			if n.entry.Zone == zones[e.Zones[0]] {
				n.transport.Partitioned.Store(true)
			}
		}
	case "cut-zones":
		if e.Zones[0] != e.Zones[1] {
			c.mutex.Lock()
			c.cut[[2]fleet.ZoneID{zones[e.Zones[0]], zones[e.Zones[1]]}] = true
			c.mutex.Unlock()
		}
	case "heal":
		c.heal()
	case "restart":
		c.nodes[e.Node].start(uint64(e.Node) * 7)
	case "kill":
		c.nodes[e.Node].kill()
	}
}

// TestNeverReverts guards against an instance that returns to an older configuration, whose text at a revision differs
// from the store's, that becomes ready with an older revision than its peers had, or that is not up to date 5 s after
// all failures have ended.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(genEvent, 1, 25).Draw(rt, "events")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 8)
			c.putCatalogue()
			c.startAll(3)
			for _, e := range events {
				time.Sleep(e.Delay)
				c.apply(e)
			}
			c.heal()
			for i, n := range c.nodes {
				if n.running.Load() == nil {
					n.start(uint64(i))
				}
			}
			last := c.store.Entry(configuration.CatalogueKey).Revision
			time.Sleep(adoptionTarget)
			if outdated := c.outdated(last); len(outdated) > 0 {
				c.recordViolation("%v without revision %d after %s", outdated, last, adoptionTarget)
			}
			c.stopAll()
			c.mutex.Lock()
			violations = c.violations
			c.mutex.Unlock()
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// TestPlatformCalls guards against a number of calls to the store that grows with the number of instances.
func TestPlatformCalls(t *testing.T) {
	counts := make(map[int]uint64)
	for _, size := range []int{4, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size)
			c.putCatalogue()
			c.startAll(1)
			defer c.stopAll()
			time.Sleep(5 * time.Second)
			before := total(c.store.Calls())
			for range 10 {
				c.putCatalogue()
				time.Sleep(6 * time.Second)
			}
			counts[size] = total(c.store.Calls()) - before
			is.New(t).Equal(len(c.outdated(c.store.Entry(configuration.CatalogueKey).Revision)), 0)
		})
	}
	t.Log("calls in 60 s with 10 changes:", counts)
	// Four instances have four watchers and larger fleets six. Each watcher makes one call every 2 s and one for each
	// change.
	for size, watchers := range map[int]uint64{4: 4, 16: 6, 64: 6} {
		is.New(t).True(counts[size] <= watchers*(60/2+10))
	}
}

func total(calls map[string]uint64) uint64 {
	sum := uint64(0)
	for _, count := range calls {
		sum += count
	}
	return sum
}

// TestHolder guards against adopting a document whose revision is not higher, and against a document that cannot be
// parsed replacing one that can.
func TestHolder(t *testing.T) {
	is := is.New(t)
	holder := configuration.NewHolder(nil)
	good := []byte(catalogue.New(nil).WithZoneOutOfService("a", true).Format())
	adopt := func(key string, revision uint64, text []byte) bool {
		adopted, _ := holder.Adopt(configuration.Document{Key: key, Revision: revision, Text: text}, configuration.Source{})
		return adopted
	}
	is.True(adopt(configuration.IndexKeyPrefix+"search", 9, []byte("{}")))
	is.Equal(holder.Current(), nil) // index versions alone are not a configuration
	is.True(adopt(configuration.CatalogueKey, 5, good))
	is.True(!adopt(configuration.CatalogueKey, 5, []byte(catalogue.New(nil).Format())))
	is.True(!adopt(configuration.CatalogueKey, 4, good))
	is.True(!adopt(configuration.CatalogueKey, 6, []byte("[service")))
	is.True(!adopt(configuration.CatalogueKey, 6, []byte("[service")))
	is.Equal(holder.RejectedCount(), uint64(1))                         // a rejected revision is not checked again
	is.Equal(holder.Revisions()[configuration.CatalogueKey], uint64(6)) // and not fetched again
	is.True(holder.Current().Catalogue.ZoneOutOfService("a"))
	is.Equal(holder.Current().Revision, uint64(5))
	is.Equal(holder.Current().Indexes["search"].Revision, uint64(9))
	is.True(!adopt("other", 10, good))
	is.True(adopt(configuration.IndexKeyPrefix+"print", 7, []byte("{}")))
	all := holder.Newer(nil)
	is.True(slices.IsSortedFunc(all, func(a, b configuration.Document) int { return int(a.Revision) - int(b.Revision) }) && len(all) == 3)
	newer := holder.Newer(configuration.Revisions{configuration.CatalogueKey: 4, configuration.IndexKeyPrefix + "search": 9, configuration.IndexKeyPrefix + "print": 7})
	is.True(slices.ContainsFunc(newer, func(d configuration.Document) bool { return d.Key == configuration.CatalogueKey }) && len(newer) == 1)
}
