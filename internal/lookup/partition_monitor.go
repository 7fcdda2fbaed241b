package lookup

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// suspectUnconnectable is the number of replicas to which the latest attempts to connect failed, while none to any
	// other replica succeeded, from which others are probed. An instance counts as partitioned from partitionUnconnectable
	// on: fewer may be down at the same time while nothing else needs a new connection.
	suspectUnconnectable   = 2
	partitionUnconnectable = 4
	// refutedFor is how long failures to connect to a replica do not count after a connection to another replica has
	// shown that this instance is not partitioned: the replica is down.
	refutedFor = 10 * time.Second
	// probesOfOthers is the number of other replicas that are probed at each check before the instance counts as
	// partitioned, and at most while it does.
	probesOfOthers = 3
)

// partitionMonitor tracks whether this instance is partitioned from all replicas: it opens no connection to any. Old
// connections may live on meanwhile. The monitor is safe for concurrent use.
type partitionMonitor struct {
	mutex sync.Mutex
	// failed holds the replicas to which connecting has failed since a connection was last opened.
	failed map[fleet.ServerID]struct{}
	// refuted holds the replicas whose failures do not count, with the time at which that began.
	refuted map[fleet.ServerID]time.Time
	// opened is the number of connections that had been opened at the last check.
	opened int64
	// suspectedSince is when the suspicion began; zero while there is none.
	suspectedSince time.Time
	// partitioned is written under the mutex and read without it.
	partitioned atomic.Bool
}

// recordFailure records that a connection to the replica could not be opened.
func (m *partitionMonitor) recordFailure(id fleet.ServerID, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Sub(m.refuted[id]) >= refutedFor {
		m.failed[id] = struct{}{}
	}
}

// newPartitionMonitor returns a monitor of an instance that is not partitioned.
func newPartitionMonitor() *partitionMonitor {
	return &partitionMonitor{failed: make(map[fleet.ServerID]struct{}), refuted: make(map[fleet.ServerID]time.Time)}
}

// partitionedSince returns when the partition began; ok is false if there is none.
func (m *partitionMonitor) partitionedSince() (since time.Time, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.suspectedSince, m.partitioned.Load()
}

// evaluate updates the state, given the number of connections that this instance has opened so far and the number of
// replicas. suspected reports whether replicas should be probed; ended is when the partition began if it has ended now.
func (m *partitionMonitor) evaluate(opened int64, replicas int, now time.Time) (suspected bool, ended time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if opened != m.opened {
		return false, m.refute(opened, now)
	}
	switch {
	case len(m.failed) < m.threshold(suspectUnconnectable, replicas):
		return false, ended
	case m.suspectedSince.IsZero():
		m.suspectedSince = now
	case !m.partitioned.Load() && now.Sub(m.suspectedSince) >= confirmUnreachableAfter && len(m.failed) >= m.threshold(partitionUnconnectable, replicas):
		m.partitioned.Store(true)
		klog.InfoS("Partitioned from all replicas", "unconnectable", len(m.failed), "replicas", replicas)
	}
	return true, ended
}

// threshold returns the given number of replicas, or fewer if there are not as many whose failures count.
func (m *partitionMonitor) threshold(wanted, replicas int) int {
	return max(1, min(wanted, replicas-len(m.refuted)))
}

// refute ends the suspicion or the partition, because a connection has been opened, and returns when the partition
// began; zero if there was none. The caller holds the mutex.
func (m *partitionMonitor) refute(opened int64, now time.Time) (ended time.Time) {
	partitioned := m.partitioned.Load()
	if partitioned {
		ended = m.suspectedSince
		klog.InfoS("No longer partitioned from all replicas", "after", now.Sub(m.suspectedSince))
	}
	for id, since := range m.refuted {
		if now.Sub(since) >= refutedFor {
			delete(m.refuted, id)
		}
	}
	if !partitioned {
		for id := range m.failed {
			m.refuted[id] = now
		}
	}
	m.opened, m.suspectedSince = opened, time.Time{}
	m.partitioned.Store(false)
	clear(m.failed)
	return ended
}

// mayTry reports whether the request may be sent to replicas that most likely do not answer, to find out whether they do
// again. While this instance is partitioned from all replicas, probes find that out.
func (e *Engine) mayTry(request *Request) bool {
	return !request.mayBeServedElsewhere() && !e.Partitioned()
}

// Partitioned reports whether this instance opens no connection to any replica.
func (e *Engine) Partitioned() bool { return e.partition.partitioned.Load() }

// checkPartition updates whether this instance is partitioned from all replicas. While that is suspected it probes
// replicas, first those that are not known to be silent. Once it is certain, replicas that have not answered since, over
// an old connection, are suspected of being silent at once, so that no request has to find out. At the end of a partition
// the suspicions that it caused end as well, so that the instance uses its own connections again at once.
func (e *Engine) checkPartition(ctx context.Context, prober Prober, now time.Time) {
	if e.openedConnections == nil {
		return
	}
	all := e.view.Load().all
	suspected, ended := e.partition.evaluate(e.openedConnections(), len(all), now)
	if !ended.IsZero() {
		for _, m := range all {
			m.health.endSuspicionSince(ended)
		}
	}
	if !suspected {
		return
	}
	if since, ok := e.partition.partitionedSince(); ok {
		for _, m := range all {
			m.health.suspectUnlessAnswered(since, now.Add(unreachableSuspectTime))
		}
	}
	started := 0
	for _, knownSilent := range []bool{false, true} {
		for m := range e.rotated(all) {
			if started == probesOfOthers {
				return
			}
			if m.health.isSilent(now) == knownSilent && m.health.startProbe(now, true) {
				started++
				e.startProbe(ctx, prober, m)
			}
		}
	}
}
