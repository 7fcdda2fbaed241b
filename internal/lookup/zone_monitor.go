package lookup

import (
	"context"
	"errors"
	"iter"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// zoneCheckInterval is the interval between two evaluations of the reachability of the other zones.
	zoneCheckInterval = 100 * time.Millisecond
	// unreachableSuspectTime is how long the replicas of an unreachable zone are treated as silent after each
	// evaluation.
	unreachableSuspectTime = 500 * time.Millisecond
	// maxProbesPerCheck bounds the probes of silent replicas that one check starts, and probeTimeout bounds each probe.
	maxProbesPerCheck = 8
	probeTimeout      = 200 * time.Millisecond
	// confirmUnreachableAfter is how long a zone is suspected before it counts as unreachable. It exceeds probeTimeout,
	// so that probes of the zone end before.
	confirmUnreachableAfter = 250 * time.Millisecond
	// maxProbesPerZone bounds the replicas of a suspected zone that one check probes, whether they are known to be
	// silent or not.
	maxProbesPerZone = 3
	// trialInterval is the interval at which a request that most likely cannot reach its coverage floor is sent anyway,
	// to find out whether replicas have recovered.
	trialInterval = 200 * time.Millisecond
	// balancerDelay is how long the load balancer goes on sending callers to an instance that is no longer ready: it
	// checks readiness once a second and removes the instance after two negative answers.
	balancerDelay = 2200 * time.Millisecond
)

// Prober checks whether a replica accepts connections. An error with the reason verdict.Overloaded means that no further
// connection is permitted, which says nothing about the replica.
type Prober interface {
	Probe(ctx context.Context, to directory.Replica) error
	// Refuses reports whether the replica's address refuses connections, as that of a process that has ended does. It
	// returns false if there is no answer in time.
	Refuses(ctx context.Context, to directory.Replica) bool
}

// zoneMonitor tracks which other zones are unreachable. A suspected zone counts as unreachable only after replicas of
// it that were not known to be silent have been probed without success: the silent ones may belong to shards that are
// down for every instance.
type zoneMonitor struct {
	suspectedSince map[fleet.ZoneID]time.Time // when the suspicion began
	unreachable    map[fleet.ZoneID]bool      // as of the last evaluation
	newlySuspected []fleet.ZoneID             // suspected since the last evaluation
}

// evaluate returns the zones that are unreachable, and whether any zone is suspected, by this instance or another one,
// so that replicas of it should be probed.
func (m *zoneMonitor) evaluate(remote map[fleet.ZoneID]remoteZone, now time.Time) (unreachable map[fleet.ZoneID]bool, anySuspected bool) {
	unreachable = make(map[fleet.ZoneID]bool)
	m.newlySuspected = m.newlySuspected[:0]
	for id, zone := range remote {
		since, known := m.suspectedSince[id]
		switch {
		case !zone.suspected():
			delete(m.suspectedSince, id)
		case !known:
			m.suspectedSince[id] = now
			m.newlySuspected = append(m.newlySuspected, id)
		case now.Sub(since) >= confirmUnreachableAfter:
			unreachable[id] = true
		}
	}
	m.logChanges(unreachable, remote)
	reported := false
	for _, zone := range remote {
		reported = reported || zone.reportedUnreachable
	}
	return unreachable, len(m.suspectedSince) > 0 || reported
}

func (m *zoneMonitor) logChanges(unreachable map[fleet.ZoneID]bool, remote map[fleet.ZoneID]remoteZone) {
	for id := range unreachable {
		if !m.unreachable[id] {
			klog.InfoS("Zone unreachable", "zone", id, "silent-replicas", remote[id].unansweredReplicas)
		}
	}
	for id := range m.unreachable {
		zone, listed := remote[id]
		switch {
		case unreachable[id]:
		case listed:
			klog.InfoS("Zone reachable again", "zone", id, "silent-replicas", zone.unansweredReplicas)
		default:
			klog.InfoS("Unreachable zone has no replicas left", "zone", id)
		}
	}
	m.unreachable = unreachable
}

