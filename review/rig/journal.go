package main

import (
	"fmt"
	"time"
)

// journalCase: the operator grows the configuration by many routes and then changes it in quick succession. Each
// instance keeps each version, until it exceeds its memory.
func journalCase() {
	const (
		memoryMB  = 284 // of the smallest machines of the small deployments
		growths   = 13
		stormTime = 4 * time.Second
		stormGap  = 330 * time.Millisecond
		length    = 112 * time.Second
	)
	s, k := newStore(), newCrowd()
	var replicas []*replica
	for n := range 4 {
		replicas = append(replicas, newReplica(fmt.Sprintf("i-%d", n), "lots", []string{"lima-a", "lima-b"}[n%2], 180*time.Millisecond, k.arrived))
	}
	o := &operator{store: s, service: "lots", services: []string{"lots"}}
	o.write()
	beat(s, replicas)
	all := []*instance{newInstance(1, "lima-a", s.address, memoryMB, true), newInstance(1, "lima-b", s.address, memoryMB, true)}
	for _, i := range all {
		i.start()
	}
	awaitReady(all)
	memory := watchMemory(all)
	end := time.Now().Add(length)
	k.start(all, 24, 150*time.Millisecond, end)
	if trouble {
		time.Sleep(2 * time.Second)
		for range growths {
			o.more += growth
			o.write()
			time.Sleep(stormGap)
		}
		for time.Now().Before(end.Add(-stormTime)) && memory.count() < len(all) {
			o.storm(stormTime, stormGap)
			time.Sleep(200 * time.Millisecond)
		}
		k.lock.Lock()
		if soon := time.Now().Add(3 * time.Second); memory.count() == len(all) && soon.Before(k.end) {
			k.end = soon
		}
		k.lock.Unlock()
	}
	k.running.Wait()
	verdictLine("result   %d versions, %d requests served, ended over their memory: %v, passed on and closed without an answer: %v", o.version, k.served, memory.kills, k.lost)
	k.judgeLost(all)
}
