package lookup

import (
	"context"
	"iter"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

const (
	// checkReach is how often the contact to other zones is judged.
	checkReach = 100 * time.Millisecond
	// cutSuspicion is how long the replicas of a zone that was found cut off are taken for silent at a time.
	cutSuspicion = 500 * time.Millisecond
	// probesAtOnce is how many silent replicas are tried together, and probeTimeout bounds each try.
	probesAtOnce = 8
	probeTimeout = 200 * time.Millisecond
	// doubtFor is how long a zone is in doubt before it is taken for cut off; probes end before.
	doubtFor = 250 * time.Millisecond
	// triesAZone is how many replicas of a zone in doubt are tried at each check, whether they are known to be silent or
	// not.
	triesAZone = 3
	// trialInterval is how often a request is let through that most likely cannot reach its floor, to find out whether
	// replicas are back.
	trialInterval = 200 * time.Millisecond
	// balancerDelay is how long the balancer goes on sending callers to an instance that has stopped being ready: it asks
	// once a second and takes the instance out after two answers.
	balancerDelay = 2200 * time.Millisecond
)

// Prober opens a connection to a replica.
type Prober interface {
	Probe(ctx context.Context, to directory.Replica) error
}

// reach judges the other zones from the contact to them. A zone in doubt is taken for cut off once replicas of it that
// were not known to be silent have been tried in vain: the silent ones may be shards that are down for everyone.
type reach struct {
	doubtful map[fleet.ZoneID]time.Time // when the doubt began
	cut      map[fleet.ZoneID]bool      // as judged last
	fresh    []fleet.ZoneID             // whose doubt has begun with the last judgement
}

// judge returns the zones that are cut off, and whether any is in doubt, here or elsewhere, so that replicas should be tried.
func (r *reach) judge(remote map[fleet.ZoneID]remoteZone, now time.Time) (cut map[fleet.ZoneID]bool, doubt bool) {
	cut = make(map[fleet.ZoneID]bool)
	r.fresh = r.fresh[:0]
	for id, zone := range remote {
		began, known := r.doubtful[id]
		switch {
		case !zone.doubtful():
			delete(r.doubtful, id)
		case !known:
			r.doubtful[id] = now
			r.fresh = append(r.fresh, id)
		case now.Sub(began) >= doubtFor:
			cut[id] = true
		}
	}
	r.log(cut, remote)
	told := false
	for _, zone := range remote {
		told = told || zone.told
	}
	return cut, len(r.doubtful) > 0 || told
}

func (r *reach) log(cut map[fleet.ZoneID]bool, remote map[fleet.ZoneID]remoteZone) {
	for id := range cut {
		if !r.cut[id] {
			klog.InfoS("Zone cut off", "zone", id, "silent-replicas", remote[id].unanswered)
		}
	}
	for id := range r.cut {
		zone, listed := remote[id]
		switch {
		case cut[id]:
		case listed:
			klog.InfoS("Zone reached again", "zone", id, "silent-replicas", zone.unanswered)
		default:
			klog.InfoS("Zone without replicas", "zone", id)
		}
	}
	r.cut = cut
}

// isolated decides whether this instance is cut off from all other zones: one is cut off and none answers. It answers a
// zone that is cut off while its callers still reach it; most of their requests cannot be served here, but can be
// elsewhere.
func isolated(remote map[fleet.ZoneID]remoteZone, cut map[fleet.ZoneID]bool, now time.Time) bool {
	for _, zone := range remote {
		if zone.sound(now) {
			return false
		}
	}
	return len(cut) > 0
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

// MayBeIsolated tells whether the instance is isolated, or most likely is: no other zone answers, and the own one does not reach
// every floor. It is for the balancer, which moves callers after two answers in a row: a wrong one changes nothing, while certainty
// that comes after one of its questions costs the callers another second.
func (e *Engine) MayBeIsolated(now time.Time) bool {
	if e.Isolated() {
		return true
	}
	remote := e.remoteZones(now)
	for _, zone := range remote {
		if !zone.doubtful() {
			return false
		}
	}
	return len(remote) > 0 && !e.reachesFloorsAlone(now)
}

// returnAfter tells a caller of an isolated instance when the balancer will send it elsewhere; otherwise it returns the
// usual time.
func (e *Engine) returnAfter(now time.Time) time.Duration {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	if e.isolation.since.IsZero() {
		return retryAfter
	}
	return max(retryAfter, e.isolation.since.Add(balancerDelay).Sub(now))
}

// WatchReach judges the contact to the other zones and tries silent replicas until ctx ends.
func (e *Engine) WatchReach(ctx context.Context, prober Prober) {
	ticker := time.NewTicker(checkReach)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.watch(ctx, prober, now)
		}
	}
}

func (e *Engine) watch(ctx context.Context, prober Prober, now time.Time) {
	defer panics.Recover("watch the reach", nil)
	e.judgeZones(ctx, prober, now)
	e.probe(ctx, prober, now)
}