// isIsolated reports whether this instance has lost contact with all other zones: at least one is unreachable and none
// has answered recently. It covers a zone that is cut off from the others while its callers still reach it: most of
// their requests cannot be served here, but can be served by instances of other zones.
func isIsolated(remote map[fleet.ZoneID]remoteZone, unreachable map[fleet.ZoneID]bool, now time.Time) bool {
	for _, zone := range remote {
		if zone.answeredRecently(now) {
			return false
		}
	}
	return len(unreachable) > 0
}

// isolation records since when this instance has been isolated from the other zones.
type isolation struct {
	mutex sync.Mutex
	since time.Time // zero while not isolated
}

// Isolated reports whether this instance is cut off from the replicas of every other zone and therefore cannot serve
// most requests. It is cheap enough to be called for every readiness check of the load balancer.
func (e *Engine) Isolated() bool {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	return !e.isolation.since.IsZero()
}

// MayBeIsolated reports whether the instance is isolated or most likely is: every other zone is suspected, and the
// replicas of the own zone do not meet the coverage floor of every route. It is meant for the load balancer, which
// moves callers after two negative answers in a row: a single false alarm has no effect, while waiting for certainty
// past one of its checks costs the callers another second.
func (e *Engine) MayBeIsolated(now time.Time) bool {
	if e.Isolated() {
		return true
	}
	remote := e.remoteZones(now)
	for _, zone := range remote {
		if !zone.suspected() {
			return false
		}
	}
	return len(remote) > 0 && !e.localZoneMeetsFloors(now)
}

// callerRetryAfter returns the time after which a caller should retry. If the instance is isolated, that is when the
// load balancer will send the caller to another instance; otherwise it is the default.
func (e *Engine) callerRetryAfter(now time.Time) time.Duration {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	if e.isolation.since.IsZero() {
		return defaultRetryAfter
	}
	return max(defaultRetryAfter, e.isolation.since.Add(balancerDelay).Sub(now))
}

// MonitorZones monitors the reachability of the other zones and probes silent replicas until ctx ends.
func (e *Engine) MonitorZones(ctx context.Context, prober Prober) {
	ticker := time.NewTicker(zoneCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.checkZones(ctx, prober, now)
		}
	}
}

func (e *Engine) checkZones(ctx context.Context, prober Prober, now time.Time) {
	defer panics.Recover("monitor zones", nil)
	e.expireInstances(now)
	e.checkPartition(ctx, prober, now)
	e.updateZones(ctx, prober, now)
	e.probeSilent(ctx, prober, now)
}

// updateZones evaluates the reachability of the other zones. It marks all replicas of an unreachable zone as suspected
// at once, so that no request has to time out at each of them, and updates whether this instance is isolated. The
// instance becomes isolated only while some route cannot meet its coverage floor.
func (e *Engine) updateZones(ctx context.Context, prober Prober, now time.Time) {
	remote := e.remoteZones(now)
	unreachable, anySuspected := e.zoneMonitor.evaluate(remote, now)
	for _, zone := range e.zoneMonitor.newlySuspected {
		e.reportZone(zone, now)
	}
	if anySuspected {
		e.probeZones(ctx, prober, remote, now)
	}
	if len(unreachable) > 0 {
		for _, m := range e.view.Load().remote {
			if unreachable[m.Zone] {
				m.health.suspectUntilAtLeast(now.Add(unreachableSuspectTime))
			}
		}
	}
	switch was, is := e.Isolated(), isIsolated(remote, unreachable, now); {
	case !was && is && !e.canMeetFloors(now):
		e.setIsolated(now)
		klog.InfoS("Isolated", "zone", e.zone, "zones-cut", len(unreachable), "zones", len(remote))
	case was && !is:
		e.setIsolated(time.Time{})
		klog.InfoS("Instance no longer isolated", "zone", e.zone)
	}
}

