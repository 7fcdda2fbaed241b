package schedule

// One run: a cluster, the episodes of its seed and the history that the checks use.

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
	// searchApplication sends each query to all shards; settlementApplication has requests that must not run twice.
	searchApplication     = "marshal-search"
	settlementApplication = "corral-ledger"
	// maxRecoveryTime is the time after the last fault within which every instance gives complete answers again: 1.5 s
	// claim delay, 1 s interval of the instance list, 5 s to adopt a configuration, and the start of a process.
	maxRecoveryTime = 10 * time.Second
)

// period is a period of time. A zero end means that it has not ended.
type period struct{ from, to time.Time }

// configChange is a configuration change that the store is known to have accepted.
type configChange struct {
	at       time.Time
	revision uint64
}

// run is the run of one schedule. The mutex guards the records that several goroutines write.
type run struct {
	t       *testing.T
	cluster *cluster.Cluster
	load    *load
	monitor *monitor
	random  *rand.Rand
	// version is the latest index version.
	version atomic.Uint64
	// faultedEntries holds the entry instances that a fault of the current episode kills, pauses or shuts down.
	faultedEntries map[int]bool
	// doubleSlotsAllowed is set if the current episode pauses an entry instance or cuts one direction within a zone:
	// two instances may then use the slots of a server for some time. serverConnectionsClosed is set if the episode
	// closes the connections of a server, which may then refuse connections.
	doubleSlotsAllowed, serverConnectionsClosed atomic.Bool

	mutex sync.Mutex
	// downtimes holds the periods in which the process of an instance was killed or paused, and configOutages those in
	// which the instance could not learn of configuration changes.
	downtimes     map[int][]period
	configOutages map[int][]period
	// zoneCuts counts the cuts of each zone that are in effect: from the other zones and from the platform.
	zoneCuts            map[string]int
	acceptedChanges     []configChange
	outOfServicePeriods []outOfServicePeriod
	violations          []string
}

// outOfServicePeriod is a period during which a zone was out of service.
type outOfServicePeriod struct {
	zone string
	period
}

// addViolation records a violation of a checked property, or a failure of the test itself.
func (r *run) addViolation(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

// beginDowntime records that the process of an instance is killed or paused.
func (r *run) beginDowntime(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.downtimes[n] = append(r.downtimes[n], period{from: time.Now()})
	r.configOutages[n] = append(r.configOutages[n], period{from: time.Now()})
}

// endDowntime records that the process of an instance runs again.
func (r *run) endDowntime(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.downtimes[n][len(r.downtimes[n])-1].to = time.Now()
	r.configOutages[n][len(r.configOutages[n])-1].to = time.Now()
}

// beginConfigOutage records that an instance cannot learn of configuration changes from now on.
func (r *run) beginConfigOutage(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.configOutages[n] = append(r.configOutages[n], period{from: time.Now()})
}

// endConfigOutages records that an instance can learn of configuration changes again.
func (r *run) endConfigOutages(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Several outages of the instance may have begun by now.
	for i := range r.configOutages[n] {
		if r.configOutages[n][i].to.IsZero() {
			r.configOutages[n][i].to = time.Now()
		}
	}
}

// recordRestart records that a new process of an instance starts, which learns the configuration from now on.
func (r *run) recordRestart(n int) {
	r.beginConfigOutage(n)
	r.endConfigOutages(n)
}

// recordConfigOutageOfAll records that the configuration outage of all instances begins or ends.
func (r *run) recordConfigOutageOfAll(begin bool) {
	for n := range r.cluster.Entries {
		if begin {
			r.beginConfigOutage(n)
		} else {
			r.endConfigOutages(n)
		}
	}
}

// recordCut records that a cut of a zone, from the other zones or from the platform, begins or ends. The instances of
// the zone cannot learn of configuration changes while both cuts are in effect.
func (r *run) recordCut(zone string, begin bool) {
	r.mutex.Lock()
	before := r.zoneCuts[zone]
	if begin {
		r.zoneCuts[zone]++
	} else {
		r.zoneCuts[zone]--
	}
	after := r.zoneCuts[zone]
	r.mutex.Unlock()
	for n, e := range r.cluster.Entries {
		if e.Zone == zone && before == 1 && after == 2 {
			r.beginConfigOutage(n)
		}
		if e.Zone == zone && before == 2 && after == 1 {
			r.endConfigOutages(n)
		}
	}
}

// recordZoneOut records that a zone was taken out of service or is about to be put back.
func (r *run) recordZoneOut(zone string, out bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if out {
		r.outOfServicePeriods = append(r.outOfServicePeriods, outOfServicePeriod{zone, period{from: time.Now()}})
		return
	}
	r.outOfServicePeriods[len(r.outOfServicePeriods)-1].to = time.Now()
}

// lastEnd returns the latest end of the periods that end after from and began before until, or from if there are none.
// It returns false if such a period has not ended.
func lastEnd(periods []period, from, until time.Time) (time.Time, bool) {
	last := from
	for _, s := range periods {
		if s.to.IsZero() && s.from.Before(until) {
			return last, false
		}
		if s.to.After(last) && s.from.Before(until) {
			last = s.to
		}
	}
	return last, true
}

// configReachableFrom returns the time from which an instance could learn of a configuration change made at the time
// from, considering the outages that began before until. It returns false if an outage has not ended.
func (r *run) configReachableFrom(n int, from, until time.Time) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lastEnd(r.configOutages[n], from, until)
}