// judgeZones takes every replica of a zone that is cut off for silent at once, instead of one after the other as each
// lets a request wait in vain.
func (e *Engine) judgeZones(ctx context.Context, prober Prober, now time.Time) {
	remote := e.remoteZones(now)
	cut, doubt := e.reach.judge(remote, now)
	for _, zone := range e.reach.fresh {
		e.reportZone(zone, now)
	}
	if doubt {
		e.tryZones(ctx, prober, remote, now)
	}
	if len(cut) > 0 {
		for _, m := range e.plan.Load().remote {
			if cut[m.Zone] {
				m.load.suspectUntil(now.Add(cutSuspicion))
			}
		}
	}
	switch was, is := e.Isolated(), isolated(remote, cut, now); {
	case !was && is && !e.reachesFloors(now):
		e.setIsolated(now)
		klog.InfoS("Isolated", "zone", e.zone, "zones-cut", len(cut), "zones", len(remote))
	case was && !is:
		e.setIsolated(time.Time{})
		klog.InfoS("Isolation ended", "zone", e.zone)
	}
}

// tryZones probes some replicas of each zone of which none has answered just now, first those that are not known to be silent:
// one that accepts shows that the zone is reached.
func (e *Engine) tryZones(ctx context.Context, prober Prober, remote map[fleet.ZoneID]remoteZone, now time.Time) {
	started := make(map[fleet.ZoneID]int)
	for _, knownSilent := range []bool{false, true} {
		for m := range e.scattered(e.plan.Load().remote) {
			zone := remote[m.Zone]
			if !zone.doubtful() && zone.sound(now) || started[m.Zone] >= triesAZone || m.load.isSilent(now) != knownSilent {
				continue
			}
			if m.load.startProbe(now, true) {
				started[m.Zone]++
				e.startProbe(ctx, prober, m)
			}
		}
	}
}

// scattered returns the members in an order that differs from call to call, so that a bound on their number does not always
// leave out the same ones.
func (e *Engine) scattered(members []*member) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		if len(members) == 0 {
			return
		}
		start := int(e.draw.Add(1) * 0x9e3779b97f4a7c15 >> 33 % uint64(len(members)))
		for i := range members {
			if !yield(members[(start+i)%len(members)]) {
				return
			}
		}
	}
}

func (e *Engine) startProbe(ctx context.Context, prober Prober, m *member) {
	go func() {
		reached := false
		defer func() { m.load.endProbe(time.Now(), reached) }()
		defer panics.Recover("probe", nil)
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		reached = prober.Probe(bounded, m.Replica) == nil
	}()
}

func (e *Engine) setIsolated(since time.Time) {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	e.isolation.since = since
}

// reachesFloors tells whether every route with shards can reach its floor now.
func (e *Engine) reachesFloors(now time.Time) bool {
	current := e.plan.Load()
	if current.table == nil {
		return true
	}
	for _, route := range current.table.Routes() {
		if len(route.Shards) > 0 && e.likely(current, route, now) < floorOf(route) {
			return false
		}
	}
	return true
}

// reachesFloorsAlone tells whether every route with shards can reach its floor with the replicas of the own zone.
func (e *Engine) reachesFloorsAlone(now time.Time) bool {
	current := e.plan.Load()
	for _, route := range current.table.Routes() {
		count := 0
		for _, service := range route.Shards {
			if current.groups[service].answersIn(route, e.zone, now) {
				count++
			}
		}
		if len(route.Shards) > 0 && count < floorOf(route) {
			return false
		}
	}
	return true
}

// answersIn tells whether a replica in the zone that the route allows is expected to answer; the group may be nil.
func (g *group) answersIn(route *routing.Route, zone fleet.ZoneID, now time.Time) bool {
	return g != nil && slices.ContainsFunc(g.members, func(m member) bool {
		return m.Zone == zone && route.Allows(m.Region) && m.load.mayAnswer(now)
	})
}

// likely returns the number of the route's shards with a replica that is expected to answer.
func (e *Engine) likely(current *plan, route *routing.Route, now time.Time) int {
	count := 0
	for _, service := range route.Shards {
		if e.answers(route, current.groups[service], now) {
			count++
		}
	}
	return count
}

// answers tells whether a replica of the group that the route allows is expected to answer; the group may be nil.
func (*Engine) answers(route *routing.Route, g *group, now time.Time) bool {
	if g == nil {
		return false
	}
	for i := range g.members {
		if route.Allows(g.members[i].Region) && g.members[i].load.mayAnswer(now) {
			return true
		}
	}
	return false
}

// probe opens connections to some of the silent replicas. One that accepts may get a request again, also before its
// suspicion ends. While a zone is cut off no request would ever show that it is back.
func (e *Engine) probe(ctx context.Context, prober Prober, now time.Time) {
	started := 0
	for m := range e.scattered(e.plan.Load().all) {
		if started == probesAtOnce {
			return
		}
		if m.load.uncertain.Load() && m.load.startProbe(now, false) {
			started++
			e.startProbe(ctx, prober, m)
		}
	}
}

// mayTry lets one request through in each interval.
func (e *Engine) mayTry(now time.Time) bool {
	last := e.tried.Load()
	return now.UnixNano()-last >= int64(trialInterval) && e.tried.CompareAndSwap(last, now.UnixNano())
}
