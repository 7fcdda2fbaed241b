package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/rollout"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// RollOuts decides which replicas of a service may be used while another version is rolled out. Its methods must not
// block.
type RollOuts interface {
	// Split divides the replicas of a service into those for any request and those for requests that AdmitTrial admits, the
	// preferred one first; replicas in neither are not used.
	Split(service fleet.ServiceID, replicas []directory.Replica) (usable, trial []directory.Replica)
	// AdmitTrial reports whether a request may go to a replica for trial, and counts it as sent there. lastResort is set
	// if the service has no other replicas.
	AdmitTrial(service fleet.ServiceID, lastResort bool) bool
	// BeginSend observes a send; nil if it is of no interest.
	BeginSend(to directory.Replica, route string) *rollout.Send
}

var _ RollOuts = (*rollout.Manager)(nil)

// noRollOuts is the RollOuts of an engine without orders.
type noRollOuts struct{}

// Split implements RollOuts.
func (noRollOuts) Split(_ fleet.ServiceID, replicas []directory.Replica) (usable, trial []directory.Replica) {
	return replicas, nil
}

// AdmitTrial implements RollOuts.
func (noRollOuts) AdmitTrial(fleet.ServiceID, bool) bool { return false }

// BeginSend implements RollOuts.
func (noRollOuts) BeginSend(directory.Replica, string) *rollout.Send { return nil }

// use is how a group uses a replica.
type use int

const (
	unused use = iota
	forAny
	forTrial
)

// applyRollOut returns how the group uses each replica; nil if all are for any request.
func (g *replicaGroup) applyRollOut(rollOuts RollOuts, id fleet.ServiceID, replicas []directory.Replica) map[fleet.ServerID]use {
	usable, trial := rollOuts.Split(id, replicas)
	if len(usable) == len(replicas) {
		return nil
	}
	uses := make(map[fleet.ServerID]use, len(replicas))
	for _, r := range usable {
		uses[r.ID] = forAny
	}
	for _, r := range trial {
		uses[r.ID] = forTrial
	}
	if len(trial) > 0 {
		g.trial, g.preferred = &replicaGroup{service: g.service, budget: g.budget}, trial[0].ID
	}
	return uses
}

// add adds a replica to the group as it is used; uses is nil if all are for any request.
func (g *replicaGroup) add(m member, uses map[fleet.ServerID]use) {
	switch {
	case uses == nil || uses[m.ID] == forAny:
		g.members = append(g.members, m)
	case uses[m.ID] == forTrial:
		g.trial.members = append(g.trial.members, m)
	}
}

// chooseTrial returns a replica of a version that is being rolled out if the request is to try it; nil for all others.
// A part that was sent before, or is chosen with replicas to avoid, is none: what the new version gets stays within
// its bound. The group may be nil.
func (e *Engine) chooseTrial(route *routing.Route, g *replicaGroup, tried []*replicaHealth, expected time.Duration, now time.Time) *member {
	if g == nil || g.trial == nil || len(tried) > 0 || !g.trial.hasReplicaFor(route) {
		return nil
	}
	to := e.preferredTrial(route, g, expected, now)
	if to == nil || to.coldLimit >= 0 && now.Before(to.ColdUntil) && !to.health.admitCold(now, to.coldLimit) {
		return nil
	}
	if !e.rollOuts.AdmitTrial(to.Service, len(g.members) == 0) {
		return nil
	}
	return to
}

// preferredTrial returns the preferred replica of the trial group if it is responding, or else the one with the lowest
// cost that is; nil if there is none.
func (e *Engine) preferredTrial(route *routing.Route, g *replicaGroup, expected time.Duration, now time.Time) *member {
	for i := range g.trial.members {
		m := &g.trial.members[i]
		if m.ID != g.preferred || !route.Allows(m.Region) {
			continue
		}
		if usable, responding := m.health.usable(now, e.maxConnections(g)); usable && responding {
			return m
		}
	}
	return e.cheapest(route, g.trial, nil, true, expected, now)
}

// rollOutOutcome returns what the outcome shows about the version of the replica.
func (o *Outcome) rollOutOutcome() rollout.Outcome {
	switch {
	case o.Reason == verdict.None:
		return rollout.Answered
	case o.Reason == verdict.ServerError, o.Reason == verdict.BadAnswer && o.answered():
		return rollout.Failed
	case o.Reason == verdict.Cancelled, o.Reason == verdict.DeadlinePassed:
		return rollout.Unfinished
	}
	return rollout.NoEvidence
}