// probeZones probes some replicas of each zone that is suspected or has not answered recently, first those that are not
// known to be silent. One that accepts the connection shows that the zone is reachable.
func (e *Engine) probeZones(ctx context.Context, prober Prober, remote map[fleet.ZoneID]remoteZone, now time.Time) {
	started := make(map[fleet.ZoneID]int)
	for _, knownSilent := range []bool{false, true} {
		for m := range e.rotated(e.view.Load().remote) {
			zone := remote[m.Zone]
			if !zone.suspected() && zone.answeredRecently(now) || started[m.Zone] >= zone.maxProbes() || m.health.isSilent(now) != knownSilent {
				continue
			}
			if m.health.startProbe(now, true) {
				started[m.Zone]++
				e.startProbe(ctx, prober, m)
			}
		}
	}
}

// maxProbes returns how many replicas of the zone one check probes. One is enough for a zone that has merely not been
// asked lately, because an answer ends the probes, and each of them opens a connection.
func (z remoteZone) maxProbes() int {
	if z.suspected() || z.reportedUnreachable {
		return maxProbesPerZone
	}
	return 1
}

// rotated returns the members in order from a start that differs from call to call, so that a bound on their number
// does not always exclude the same ones.
func (e *Engine) rotated(members []*member) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		if len(members) == 0 {
			return
		}
		start := int(e.selections.Add(1) * 0x9e3779b97f4a7c15 >> 33 % uint64(len(members)))
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
		defer func() { m.health.endProbe(time.Now(), reached) }()
		defer panics.Recover("probe replica", nil)
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := prober.Probe(probeCtx, m.Replica)
		reached = err == nil
		if failure, ok := errors.AsType[*verdict.Error](err); err != nil && !(ok && failure.Reason == verdict.Overloaded) {
			e.partition.recordFailure(m.ID, time.Now())
		}
	}()
}

func (e *Engine) setIsolated(since time.Time) {
	e.isolation.mutex.Lock()
	defer e.isolation.mutex.Unlock()
	e.isolation.since = since
}

// canMeetFloors reports whether every route with shards can meet its coverage floor now.
func (e *Engine) canMeetFloors(now time.Time) bool {
	current := e.view.Load()
	if current.table == nil {
		return true
	}
	for _, route := range current.table.Routes() {
		if len(route.Shards) > 0 && current.shardCounts(route, now).expected() < requiredShards(route) {
			return false
		}
	}
	return true
}

// localZoneMeetsFloors reports whether every route with shards can meet its coverage floor with the replicas of the own
// zone alone.
func (e *Engine) localZoneMeetsFloors(now time.Time) bool {
	current := e.view.Load()
	for _, route := range current.table.Routes() {
		count := 0
		for _, service := range route.Shards {
			if current.groups[service].hasReplicaExpectedToAnswerIn(route, e.zone, now) {
				count++
			}
		}
		if len(route.Shards) > 0 && count < requiredShards(route) {
			return false
		}
	}
	return true
}

// hasReplicaExpectedToAnswerIn reports whether a replica in the zone that the route allows is expected to answer. The
// group may be nil.
func (g *replicaGroup) hasReplicaExpectedToAnswerIn(route *routing.Route, zone fleet.ZoneID, now time.Time) bool {
	return g != nil && slices.ContainsFunc(g.members, func(m member) bool {
		return m.Zone == zone && route.Allows(m.Region) && m.health.availability(now) != unavailable
	})
}

// probeSilent probes some of the silent replicas. One that accepts the connection becomes eligible for requests again,
// even before its suspicion ends. Without probes, an unreachable zone would not be found to be back, because no request
// is sent to it.
func (e *Engine) probeSilent(ctx context.Context, prober Prober, now time.Time) {
	started := 0
	for m := range e.rotated(e.view.Load().all) {
		if started == maxProbesPerCheck {
			return
		}
		if m.health.maybeSilent.Load() && m.health.startProbe(now, false) {
			started++
			e.startProbe(ctx, prober, m)
		}
	}
}

// admitTrial reports whether a trial request may be sent now; it allows one in each trialInterval.
func (e *Engine) admitTrial(now time.Time) bool {
	last := e.lastTrial.Load()
	return now.UnixNano()-last >= int64(trialInterval) && e.lastTrial.CompareAndSwap(last, now.UnixNano())
}
