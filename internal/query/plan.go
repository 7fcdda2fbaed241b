package query

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// plan is what queries need of the fleet, the catalogue and the indexes, prepared so that choosing a
// replica costs the same in a fleet of any size. It is immutable; the states it points to are not.
type plan struct {
	applications map[catalogue.ApplicationID]*application
	services     map[fleet.ServiceID]*service
}

type application struct {
	policy   catalogue.Service
	index    *snapshot.Index
	versions map[snapshot.Version][]shardOf
	// tried is the time of the last trial of a version, in Unix nanoseconds. It outlives the plan.
	tried *atomic.Int64
}

// trialInterval bounds trials of versions that some replicas have said nothing about.
const trialInterval = time.Second

// mayTry allows one query in each interval to try a version.
func (a *application) mayTry(now time.Time) bool {
	last := a.tried.Load()
	return now.UnixNano()-last >= int64(trialInterval) && a.tried.CompareAndSwap(last, now.UnixNano())
}

type shardOf struct {
	shard   snapshot.ShardID
	service *service
}

type service struct {
	// plan is the plan that this value belongs to, so that a query sees that it is out of date.
	plan     *plan
	id       fleet.ServiceID
	replicas []replica // those that may get new parts
	stats    *serviceStats
	// absent says why there is no usable replica.
	absent verdict.Reason
}

type replica struct {
	id    fleet.ServerID
	local bool
	state *replicaState
}

// Update replaces the fleet, the catalogue and the indexes. Servers that leave, and servers that are
// out or in a zone that is out, get no new part once it returns. One goroutine at a time calls it.
func (e *Engine) Update(view *fleet.View, entries catalogue.Catalogue, indexes map[catalogue.ApplicationID]*snapshot.Index) {
	e.updating.Lock()
	defer e.updating.Unlock()
	next := &plan{
		applications: make(map[catalogue.ApplicationID]*application, len(indexes)),
		services:     make(map[fleet.ServiceID]*service),
	}
	e.dropUnlisted(view)
	for _, entry := range entries.Services() {
		next.services[entry.ID] = e.planService(next, entry.ID, view, entries)
	}
	for _, id := range entries.Applications() {
		policy, _ := entries.Service(entries.Application(id)[0])
		app := &application{policy: policy, index: indexes[id], tried: e.trialOf(id)}
		next.applications[id] = app
		if app.index == nil {
			continue
		}
		app.versions = make(map[snapshot.Version][]shardOf)
		for _, version := range app.index.Versions() {
			app.versions[version.Version] = next.shardsOf(version)
		}
	}
	e.plan.Store(next)
}

func (p *plan) shardsOf(version snapshot.ShardMap) []shardOf {
	shards := make([]shardOf, 0, len(version.Shards))
	for shard, id := range version.Shards {
		known, ok := p.services[id]
		if !ok {
			// The index names a service that the catalogue does not have; its shards are missing.
			known = &service{plan: p, id: id, stats: newServiceStats(), absent: verdict.NoReplica}
			p.services[id] = known
		}
		shards = append(shards, shardOf{shard: shard, service: known})
	}
	slices.SortFunc(shards, func(a, b shardOf) int { return cmp.Compare(a.shard, b.shard) })
	return shards
}

func (e *Engine) planService(next *plan, id fleet.ServiceID, view *fleet.View, entries catalogue.Catalogue) *service {
	stats, ok := e.services[id]
	if !ok {
		stats = newServiceStats()
		e.services[id] = stats
	}
	planned := &service{plan: next, id: id, stats: stats, absent: verdict.NoReplica}
	for _, server := range view.ServersOf(id) {
		listed, _ := view.Server(server)
		known := e.stateOf(server)
		switch {
		case entries.ZoneOut(listed.Zone):
			planned.absent = verdict.ZoneOut
		case entries.InstanceOut(fleet.InstanceID(server)):
			planned.absent = verdict.InstanceOut
		case listed.Leaving:
			planned.absent = verdict.Leaving
			// Once the list knows, its word replaces the server's own, also when it is live again.
			known.leavingUntil.Store(0)
		default:
			planned.replicas = append(planned.replicas, replica{id: server, local: listed.Zone == e.zone, state: known})
		}
	}
	return planned
}

func (e *Engine) stateOf(server fleet.ServerID) *replicaState {
	known, ok := e.replicas[server]
	if !ok {
		known = &replicaState{holding: e.holdings.Of(server)}
		e.replicas[server] = known
	}
	return known
}

func (e *Engine) trialOf(id catalogue.ApplicationID) *atomic.Int64 {
	known, ok := e.trials[id]
	if !ok {
		known = &atomic.Int64{}
		e.trials[id] = known
	}
	return known
}

func (e *Engine) dropUnlisted(view *fleet.View) {
	for server := range e.replicas {
		if _, listed := view.Server(server); !listed {
			delete(e.replicas, server)
			e.holdings.Forget(server)
		}
	}
}

// best returns the strongest belief among the usable replicas of a service.
func (p *plan) best(id fleet.ServiceID, version snapshot.Version, router Router, now time.Time) snapshot.Belief {
	strongest := snapshot.Lacks
	known, ok := p.services[id]
	if !ok {
		return strongest
	}
	for i := range known.replicas {
		candidate := &known.replicas[i]
		belief := candidate.state.holding.Belief(version, now)
		if belief <= strongest || candidate.state.leaving(now) {
			continue
		}
		if _, reachable := router.Route(candidate.id); !reachable {
			continue
		}
		if strongest = belief; strongest == snapshot.Holds {
			break
		}
	}
	return strongest
}