// wasRunning reports whether the process of an instance ran during the whole period.
func (r *run) wasRunning(n int, from, until time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, ended := lastEnd(r.downtimes[n], from, until)
	return ended && last.Equal(from)
}

// configReachableByAllFrom returns the time from which every instance could learn of a configuration change made at the
// time from, or until if an outage has not ended.
func (r *run) configReachableByAllFrom(from, until time.Time) time.Time {
	last := from
	for n := range r.cluster.Entries {
		at, ended := r.configReachableFrom(n, from, until)
		if !ended {
			return until
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// edit makes a configuration change as an operator would who retries after a conflict or an outage.
func (r *run) edit(ctx context.Context, operator uint64, apply func(catalogue.Catalogue) catalogue.Catalogue) error {
	for {
		err := r.editOnce(ctx, operator, apply)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// editOnce makes one attempt at a configuration change and records the change if it was accepted.
func (r *run) editOnce(ctx context.Context, operator uint64, apply func(catalogue.Catalogue) catalogue.Catalogue) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	accepted, err := r.cluster.NewEditor(operator).Apply(timeoutCtx, configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) { return apply(current), nil },
	})
	if err == nil {
		r.mutex.Lock()
		r.acceptedChanges = append(r.acceptedChanges, configChange{time.Now(), accepted.Revision})
		r.mutex.Unlock()
	}
	return err
}

// start starts the cluster, its load and its monitor. The returned function stops the load and the monitor and waits
// for them.
func start(ctx context.Context, t *testing.T, seed uint64) (*run, func()) {
	t.Helper()
	started, err := cluster.Start(ctx, cluster.Options{
		Program: os.Args[0], Environment: []string{runEnvironmentVariable + "=1"}, Seed: seed, Applications: []string{searchApplication, settlementApplication},
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerDelay: time.Second, Relays: true,
	})
	t.Cleanup(started.Close)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{
		t: t, cluster: started, random: rand.New(rand.NewPCG(seed, 0)), downtimes: make(map[int][]period), configOutages: make(map[int][]period), zoneCuts: make(map[string]int),
		load: newLoad(started, seed), monitor: newMonitor(started),
	}
	r.version.Store(1)
	runCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.load.run(runCtx) })
	group.Go(func() { r.monitor.run(runCtx) })
	return r, func() {
		stop()
		group.Wait()
	}
}

// episode starts the faults together, waits until they have ended and the cluster has recovered, and checks the records
// of the episode.
func (r *run) episode(ctx context.Context, number int, kinds ...faultKind) {
	r.faultedEntries = make(map[int]bool)
	r.doubleSlotsAllowed.Store(false)
	r.serverConnectionsClosed.Store(false)
	faults := make([]fault, len(kinds))
	name := fmt.Sprintf("episode %d:", number)
	for n, k := range kinds {
		faults[n] = k.draw(r, r.random)
		name += fmt.Sprintf(" %s (%s)", k.name, faults[n].target)
	}
	before := len(r.violations)
	started := time.Now()
	if err := r.cluster.ResetObserved(ctx); err != nil {
		r.addViolation("%s: reset: %v", name, err)
	}
	r.monitor.resetServerReports()
	var group sync.WaitGroup
	for _, f := range faults {
		group.Go(func() {
			if err := f.start(ctx); err != nil {
				r.addViolation("%s: start: %v", name, err)
			}
			time.Sleep(f.duration)
			if err := f.stop(ctx); err != nil {
				r.addViolation("%s: stop: %v", name, err)
			}
		})
	}
	// Every episode has a configuration change while its faults are in effect.
	group.Go(func() {
		time.Sleep(500 * time.Millisecond)
		err := r.edit(ctx, uint64(1000+number), func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithInstanceOutOfService("entry-30", number%2 == 0)
		})
		if err != nil {
			r.addViolation("%s: edit: %v", name, err)
		}
	})
	// A burst fills the slots of the servers while the faults are in effect.
	time.AfterFunc(time.Second, func() { r.load.burst(-1, burstSize) })
	group.Wait()
	r.waitForRecovery(ctx)
	r.checkServers(ctx)
	r.checkOutOfServicePeriods()
	r.checkAdoption()
	for _, violation := range r.violations[before:] {
		r.t.Logf("%s: %s", name, violation)
	}
	r.t.Logf("%s: %d violations, %.1f s", name, len(r.violations)-before, time.Since(started).Seconds())
}

// waitForRecovery waits until every entry instance has given three complete answers in a row.
func (r *run) waitForRecovery(ctx context.Context) {
	deadline := time.Now().Add(maxRecoveryTime)
	for n := range r.cluster.Entries {
		for consecutive := 0; consecutive < 3; {
			if r.load.probe(ctx, n) {
				consecutive++
				continue
			}
			consecutive = 0
			if time.Now().After(deadline) {
				r.addViolation("recovery: %s does not give complete answers %s after the faults", r.cluster.Entries[n].Name, maxRecoveryTime)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
