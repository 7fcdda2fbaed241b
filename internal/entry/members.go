package entry

// Keeps the membership up to date from heartbeats, the instance list and the configuration. fleet.Membership is a state
// machine for a single goroutine, so its events are serialised by a mutex. Readers on the request path use the
// ownership table and the reachability, which are immutable values that are replaced atomically.

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ownership"
	"github.com/medlarlatch/medlarlatch/internal/peer"
)

// members is the membership of this instance together with the views that readers derive from it. It is safe for
// concurrent use.
type members struct {
	self         fleet.Entry
	reachability atomic.Pointer[fleet.Reachability]
	table        atomic.Pointer[ownership.Table]
	// changed wakes applyChanges. It has a buffer of one, so that notifications that come before it reads are merged.
	changed chan struct{}

	mutex      sync.Mutex
	membership *fleet.Membership
	// appliedCatalogue is the catalogue that the table was computed with. The configuration can briefly have a newer
	// one, and a comparison with that one would miss a change that was reverted in the meantime.
	appliedCatalogue catalogue.Catalogue
}

func newMembers(self fleet.Entry) *members {
	m := &members{self: self, changed: make(chan struct{}, 1), membership: fleet.NewMembership(self)}
	reach := m.membership.Reachability()
	m.table.Store(ownership.NewTable(reach, m.serviceLimits))
	m.reachability.Store(reach)
	return m
}

// applyEvent applies one event to the membership and publishes the resulting views before it returns.
func (m *members) applyEvent(event func(membership *fleet.Membership, now time.Time) fleet.Change) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.publish(event(m.membership, time.Now()))
}

// publish stores the views that result from a change; the caller holds the mutex. The table is stored before the
// reachability, because an instance that was fenced must not count as fresh again while the table still holds its
// claims from before. Readers are notified after both are stored; otherwise they could apply the previous views and
// would not be notified of the new ones.
func (m *members) publish(change fleet.Change) {
	reach := m.membership.Reachability()
	if !change.Empty() {
		m.table.Store(m.table.Load().With(reach, change, m.serviceLimits))
	}
	m.reachability.Store(reach)
	if !change.Empty() {
		m.notifyChanged()
	}
}

// adoptCatalogue applies a new catalogue: the zones and instances that are out of service, and the limits of services
// that have changed. Readers are notified of every adoption, even if it changes no server.
func (m *members) adoptCatalogue(next catalogue.Catalogue) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := m.membership.SetOutOfService(time.Now(), next.ZonesOutOfService(), next.InstancesOutOfService())
	change.Services = append(change.Services, next.ServicesWithChangedLimits(m.appliedCatalogue)...)
	m.appliedCatalogue = next
	m.publish(change)
	m.notifyChanged()
}

// serviceLimits returns the limits of a service, or zeros if the catalogue lacks the service. The caller holds the
// mutex.
func (m *members) serviceLimits(id fleet.ServiceID) (slots, connections int) {
	entry, _ := m.appliedCatalogue.Service(id)
	return entry.Slots, entry.MaxConnections
}

// notifyChanged wakes the reader of changed unless a notification is already pending.
func (m *members) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Owner implements query.OwnerLookup. It returns the owner of a server, and whether there is one.
func (m *members) Owner(server fleet.ServerID) (fleet.InstanceID, bool) {
	return m.table.Load().Owner(server)
}

func (m *members) server(id fleet.ServerID) (fleet.Server, bool) {
	return m.reachability.Load().View().Server(id)
}

// address returns the address at which an instance accepts connections of peers, and whether it is known.
func (m *members) address(id fleet.InstanceID) (string, bool) {
	entry, ok := m.reachability.Load().View().Entry(id)
	return entry.PeerAddress, ok && entry.PeerAddress != ""
}

// entryFromHeartbeat returns the sender's entry from the instance list, updated from the heartbeat. If the list lacks
// the sender, the entry has no addresses. The caller holds the mutex.
func (m *members) entryFromHeartbeat(heartbeat peer.Heartbeat) fleet.Entry {
	entry, ok := m.membership.Reachability().View().Entry(heartbeat.Instance)
	if !ok {
		entry = fleet.Entry{ID: heartbeat.Instance, Region: m.self.Region}
	}
	entry.Zone, entry.Leaving = heartbeat.Zone, heartbeat.Leaving
	return entry
}

// heartbeatHandler answers the heartbeats of peers with heartbeats of this instance.
type heartbeatHandler struct{ *Instance }

