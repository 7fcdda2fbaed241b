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

// plan is the part of the fleet, the catalogue and the indexes that queries need, arranged so that choosing a replica
// costs the same in a fleet of any size. A plan is immutable, but the statistics that it points to change.
type plan struct {
	applications map[catalogue.ApplicationID]*application
	services     map[fleet.ServiceID]*service
}

type application struct {
	// policy is the catalogue entry of the first service of the application.
	policy catalogue.Service
	// index is nil if the application has no index yet.
	index    *snapshot.Index
	versions map[snapshot.Version][]plannedShard
	// lastTrial is the time of the last version trial, in Unix nanoseconds. It outlives the plan.
	lastTrial *atomic.Int64
}

// trialInterval is the shortest time between two trials of an application. A trial lets a query pin a new version
// although it is unknown whether some replicas hold it.
const trialInterval = time.Second

// allowTrial reports whether a query may try a version now. It returns true at most once in each trialInterval.
func (a *application) allowTrial(now time.Time) bool {
	last := a.lastTrial.Load()
	return now.UnixNano()-last >= int64(trialInterval) && a.lastTrial.CompareAndSwap(last, now.UnixNano())
}

// plannedShard is a shard of an index version with the service that holds it.
type plannedShard struct {
	id      snapshot.ShardID
	service *service
}

// service is a service of the catalogue with the replicas that may get new parts.
type service struct {
	// plan is the plan that this value belongs to. A query compares it with the newest plan to see whether it is out of
	// date.
	plan     *plan
	id       fleet.ServiceID
	replicas []replica
	stats    *serviceStats
	// noReplicaReason is why replicas is empty.
	noReplicaReason verdict.Reason
}

// replica is a backend server that may get new parts of its service.
type replica struct {
	id fleet.ServerID
	// local is set if the backend server is in the availability zone of this entry instance.
	local bool
	state *replicaState
}

// Update replaces the fleet view, the catalogue and the indexes. After it returns, no new part is sent to a backend
// server that is leaving, is out of service, or is in an availability zone that is out of service. It must not be
// called concurrently.
func (e *Engine) Update(view *fleet.View, configured catalogue.Catalogue, indexes map[catalogue.ApplicationID]*snapshot.Index) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	next := &plan{
		applications: make(map[catalogue.ApplicationID]*application, len(indexes)),
		services:     make(map[fleet.ServiceID]*service),
	}
	e.removeUnlisted(view)
	for _, entry := range configured.Services() {
		next.services[entry.ID] = e.planService(next, entry.ID, view, configured)
	}
	for _, id := range configured.Applications() {
		policy, _ := configured.Service(configured.Application(id)[0])
		app := &application{policy: policy, index: indexes[id], lastTrial: e.lastTrialOf(id)}
		next.applications[id] = app
		if app.index == nil {
			continue
		}
		app.versions = make(map[snapshot.Version][]plannedShard)
		for _, version := range app.index.Versions() {
			app.versions[version.Version] = next.plannedShards(version)
		}
	}
	e.plan.Store(next)
}

// plannedShards returns the shards of an index version, sorted by id.
func (p *plan) plannedShards(version snapshot.ShardMap) []plannedShard {
	shards := make([]plannedShard, 0, len(version.Shards))
	for shard, id := range version.Shards {
		planned, ok := p.services[id]
		if !ok {
			// The index names a service that is not in the catalogue; its shards will be missing in answers.
			planned = &service{plan: p, id: id, stats: newServiceStats(), noReplicaReason: verdict.NoReplica}
			p.services[id] = planned
		}
		shards = append(shards, plannedShard{id: shard, service: planned})
	}
	slices.SortFunc(shards, func(a, b plannedShard) int { return cmp.Compare(a.id, b.id) })
	return shards
}

// planService returns a service of the next plan. Backend servers that must not get new parts are left out, and the
// reason for the last of them is kept.
func (e *Engine) planService(next *plan, id fleet.ServiceID, view *fleet.View, configured catalogue.Catalogue) *service {
	stats, ok := e.services[id]
	if !ok {
		stats = newServiceStats()
		e.services[id] = stats
	}
	planned := &service{plan: next, id: id, stats: stats, noReplicaReason: verdict.NoReplica}
	for _, server := range view.ServersOf(id) {
		listed, _ := view.Server(server)
		state := e.stateOf(server)
		switch {
		case configured.ZoneOutOfService(listed.Zone):
			planned.noReplicaReason = verdict.ZoneOut
		case configured.InstanceOutOfService(fleet.InstanceID(server)):
			planned.noReplicaReason = verdict.InstanceOut
		case listed.Leaving:
			planned.noReplicaReason = verdict.Leaving
			// Once the fleet view has the server as leaving, it replaces the server's own report. The server is then
			// usable again as soon as the view has it as live.
			state.leavingUntil.Store(0)
		default:
			planned.replicas = append(planned.replicas, replica{id: server, local: listed.Zone == e.zone, state: state})
		}
	}
	return planned
}

func (e *Engine) stateOf(server fleet.ServerID) *replicaState {
	state, ok := e.replicas[server]
	if !ok {
		state = &replicaState{holding: e.holdings.Of(server)}
		e.replicas[server] = state
	}
	return state
}

func (e *Engine) lastTrialOf(id catalogue.ApplicationID) *atomic.Int64 {
	lastTrial, ok := e.lastTrials[id]
	if !ok {
		lastTrial = &atomic.Int64{}
		e.lastTrials[id] = lastTrial
	}
	return lastTrial
}

// removeUnlisted deletes the state of backend servers that are no longer in the fleet view.
func (e *Engine) removeUnlisted(view *fleet.View) {
	for server := range e.replicas {
		if _, listed := view.Server(server); !listed {
			delete(e.replicas, server)
			e.holdings.Forget(server)
		}
	}
}

// strongestBelief returns the strongest belief about the version among the reachable replicas of a service that are not
// leaving. Without such a replica, the version counts as not held.
func (p *plan) strongestBelief(id fleet.ServiceID, version snapshot.Version, owners OwnerLookup, now time.Time) snapshot.Belief {
	strongest := snapshot.Lacks
	planned, ok := p.services[id]
	if !ok {
		return strongest
	}
	for i := range planned.replicas {
		candidate := &planned.replicas[i]
		belief := candidate.state.holding.Belief(version, now)
		if belief <= strongest || candidate.state.leaving(now) {
			continue
		}
		if _, reachable := owners.Owner(candidate.id); !reachable {
			continue
		}
		if strongest = belief; strongest == snapshot.Holds {
			break
		}
	}
	return strongest
}
