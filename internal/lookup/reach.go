package lookup

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// isolationEvidence is the least number of silent replicas in other zones that show a cut: fewer may have failed by
	// themselves at the same time.
	isolationEvidence = 4
	// soundFor is how long an answer from another zone shows that it is reached.
	soundFor = 300 * time.Millisecond
	// probeInterval is how often replicas of other zones are tried while this instance is cut off.
	probeInterval = 250 * time.Millisecond
	// probesAtOnce is how many of them are tried together.
	probesAtOnce = 3
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
	// trialInterval is how often a request is let through that most likely cannot reach its floor, to find out whether
	// replicas are back.
	trialInterval = 200 * time.Millisecond
)

// Prober opens a connection to a replica.
type Prober interface {
	Probe(ctx context.Context, to directory.Replica) error
}

// contact is what is known of the replicas in one zone.
type contact struct {
	silent int
	sound  bool
}

// isolated decides from the contact to the other zones whether this instance is cut off from all of them: silent
// replicas in number, and none that answers. It answers a zone that is cut off from the others while its callers still
// reach it; most of their requests cannot be served here, but can be elsewhere.
func isolated(remote map[fleet.ZoneID]contact) bool {
	silent := 0
	for _, zone := range remote {
		if zone.sound {
			return false
		}
		silent += zone.silent
	}
	return silent >= isolationEvidence
}

// isolation is the engine's belief about its own place in the network.
type isolation struct {
	mutex sync.Mutex
	since time.Time // zero while not isolated
}

// Isolated tells whether this instance is cut off from the replicas of every other zone and therefore cannot serve most
// requests. It is cheap enough for every question of the balancer.
func (e *Engine) Isolated() bool {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	return !e.isolation.since.IsZero()
}

// WatchIsolation keeps the belief up to date until ctx ends.
func (e *Engine) WatchIsolation(ctx context.Context, prober Prober) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.checkIsolation(ctx, prober, now)
		}
	}
}

func (e *Engine) checkIsolation(ctx context.Context, prober Prober, now time.Time) {
	if !e.Isolated() {
		remote := e.contacts(now)
		if isolated(remote) && !e.reachesFloors(now) {
			e.setIsolated(now)
			klog.InfoS("Isolated", "zone", e.zone, "contacts", len(remote))
		}
		return
	}
	if !e.probe(ctx, prober, now) {
		return
	}
	for _, m := range e.remotes() {
		m.load.revive()
	}
	e.setIsolated(time.Time{})
	klog.InfoS("Isolation ended", "zone", e.zone)
}

func (e *Engine) setIsolated(since time.Time) {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	e.isolation.since = since
}

// remotes returns the replicas in other zones.
func (e *Engine) remotes() []member {
	var all []member
	for _, g := range e.plan.Load().groups {
		for i := range g.members {
			if !g.members[i].local {
				all = append(all, g.members[i])
			}
		}
	}
	return all
}

func (e *Engine) contacts(now time.Time) map[fleet.ZoneID]contact {
	zones := make(map[fleet.ZoneID]contact)
	for _, m := range e.remotes() {
		zone := zones[m.Zone]
		silent, sound := m.load.contact(now)
		if silent {
			zone.silent++
		}
		zone.sound = zone.sound || sound
		zones[m.Zone] = zone
	}
	return zones
}

// reachesFloors tells whether every route with shards can reach its floor now.
func (e *Engine) reachesFloors(now time.Time) bool {
	current := e.plan.Load()
	if current.table == nil {
		return true
	}
	for _, route := range current.table.Routes() {
		if len(route.Shards) > 0 && e.likely(current, route.Shards, now) < floorOf(route) {
			return false
		}
	}
	return true
}

// likely returns the number of services with a replica that is expected to answer.
func (e *Engine) likely(current *plan, services []fleet.ServiceID, now time.Time) int {
	count := 0
	for _, service := range services {
		if e.answers(current.groups[service], now) {
			count++
		}
	}
	return count
}

// answers tells whether a replica of the group is expected to answer; the group may be nil.
func (*Engine) answers(g *group, now time.Time) bool {
	if g == nil {
		return false
	}
	for i := range g.members {
		if !g.members[i].load.silentNow(now) {
			return true
		}
	}
	return false
}

// probe tries some replicas of other zones and tells whether one was reached.
func (e *Engine) probe(ctx context.Context, prober Prober, now time.Time) bool {
	remotes := e.remotes()
	if len(remotes) == 0 {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make(chan bool, probesAtOnce)
	start := int(now.UnixNano() / int64(probeInterval) * probesAtOnce % int64(len(remotes)))
	for i := range probesAtOnce {
		m := remotes[(start+i)%len(remotes)]
		go func() { reached <- prober.Probe(bounded, m.Replica) == nil }()
	}
	found := false
	for range probesAtOnce {
		found = <-reached || found
	}
	return found
}

// mayTry lets one request through in each interval.
func (e *Engine) mayTry(now time.Time) bool {
	last := e.tried.Load()
	return now.UnixNano()-last >= int64(trialInterval) && e.tried.CompareAndSwap(last, now.UnixNano())
}
