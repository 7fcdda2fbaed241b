package schedule

// One run: a cluster, the episodes of its seed, and what is noted for the checks.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

const (
	search     = "marshal-search"
	settlement = "corral-ledger"
	// settleBound is the time after the last fault within which every instance answers whole again: the claim delay
	// of 1.5 s, a period of the instance list of 1 s and the 5 s for a configuration, with the start of a process.
	settleBound = 10 * time.Second
)

// span is a time during which an entry instance could not take part.
type span struct{ from, to time.Time }

// change is a write that the store is known to have taken.
type change struct {
	at       time.Time
	revision uint64
}

// run is one schedule; the mutex guards what several goroutines note.
type run struct {
	t       *testing.T
	cluster *cluster.Cluster
	load    *load
	monitor *monitor
	random  *rand.Rand
	version atomic.Uint64
	// chosen holds the entry instances that a fault of the present episode hits.
	chosen map[int]bool
	// allowance tells that the present episode pauses an entry instance or cuts one direction within a zone, and downs
	// that it takes a server's connections.
	allowance, downs atomic.Bool

	mutex sync.Mutex
	// impaired holds when the process of an instance was gone or stopped, blind when it could learn of no change.
	impaired map[int][]span
	blind    map[int][]span
	cuts     map[string]int
	accepted []change
	out      []outage
	broken   []string
}

// outage is the time during which a zone was out.
type outage struct {
	zone string
	span
}

func (r *run) breach(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, arguments...))
}

// impair notes that the process of an instance is gone or stopped.
func (r *run) impair(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.impaired[n] = append(r.impaired[n], span{from: time.Now()})
	r.blind[n] = append(r.blind[n], span{from: time.Now()})
}

func (r *run) repair(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.impaired[n][len(r.impaired[n])-1].to = time.Now()
	r.blind[n][len(r.blind[n])-1].to = time.Now()
}

// hide notes that an instance cannot learn of a change from now on.
func (r *run) hide(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blind[n] = append(r.blind[n], span{from: time.Now()})
}

func (r *run) show(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Another impairment of the instance may have begun meanwhile.
	for at := range r.blind[n] {
		if r.blind[n][at].to.IsZero() {
			r.blind[n][at].to = time.Now()
		}
	}
}

// restarted notes a new process: it learns the configuration from then on.
func (r *run) restarted(n int) {
	r.hide(n)
	r.show(n)
}

func (r *run) hideAll(begin bool) {
	for n := range r.cluster.Entries {
		if begin {
			r.hide(n)
		} else {
			r.show(n)
		}
	}
}

// cut notes a cut of a zone. With both its cuts a zone cannot learn of a change.
func (r *run) cut(zone string, begin bool) {
	r.mutex.Lock()
	before := r.cuts[zone]
	if begin {
		r.cuts[zone]++
	} else {
		r.cuts[zone]--
	}
	after := r.cuts[zone]
	r.mutex.Unlock()
	for n, e := range r.cluster.Entries {
		if e.Zone == zone && before == 1 && after == 2 {
			r.hide(n)
		}
		if e.Zone == zone && before == 2 && after == 1 {
			r.show(n)
		}
	}
}

func (r *run) zoneTakenOut(zone string, out bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if out {
		r.out = append(r.out, outage{zone, span{from: time.Now()}})
		return
	}
	r.out[len(r.out)-1].to = time.Now()
}

// lastOf returns the end of the last of the spans that touch the time after from and began before until; from if
// there is none, and false while one goes on.
func lastOf(spans []span, from, until time.Time) (time.Time, bool) {
	last := from
	for _, s := range spans {
		if s.to.IsZero() && s.from.Before(until) {
			return last, false
		}
		if s.to.After(last) && s.from.Before(until) {
			last = s.to
		}
	}
	return last, true
}

// learns returns from when on an instance could learn of what happened at a time.
func (r *run) learns(n int, from, until time.Time) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lastOf(r.blind[n], from, until)
}

// worked tells whether the process of an instance was there all the time.
func (r *run) worked(n int, from, until time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, ended := lastOf(r.impaired[n], from, until)
	return ended && last.Equal(from)
}

