package main

import (
	"strings"
	"sync"
	"time"
)

// registerCase: the store loses answers while the instances start, and executes the writes some seconds later. The
// processes are killed meanwhile and start again. The late write of the dead process takes the registration of the new
// one over to the dead one's lease.
func registerCase() {
	const (
		lostFor  = 4500 * time.Millisecond
		lateBy   = 5 * time.Second
		killAt   = 1500 * time.Millisecond
		greyFrom = 46 * time.Second
		greyFor  = 9 * time.Second
		length   = 60 * time.Second
	)
	b := newBudgetWorld()
	if trouble {
		// Of the writes of these 4.5 s, one of each instance gets no answer: 4 of some 28, those of the replicas counted.
		var lock sync.Mutex
		delayed := map[string]bool{}
		b.store.lateWrite = func(key string, _ uint64) time.Duration {
			lock.Lock()
			defer lock.Unlock()
			if time.Since(b.began) > lostFor || delayed[key] || !strings.HasPrefix(key, "medlarlatch/instances/") {
				return 0
			}
			delayed[key] = true
			return lateBy
		}
	}
	for _, i := range b.all {
		i.start()
	}
	awaitReady(b.all)
	if trouble {
		time.Sleep(time.Until(b.began.Add(killAt)))
		var kills sync.WaitGroup
		for _, i := range b.all {
			kills.Go(i.kill)
		}
		kills.Wait()
	}
	time.Sleep(time.Until(b.began.Add(10 * time.Second)))
	awaitReady(b.all)
	registered := func() (count int) {
		for _, i := range b.all {
			if b.store.has("medlarlatch/instances/" + i.name) {
				count++
			}
		}
		return count
	}
	record("platform traffic begins; registered instances: %d of %d", registered(), len(b.all))
	b.send(greyFrom, greyFor, length)
	verdictLine("result   registered instances at the end: %d of %d; %d requests answered, %d failed", registered(), len(b.all), b.answered.Load(), b.unanswered.Load())
	b.judge(10 * time.Second)
}
