package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	freezeFor = 4 * time.Second
	// two storms of this kind come during the freeze
	quickStormTime = 1500 * time.Millisecond
	quickStormGap  = 60 * time.Millisecond
	applied        = 3 * time.Second // config_apply_ms
	inTouch        = 4 * time.Second // stable_window_ms
)

// backlogWorld is a deployment of three instances in three zones with two services, whose configuration has grown.
type backlogWorld struct {
	store    *store
	operator *operator
	all      []*instance
	memory   *memoryWatch
}

func newBacklogWorld(k *crowd, work time.Duration, memoryMB, growths int) *backlogWorld {
	w := &backlogWorld{store: newStore()}
	zones := []string{"lima-a", "lima-b", "lima-c"}
	var replicas []*replica
	for n := range 6 {
		replicas = append(replicas, newReplica(fmt.Sprintf("i-%d", n), "lots", zones[n%3], work, k.arrived))
		replicas = append(replicas, newReplica(fmt.Sprintf("i-%d", n+10), "lots-new", zones[n%3], work, k.arrived))
	}
	w.operator = &operator{store: w.store, service: "lots", services: []string{"lots", "lots-new"}}
	w.operator.write()
	beat(w.store, replicas)
	for n, zone := range zones {
		w.all = append(w.all, newInstance(n+1, zone, w.store.addressFor(zone), memoryMB, true))
	}
	for _, i := range w.all { // all machines start within 0.3 s of each other
		i.start()
		time.Sleep(145 * time.Millisecond)
	}
	awaitReady(w.all)
	w.memory = watchMemory(w.all)
	time.Sleep(time.Second)
	for range growths {
		if trouble {
			w.operator.more += growth
		}
		w.operator.write()
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	return w
}

// freezeInStorm freezes the first instance while the operator changes the configuration in quick succession. The last
// version, which is confirmed before the instance wakes, moves /lot/ to another service.
func (w *backlogWorld) freezeInStorm() (version int, confirmed time.Time) {
	// Each instance asks the store about once a second. The freeze comes while the first one is the next to ask.
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		next := w.store.lastPoll(w.all[0].zone).Add(120 * time.Millisecond)
		if next.Before(w.store.lastPoll(w.all[1].zone)) && next.Before(w.store.lastPoll(w.all[2].zone)) {
			break
		}
	}
	froze := time.Now()
	if trouble {
		w.all[0].signal(syscall.SIGSTOP)
		w.operator.storm(quickStormTime, quickStormGap)
		w.operator.storm(quickStormTime, quickStormGap)
	}
	w.operator.service = "lots-new"
	version, confirmed = w.operator.write()
	if trouble {
		time.Sleep(time.Until(froze.Add(freezeFor)))
		w.all[0].signal(syscall.SIGCONT)
	}
	return version, confirmed
}

// backlogCase: the instance that was frozen goes on with the old configuration. What changed meanwhile does not fit into
// one answer of the store that it reads, nor into one of a peer, and it asks for the same again and again.
func backlogCase() {
	k := newCrowd()
	type result struct {
		sent     time.Time
		instance string
		service  string
	}
	var results []result
	k.onAnswer = func(sent time.Time, at *instance, service string) {
		results = append(results, result{sent, at.name, service})
	}
	w := newBacklogWorld(k, 20*time.Millisecond, 414, 12) // the smallest machines of guaman-latch
	k.start(w.all, 2, 150*time.Millisecond, time.Now().Add(32*time.Second))
	time.Sleep(2 * time.Second)
	version, confirmed := w.freezeInStorm()
	from := time.Now().Add(inTouch)
	if earliest := confirmed.Add(applied); from.Before(earliest) {
		from = earliest
	}
	k.running.Wait()
	stale, lastStale, later := 0, time.Duration(0), 0
	for _, r := range results {
		if r.instance != w.all[0].name || !r.sent.After(from) {
			continue
		}
		later++
		if r.service == "lots" {
			stale++
			lastStale = max(lastStale, r.sent.Sub(confirmed))
		}
	}
	verdictLine("result   version %d moves /lot/ to lots-new; of %d requests sent to %s since it is in touch and later than %.0f s after the confirmation, run by the old service: %d, the last one sent %.1f s after the confirmation",
		version, later, w.all[0].name, applied.Seconds(), stale, lastStale.Seconds())
	if later == 0 {
		fatal(fmt.Errorf("no request was served"))
	}
	if stale > 0 {
		verdictLine("result   CONFIG is broken")
		exit(1)
	}
	verdictLine("result   the rule held")
	exit(0)
}

// peersCase: the instance that was frozen asks the others for what changed meanwhile, and these exceed their memory.
func peersCase() {
	k := newCrowd()
	w := newBacklogWorld(k, 180*time.Millisecond, 284, 15) // the smallest machines of pnky-lima
	k.start(w.all, 24, 150*time.Millisecond, time.Now().Add(30*time.Second))
	time.Sleep(2 * time.Second)
	w.freezeInStorm()
	k.running.Wait()
	verdictLine("result   %d requests served, ended over their memory: %v, passed on and closed without an answer: %v", k.served, w.memory.kills, k.lost)
	k.judgeLost(w.all[1:])
}