// allLearn returns from when on every instance could learn of what happened at a time.
func (r *run) allLearn(from, until time.Time) time.Time {
	last := from
	for n := range r.cluster.Entries {
		at, ended := r.learns(n, from, until)
		if !ended {
			return until
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// edit makes a change as an operator does who tries again after a conflict or an outage.
func (r *run) edit(ctx context.Context, operator uint64, apply func(catalogue.Catalogue) catalogue.Catalogue) error {
	for {
		err := r.editOnce(ctx, operator, apply)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *run) editOnce(ctx context.Context, operator uint64, apply func(catalogue.Catalogue) catalogue.Catalogue) error {
	bounded, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	accepted, err := r.cluster.NewEditor(operator).Apply(bounded, configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) { return apply(current), nil },
	})
	if err == nil {
		r.mutex.Lock()
		r.accepted = append(r.accepted, change{time.Now(), accepted.Revision})
		r.mutex.Unlock()
	}
	return err
}

// start starts the cluster, its load and its monitor. The returned function ends the load and waits for it.
func start(ctx context.Context, t *testing.T, seed uint64) (*run, func()) {
	t.Helper()
	c, err := cluster.Start(ctx, cluster.Options{
		Program: os.Args[0], Environment: []string{runVariable + "=1"}, Seed: seed, Applications: []string{search, settlement},
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerLag: time.Second, Relays: true,
	})
	t.Cleanup(c.Close)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{
		t: t, cluster: c, random: rand.New(rand.NewPCG(seed, 0)), impaired: make(map[int][]span), blind: make(map[int][]span), cuts: make(map[string]int),
		load: newLoad(c, seed), monitor: newMonitor(c),
	}
	r.version.Store(1)
	bounded, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.load.run(bounded) })
	group.Go(func() { r.monitor.run(bounded) })
	return r, func() {
		stop()
		group.Wait()
	}
}

// episode has one or two faults at a time and waits until the cluster has recovered.
func (r *run) episode(ctx context.Context, number int, chosen ...kind) {
	r.chosen = make(map[int]bool)
	r.allowance.Store(false)
	r.downs.Store(false)
	faults := make([]fault, len(chosen))
	name := fmt.Sprintf("episode %d:", number)
	for n, k := range chosen {
		faults[n] = k.draw(r, r.random)
		name += fmt.Sprintf(" %s (%s)", k.name, faults[n].on)
	}
	before := len(r.broken)
	begun := time.Now()
	if err := r.cluster.ResetObserved(ctx); err != nil {
		r.breach("%s: reset: %v", name, err)
	}
	r.monitor.begin()
	var group sync.WaitGroup
	for _, f := range faults {
		group.Go(func() {
			if err := f.start(ctx); err != nil {
				r.breach("%s: start: %v", name, err)
			}
			time.Sleep(f.span)
			if err := f.stop(ctx); err != nil {
				r.breach("%s: stop: %v", name, err)
			}
		})
	}
	// Every episode has a change of the configuration, in the middle of its faults.
	group.Go(func() {
		time.Sleep(500 * time.Millisecond)
		err := r.edit(ctx, uint64(1000+number), func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithInstanceOut("entry-30", number%2 == 0)
		})
		if err != nil {
			r.breach("%s: edit: %v", name, err)
		}
	})
	// A burst fills the slots of the servers while the faults last.
	time.AfterFunc(time.Second, func() { r.load.burst(-1, bursts) })
	group.Wait()
	r.settle(ctx)
	r.checkServers(ctx)
	r.checkOutages()
	r.checkAdoption()
	for _, broken := range r.broken[before:] {
		r.t.Logf("%s: %s", name, broken)
	}
	r.t.Logf("%s: %d breaches, %.1f s", name, len(r.broken)-before, time.Since(begun).Seconds())
}

// settle waits until every entry instance answers whole again.
func (r *run) settle(ctx context.Context) {
	deadline := time.Now().Add(settleBound)
	for n := range r.cluster.Entries {
		for whole := 0; whole < 3; {
			if r.load.probe(ctx, n) {
				whole++
				continue
			}
			whole = 0
			if time.Now().After(deadline) {
				r.breach("recovery: %s does not answer whole %s after the faults", r.cluster.Entries[n].Name, settleBound)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
