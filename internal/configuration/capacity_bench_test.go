package configuration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// maxServicesPerValue is the number of services that fit into one value of the store.
const maxServicesPerValue = 3500

// makeServices returns services with the numbers of the half-open range [from, to).
func makeServices(from, to int) []catalogue.Service {
	var services []catalogue.Service
	for i := from; i < to; i++ {
		services = append(services, catalogue.Service{
			ID: fleet.ServiceID(fmt.Sprintf("bib-index-%05d", i)), Owner: "race-control", Application: "marshal-search", Class: catalogue.Interactive, Idempotent: true,
			Slots: 3, MaxConnections: 30, ConnectCost: 6 * time.Millisecond, Deadline: 140 * time.Millisecond,
			MinCoverage: 0.95, LatencyObjective: 100 * time.Millisecond, ObjectivePercent: 99,
		})
	}
	return services
}

// BenchmarkCatalogue measures parsing the catalogue of a fleet with two replicas of each service. A catalogue that does
// not fit into one value is split into several, as it would have to be at that size.
func BenchmarkCatalogue(b *testing.B) {
	for _, replicas := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var texts []string
			size := 0
			for from := 0; from < replicas/2; from += maxServicesPerValue {
				text := catalogue.New(makeServices(from, min(from+maxServicesPerValue, replicas/2))).Format()
				texts = append(texts, text)
				size += len(text)
			}
			parse := func() []catalogue.Catalogue {
				var all []catalogue.Catalogue
				for _, text := range texts {
					parsed, faults := catalogue.Parse(configuration.CatalogueKey, text)
					if err := faults.Err(); err != nil {
						b.Fatal(err)
					}
					all = append(all, parsed)
				}
				return all
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held := parse()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				parse()
			}
			b.ReportMetric(float64(size), "text-B")
			b.ReportMetric(float64(len(texts)), "values")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-B")
			runtime.KeepAlive(held)
		})
	}
}

// BenchmarkGet measures the work of a watcher, and the bytes that it sends, when a peer asks for all documents.
func BenchmarkGet(b *testing.B) {
	for _, replicas := range []int{500, 1000, 3000, 7000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			holder := configuration.NewHolder(nil)
			text := catalogue.New(makeServices(0, replicas/2)).Format()
			if _, err := holder.Adopt(configuration.Document{Key: configuration.CatalogueKey, Revision: 1, Text: []byte(text)}, configuration.Source{}); err != nil {
				b.Fatal(err)
			}
			sent := 0
			b.ReportAllocs()
			for b.Loop() {
				documents, _ := json.Marshal(holder.Newer(nil))
				answer, _ := json.Marshal(struct{ Document []byte }{documents})
				sent = len(answer)
			}
			b.ReportMetric(float64(sent), "sent-B")
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}

// BenchmarkPlan measures the choice of watchers, which each instance makes in every round.
func BenchmarkPlan(b *testing.B) {
	for _, known := range []int{4, 64, 512, 5200} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			var entries []fleet.Entry
			for i := range known {
				entries = append(entries, fleet.Entry{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Zone: fleet.ZoneID(fmt.Sprint("zone-", i%max(1, min(12, known/4))))})
			}
			view := fleet.NewView(entries, nil)
			b.ReportAllocs()
			for b.Loop() {
				configuration.NewPlan(view, entries[0], func(fleet.Entry) bool { return true })
			}
		})
	}
}

// measureAdoption runs one case on fake time and returns how long the slowest running instance took to adopt a change.
// disturb runs before the change is written and restore after it.
func measureAdoption(size int, phase time.Duration, disturb func(*cluster), restore func(*cluster)) (took time.Duration) {
	body := func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size)
			c.putCatalogue()
			c.startAll(1)
			time.Sleep(30*time.Second + phase)
			disturb(c)
			revision := c.putCatalogue()
			restore(c)
			start := time.Now()
			for len(c.outdated(revision)) > 0 && time.Since(start) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(start)
			c.stopAll()
		})
	}
	if !testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "in-force", F: body}}) {
		panic("the measurement failed")
	}
	return took
}

// BenchmarkInForce reports the longest time from a write to the last adoption, with the real Distributor over a network
// with a delay of 1 ms. A watcher that is stopped stays on the list of every instance. If a zone is cut off, the time
// counts from the end of the cut.
func BenchmarkInForce(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	nothing := func(*cluster) {}
	cases := []struct {
		name             string
		maxSize          int
		phaseStep        time.Duration
		disturb, restore func(*cluster)
	}{
		{"undisturbed", 16, 250 * time.Millisecond, nothing, nothing},
		{"one-watcher-stopped", 16, 250 * time.Millisecond, func(c *cluster) { c.killWatchers(1) }, nothing},
		{"all-watchers-of-a-zone-stopped", 16, 250 * time.Millisecond, func(c *cluster) { c.killWatchers(2) }, nothing},
		{"notifications-lost", 16, 250 * time.Millisecond, func(c *cluster) { c.mutex.Lock(); c.dropsNotifications = true; c.mutex.Unlock() }, nothing},
		{"zone-cut-for-an-hour", 4, time.Second, func(c *cluster) { c.cutZone("a") }, func(c *cluster) { time.Sleep(time.Hour); c.heal() }},
	}
	for _, tc := range cases {
		for _, size := range slices.Compact([]int{4, tc.maxSize}) {
			b.Run(fmt.Sprintf("%s/entries=%d", tc.name, size), func(b *testing.B) {
				var took time.Duration
				for range b.N {
					// All instances start together, so their rounds are in step; a change is written at several phases
					// of a round.
					for phase := 5 * time.Millisecond; phase < time.Second; phase += tc.phaseStep {
						took = max(took, measureAdoption(size, phase, tc.disturb, tc.restore))
					}
				}
				b.ReportMetric(float64(took.Milliseconds()), "in-force-ms")
			})
		}
	}
}

// killWatchers stops the given number of watchers of zone a; they stay listed.
func (c *cluster) killWatchers(count int) {
	plan := configuration.NewPlan(c.view, fleet.Entry{ID: "zz", Zone: "b"}, func(fleet.Entry) bool { return true })
	for _, id := range plan.OtherZoneWatchers {
		if n := c.node(id); n.entry.Zone == "a" && count > 0 {
			n.kill()
			count--
		}
	}
}

// cutZone cuts a zone off from the store and from the other zones.
func (c *cluster) cutZone(zone fleet.ZoneID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		if n.entry.Zone == zone {
			n.transport.Partitioned.Store(true)
		} else {
			c.cut[[2]fleet.ZoneID{zone, n.entry.Zone}] = true
		}
	}
}
