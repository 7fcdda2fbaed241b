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

// segmentServices is how many services fit into one value of the store.
const segmentServices = 3500

func servicesOf(from, to int) []catalogue.Service {
	var services []catalogue.Service
	for i := from; i < to; i++ {
		services = append(services, catalogue.Service{
			ID: fleet.ServiceID(fmt.Sprintf("bib-index-%05d", i)), Owner: "race-control", Application: "marshal-search", Class: catalogue.Interactive, Idempotent: true,
			Slots: 3, Connections: 30, ConnectCost: 6 * time.Millisecond, Deadline: 140 * time.Millisecond,
			CoverageFloor: 0.95, LatencyObjective: 100 * time.Millisecond, ObjectivePercent: 99,
		})
	}
	return services
}

// BenchmarkCatalogue parses the catalogue of a fleet with two replicas of each service. A catalogue that no
// single value holds is cut into segments, which stand for the split that the target needs.
func BenchmarkCatalogue(b *testing.B) {
	for _, replicas := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var texts []string
			size := 0
			for from := 0; from < replicas/2; from += segmentServices {
				text := catalogue.New(servicesOf(from, min(from+segmentServices, replicas/2))).Format()
				texts = append(texts, text)
				size += len(text)
			}
			parse := func() []catalogue.Catalogue {
				var all []catalogue.Catalogue
				for _, text := range texts {
					parsed, faults := catalogue.Parse(configuration.Key, text)
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

// BenchmarkGet measures what a relay does and sends when a peer asks for all documents.
func BenchmarkGet(b *testing.B) {
	for _, replicas := range []int{500, 1000, 3000, 7000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			holder := configuration.NewHolder(nil)
			text := catalogue.New(servicesOf(0, replicas/2)).Format()
			if _, err := holder.Adopt(configuration.Document{Key: configuration.Key, Revision: 1, Text: []byte(text)}, configuration.Source{}); err != nil {
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

// BenchmarkPlan measures the choice of watchers and relays, which each instance makes in every round.
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

// inForce plays one case on fake time and returns how long the slowest running instance took to adopt a change.
func inForce(size int, phase time.Duration, disturb func(*cluster), undisturbed func(*cluster)) (took time.Duration) {
	body := func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size)
			c.put()
			c.startAll(1)
			time.Sleep(30*time.Second + phase)
			disturb(c)
			revision := c.put()
			undisturbed(c)
			start := time.Now()
			for len(c.late(revision)) > 0 && time.Since(start) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(start)
			c.stopAll()
		})
	}
	if !testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "in-force", F: body}}) {
		panic("the experiment failed")
	}
	return took
}

// BenchmarkInForce gives the longest time from a write to the last adoption, with the real spreader over a network of
// 1 ms. A frozen relay stays on everyone's list. With a zone that is cut, time counts from the healing.
func BenchmarkInForce(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	nothing := func(*cluster) {}
	cases := []struct {
		name             string
		most             int
		step             time.Duration
		disturb, restore func(*cluster)
	}{
		{"undisturbed", 16, 250 * time.Millisecond, nothing, nothing},
		{"one-relay-frozen", 16, 250 * time.Millisecond, func(c *cluster) { c.freeze(1) }, nothing},
		{"all-relays-of-a-zone-frozen", 16, 250 * time.Millisecond, func(c *cluster) { c.freeze(2) }, nothing},
		{"notifications-lost", 16, 250 * time.Millisecond, func(c *cluster) { c.mutex.Lock(); c.dropsNotifications = true; c.mutex.Unlock() }, nothing},
		{"zone-cut-for-an-hour", 4, time.Second, func(c *cluster) { c.cutZone("a") }, func(c *cluster) { time.Sleep(time.Hour); c.heal() }},
	}
	for _, tc := range cases {
		for _, size := range slices.Compact([]int{4, tc.most}) {
			b.Run(fmt.Sprintf("%s/entries=%d", tc.name, size), func(b *testing.B) {
				var took time.Duration
				for range b.N {
					// All instances start together, so that their rounds do; a change meets them at several phases.
					for phase := 5 * time.Millisecond; phase < time.Second; phase += tc.step {
						took = max(took, inForce(size, phase, tc.disturb, tc.restore))
					}
				}
				b.ReportMetric(float64(took.Milliseconds()), "in-force-ms")
			})
		}
	}
}

// freeze stops the first watchers of zone a; they stay listed.
func (c *cluster) freeze(count int) {
	plan := configuration.NewPlan(c.view, fleet.Entry{ID: "zz", Zone: "b"}, func(fleet.Entry) bool { return true })
	for _, id := range plan.Far {
		if n := c.node(id); n.entry.Zone == "a" && count > 0 {
			n.kill()
			count--
		}
	}
}

// cutZone cuts the zone from the store and from the other zones.
func (c *cluster) cutZone(zone fleet.ZoneID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		if n.entry.Zone == zone {
			n.transport.Cut.Store(true)
		} else {
			c.cut[[2]fleet.ZoneID{zone, n.entry.Zone}] = true
		}
	}
}
