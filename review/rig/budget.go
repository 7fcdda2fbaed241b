package main

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// budgetWorld is a deployment of four instances in three zones with one service of four replicas, and what is counted for
// the rule BUDGET.
type budgetWorld struct {
	store    *store
	replicas []*replica
	all      []*instance
	began    time.Time

	lock     sync.Mutex
	arrivals []budgetArrival
	sent     []time.Time
	seen     map[string]bool

	answered, unanswered atomic.Int64
}

type budgetArrival struct {
	at    time.Time
	extra bool // beyond the first of its request
}

const (
	retryRatio    = 0.2 // retry_budget_ratio
	retryConstant = 52  // retry_budget_extra
)

func newBudgetWorld() *budgetWorld {
	b := &budgetWorld{store: newStore(), seen: map[string]bool{}, began: time.Now()}
	zones := []string{"lima-a", "lima-a", "lima-b", "lima-c"}
	for n := range 4 {
		b.replicas = append(b.replicas, newReplica(fmt.Sprintf("i-%d", n), "lots", zones[n], 40*time.Millisecond, b.arrived))
	}
	o := &operator{store: b.store, service: "lots", services: []string{"lots"}}
	o.write()
	beat(b.store, b.replicas)
	for n, zone := range zones {
		b.all = append(b.all, newInstance(n+1, zone, b.store.address, 284, true))
	}
	return b
}

func (b *budgetWorld) arrived(r *replica, id string) {
	b.lock.Lock()
	b.arrivals = append(b.arrivals, budgetArrival{time.Now(), b.seen[id]})
	b.seen[id] = true
	b.lock.Unlock()
	record("replica  %s runs %s", r.id, id)
}

// send sends 22.5 requests a second until the end, of requesters that repeat once after a failure. From greyFrom on, all
// replicas fail 0.6 of the requests for greyFor.
func (b *budgetWorld) send(greyFrom, greyFor, end time.Duration) {
	var number atomic.Int64
	var callers sync.WaitGroup
	for next := time.Now(); next.Before(b.began.Add(end)); next = next.Add(time.Second * 2 / 45) {
		time.Sleep(time.Until(next))
		share := int64(0)
		if at := time.Since(b.began); at >= greyFrom && at < greyFrom+greyFor {
			share = 600
		}
		for _, r := range b.replicas {
			r.failShare.Store(share)
		}
		callers.Go(func() {
			home := number.Add(1)
			for try := range int64(2) {
				i := b.all[(home+try)%int64(len(b.all))]
				c, id := &caller{address: i.front}, newID()
				b.lock.Lock()
				b.sent = append(b.sent, time.Now())
				b.lock.Unlock()
				a := c.do("GET", "pupu76.example", "/lot/"+id, id, 4*time.Second, nil)
				c.close()
				record("caller   %s at %s: %d %v", id, i.name, a.status, a.err)
				if a.err == nil && a.status == 200 {
					b.answered.Add(1)
					return
				}
				b.unanswered.Add(1)
			}
		})
	}
	callers.Wait()
}

// over returns by how much the arrivals beyond the first exceed the bound in the worst window.
func (b *budgetWorld) over(window time.Duration) float64 {
	sort.Slice(b.sent, func(x, y int) bool { return b.sent[x].Before(b.sent[y]) })
	between := func(from, to time.Time) int {
		first := sort.Search(len(b.sent), func(k int) bool { return b.sent[k].After(from) })
		last := sort.Search(len(b.sent), func(k int) bool { return b.sent[k].After(to) })
		return last - first
	}
	worst, line := -1e9, ""
	for _, last := range b.arrivals {
		from := last.at.Add(-window)
		extra := 0
		for _, a := range b.arrivals {
			if a.extra && a.at.After(from) && !a.at.After(last.at) {
				extra++
			}
		}
		requests := max(between(from, last.at), between(from.Add(-window), from), between(from.Add(-window/2), last.at.Add(-window/2)))
		allowed := retryRatio*float64(requests) + retryConstant
		if over := float64(extra) - allowed; over > worst {
			worst = over
			line = fmt.Sprintf("window   of %s to %.3f: %d arrivals beyond the first, %d requests, allowed %.1f", window, last.at.Sub(started).Seconds(), extra, requests, allowed)
		}
	}
	record("%s", line)
	return worst
}

// judge ends the run. The rule counts as broken only if it is for each of the windows.
func (b *budgetWorld) judge(windows ...time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	broken := true
	for _, window := range windows {
		over := b.over(window)
		verdictLine("result   windows of %s: at most %.1f arrivals beyond the first over the bound", window, over)
		broken = broken && over > 0
	}
	if broken {
		verdictLine("result   BUDGET is broken")
		exit(1)
	}
	verdictLine("result   the rule held")
	exit(0)
}

// windowCase: the settings name a longer retry_window_s, and the instances read it while they run. The window of the
// requests and extra sends that they count stands still for as long as the process had run before.
func windowCase() {
	const (
		changeAt = 45 * time.Second
		greyFrom = 70 * time.Second
		greyFor  = 18 * time.Second // two of 9 s
		length   = 90 * time.Second
	)
	b := newBudgetWorld()
	for _, i := range b.all {
		i.start()
	}
	awaitReady(b.all)
	windows := []time.Duration{10 * time.Second}
	if trouble {
		windows = append(windows, 20*time.Second)
		time.AfterFunc(time.Until(b.began.Add(changeAt)), func() {
			for n, i := range b.all {
				i.replaceSetting("bounds.retry_window_s=10", "bounds.retry_window_s=20")
				if n > 0 { // the settings file may also change without any signal
					i.signal(syscall.SIGHUP)
				}
				time.Sleep(time.Second)
			}
		})
	}
	time.Sleep(time.Until(b.began.Add(2 * time.Second)))
	b.send(greyFrom, greyFor, length)
	verdictLine("result   %d requests answered, %d failed", b.answered.Load(), b.unanswered.Load())
	b.judge(windows...)
}