// Heartbeat implements peer.HeartbeatHandler. The ownership table is replaced before the acknowledgement is sent.
func (h heartbeatHandler) Heartbeat(_ context.Context, from peer.Heartbeat) peer.Heartbeat {
	h.members.mutex.Lock()
	change := h.members.membership.HeartbeatReceived(time.Now(), h.members.entryFromHeartbeat(from), from.Released)
	h.members.publish(change)
	h.members.mutex.Unlock()
	h.recordPeerRevision(from.Instance, from.Revision)
	return h.newHeartbeat(from.Instance)
}

// newHeartbeat returns the heartbeat that this instance sends to a peer now.
func (i *Instance) newHeartbeat(to fleet.InstanceID) peer.Heartbeat {
	i.members.mutex.Lock()
	acknowledged, released := i.members.membership.Acknowledges(to), i.members.membership.Released()
	i.members.mutex.Unlock()
	return peer.Heartbeat{
		Instance: i.settings.Instance, Incarnation: i.runner.Incarnation(), Zone: i.settings.Zone,
		Acknowledged: acknowledged, Released: released, Revision: highestRevision(i.holder.Revisions()), Leaving: i.leaving.Load(),
	}
}

// runHeartbeats starts a heartbeat round every fleet.HeartbeatInterval until ctx ends, without waiting for the previous
// one to complete.
func (i *Instance) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(fleet.HeartbeatInterval)
	defer ticker.Stop()
	for {
		go i.heartbeatRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeatRound sends one heartbeat to each peer and returns when each has been answered or has failed.
func (i *Instance) heartbeatRound(ctx context.Context) {
	var peers []fleet.Entry
	i.members.applyEvent(func(m *fleet.Membership, now time.Time) (change fleet.Change) {
		peers, change = m.BeginRound(now)
		return change
	})
	var group sync.WaitGroup
	for _, to := range peers {
		group.Go(func() { i.sendHeartbeat(ctx, to) })
	}
	group.Wait()
}

// sendHeartbeat sends one heartbeat and applies the response or the failure to the membership.
func (i *Instance) sendHeartbeat(ctx context.Context, to fleet.Entry) {
	boundedCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	response, err := i.node.Heartbeat(boundedCtx, to.ID, i.newHeartbeat(to.ID))
	if ctx.Err() != nil {
		return
	}
	i.members.applyEvent(func(m *fleet.Membership, now time.Time) fleet.Change {
		if err != nil || response.Instance != to.ID {
			return m.HeartbeatFailed(now, to.ID, sent)
		}
		return m.HeartbeatAnswered(now, fleet.HeartbeatResponse{
			From: i.members.entryFromHeartbeat(response), Sent: sent,
			Acknowledged: response.Acknowledged, Released: response.Released,
		})
	})
	if err == nil {
		i.recordPeerRevision(to.ID, response.Revision)
	}
}

// pollInstanceList reads the instance list every listPollInterval until ctx ends. If the list cannot be read, the
// membership stays as it is.
func (i *Instance) pollInstanceList(ctx context.Context) {
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	readable := true
	for {
		entries, servers, err := i.list.Poll(ctx)
		if err == nil {
			i.members.applyEvent(func(m *fleet.Membership, now time.Time) fleet.Change {
				return m.ApplyInstanceList(now, entries, servers)
			})
			i.listLoaded.Store(true)
		}
		if readableNow := err == nil; readableNow != readable && ctx.Err() == nil {
			readable = readableNow
			klog.InfoS("Instance list readability changed", "readable", readableNow, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyChanges passes every change of the fleet or the configuration to replica.Owner and the query engine, and hands
// over the servers that this instance no longer owns. It returns when ctx ends.
func (i *Instance) applyChanges(ctx context.Context) {
	var claimed []fleet.ServerID
	cache := newIndexCache()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.members.changed:
		}
		table := i.members.table.Load()
		i.owner.Refresh()
		if view := i.holder.Current(); view != nil {
			parsed := cache.parsedIndexes(view)
			i.indexes.Store(&parsed)
			i.engine.Update(i.members.reachability.Load().View(), view.Catalogue, parsed)
		}
		claimedNow := table.Claimed()
		i.closeIdleConnections(claimedNow)
		i.handOver(ctx, table, lostClaims(claimed, claimedNow))
		claimed = claimedNow
	}
}

// lostClaims returns the servers that are in before but not in now. now must be in ascending order.
func lostClaims(before, now []fleet.ServerID) []fleet.ServerID {
	var removed []fleet.ServerID
	for _, id := range before {
		if _, found := slices.BinarySearch(now, id); !found {
			removed = append(removed, id)
		}
	}
	return removed
}
