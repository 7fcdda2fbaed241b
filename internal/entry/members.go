package entry

// The membership is a state machine for one goroutine; here its events are serialised by a lock. Readers on the
// request path use the ownership table and the reachability, which are replaced as a whole.

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/peer"
	"github.com/medlarlatch/medlarlatch/internal/share"
)

type members struct {
	self  fleet.Entry
	reach atomic.Pointer[fleet.Reachability]
	table atomic.Pointer[share.Table]
	// changed wakes the goroutine that passes changes on.
	changed chan struct{}

	mutex      sync.Mutex
	membership *fleet.Membership
	// inForce is the catalogue that the table was computed with. The catalogue of the configuration can be a newer
	// one for a moment, and a comparison with it would miss a change that was undone meanwhile.
	inForce catalogue.Catalogue
}

func newMembers(self fleet.Entry) *members {
	m := &members{self: self, changed: make(chan struct{}, 1), membership: fleet.NewMembership(self)}
	reach := m.membership.Reachability()
	m.table.Store(share.NewTable(reach, m.limits))
	m.reach.Store(reach)
	return m
}

// apply feeds one event to the membership and replaces what depends on it before it returns.
func (m *members) apply(event func(membership *fleet.Membership, now time.Time) fleet.Change) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replace(event(m.membership, time.Now()))
}

// replace stores the table before the reachability: an instance that was fenced must not find itself fresh while
// the table still has the claims from before. Readers are woken after both, or they would pass the former view on and
// never hear of the new one.
func (m *members) replace(change fleet.Change) {
	reach := m.membership.Reachability()
	if !change.Empty() {
		m.table.Store(m.table.Load().With(reach, change, m.limits))
	}
	m.reach.Store(reach)
	if !change.Empty() {
		m.notify()
	}
}

// adopt applies a new catalogue: what operators have taken out, and the limits that differ. Readers of the table
// are told of every adoption, also of one that changes no server.
func (m *members) adopt(next catalogue.Catalogue) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := m.membership.TakeOut(time.Now(), next.ZonesOut(), next.InstancesOut())
	change.Services = append(change.Services, next.LimitsChanged(m.inForce)...)
	m.inForce = next
	m.replace(change)
	m.notify()
}

// limits is called with the lock held.
func (m *members) limits(id fleet.ServiceID) (slots, connections int) {
	entry, _ := m.inForce.Service(id)
	return entry.Slots, entry.Connections
}

func (m *members) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Route implements query.Router.
func (m *members) Route(server fleet.ServerID) (fleet.InstanceID, bool) {
	return m.table.Load().Route(server)
}

func (m *members) server(id fleet.ServerID) (fleet.Server, bool) {
	return m.reach.Load().View().Server(id)
}

func (m *members) address(id fleet.InstanceID) (string, bool) {
	entry, ok := m.reach.Load().View().Entry(id)
	return entry.Peers, ok && entry.Peers != ""
}

// entryOf completes a heartbeat with the addresses that the list has.
func (m *members) entryOf(beat peer.Heartbeat) fleet.Entry {
	entry, ok := m.membership.Reachability().View().Entry(beat.Instance)
	if !ok {
		entry = fleet.Entry{ID: beat.Instance, Region: m.self.Region}
	}
	entry.Zone, entry.Leaving = beat.Zone, beat.Leaving
	return entry
}

// heartbeats answers the heartbeats of peers.
type heartbeats struct{ *Instance }

// Heartbeat implements peer.HeartbeatHandler. The ownership table is replaced before the acknowledgement is sent.
func (h heartbeats) Heartbeat(_ context.Context, from peer.Heartbeat) peer.Heartbeat {
	h.members.mutex.Lock()
	change := h.members.membership.HeartbeatReceived(time.Now(), h.members.entryOf(from), from.Released)
	h.members.replace(change)
	h.members.mutex.Unlock()
	h.heardRevision(from.Instance, from.Revision)
	return h.heartbeat(from.Instance)
}

func (i *Instance) heartbeat(to fleet.InstanceID) peer.Heartbeat {
	i.members.mutex.Lock()
	acknowledged, released := i.members.membership.Acknowledges(to), i.members.membership.Released()
	i.members.mutex.Unlock()
	return peer.Heartbeat{
		Instance: i.settings.Instance, Incarnation: i.runner.Incarnation(), Zone: i.settings.Zone,
		Acknowledged: acknowledged, Released: released, Revision: latest(i.holder.Revisions()), Leaving: i.leaving.Load(),
	}
}

// beat runs heartbeat rounds until ctx ends.
func (i *Instance) beat(ctx context.Context) {
	ticker := time.NewTicker(fleet.HeartbeatInterval)
	defer ticker.Stop()
	for {
		go i.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round sends one heartbeat to each peer and returns when all have an outcome.
func (i *Instance) round(ctx context.Context) {
	var peers []fleet.Entry
	i.members.apply(func(m *fleet.Membership, now time.Time) (change fleet.Change) {
		peers, change = m.BeginRound(now)
		return change
	})
	var group sync.WaitGroup
	for _, to := range peers {
		group.Go(func() { i.beatOne(ctx, to) })
	}
	group.Wait()
}

func (i *Instance) beatOne(ctx context.Context, to fleet.Entry) {
	bounded, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := i.node.Heartbeat(bounded, to.ID, i.heartbeat(to.ID))
	if ctx.Err() != nil {
		return
	}
	i.members.apply(func(m *fleet.Membership, now time.Time) fleet.Change {
		if err != nil || reply.Instance != to.ID {
			return m.HeartbeatFailed(now, to.ID, sent)
		}
		return m.HeartbeatReplied(now, fleet.Reply{
			From: i.members.entryOf(reply), Sent: sent,
			Acknowledged: reply.Acknowledged, Released: reply.Released,
		})
	})
	if err == nil {
		i.heardRevision(to.ID, reply.Revision)
	}
}

// followList reads the instance list until ctx ends. A list that cannot be read leaves the view as it is.
func (i *Instance) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	working := true
	for {
		entries, servers, err := i.list.Poll(ctx)
		if err == nil {
			i.members.apply(func(m *fleet.Membership, now time.Time) fleet.Change { return m.Listed(now, entries, servers) })
			i.listed.Store(true)
		}
		if now := err == nil; now != working && ctx.Err() == nil {
			working = now
			klog.InfoS("Instance list", "readable", now, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followChanges passes every change of the fleet or the configuration to the owner and the engine, and hands
// over the servers that this instance no longer owns.
func (i *Instance) followChanges(ctx context.Context) {
	var claimed []fleet.ServerID
	indexes := newIndexes()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.members.changed:
		}
		table := i.members.table.Load()
		i.owner.Refresh()
		if view := i.holder.Current(); view != nil {
			inForce := indexes.of(view)
			i.indexes.Store(&inForce)
			i.engine.Update(i.members.reach.Load().View(), view.Catalogue, inForce)
		}
		now := table.Claimed()
		i.closeIdle(now)
		i.handOver(ctx, table, lost(claimed, now))
		claimed = now
	}
}

// lost returns the servers that were claimed before and are not now; both lists are in ascending order.
func lost(before, now []fleet.ServerID) []fleet.ServerID {
	var gone []fleet.ServerID
	for _, id := range before {
		if _, found := slices.BinarySearch(now, id); !found {
			gone = append(gone, id)
		}
	}
	return gone
}
