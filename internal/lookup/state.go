package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a replica as this instance sees it from its own sends.
type State int

const (
	// Sound replicas answer in the usual time, or have not been asked for a while.
	Sound State = iota // sound
	// Cold replicas have started a short time ago and get requests within their rate.
	Cold // cold
	// Slow replicas take at least twice the usual time.
	Slow // slow
	// Stalled replicas have not answered the requests in progress for longer than usual: most likely a pause.
	Stalled // stalled
	// Failing replicas reject or fail a good part of their requests.
	Failing // failing
	// Silent replicas did not answer lately, or their zone is cut off.
	Silent // silent
	// Misdirected replicas have lost their address to another process.
	Misdirected // misdirected
	// Leaving replicas have said that they leave, before their entry says so.
	Leaving // leaving
	// Paused replicas have asked for a pause that has not ended.
	Paused // paused
)

const (
	// slowState and failingState are the smoothed slowness and share of rejections from which a replica is reported as slow
	// or failing; choosing goes by the values themselves.
	slowState    = 1
	failingState = 0.3
	// strainedState is the share of rejections from which a part that waits is taken to wait because its replica has too much to
	// do: one rejection in the last half second.
	strainedState = 0.1
)

func (l *load) state(now time.Time, cold bool) State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.misdirected:
		return Misdirected
	case l.notice.leaving:
		return Leaving
	case now.Before(l.notice.pausedUntil):
		return Paused
	case now.Before(l.suspect) || l.silent > 0:
		return Silent
	case l.stalled(now):
		return Stalled
	case l.rejects.now(now, rejectMemory) >= failingState:
		return Failing
	case l.slowness.now(now, slownessMemory) >= slowState:
		return Slow
	case cold:
		return Cold
	}
	return Sound
}

// Replicas counts the replicas that may get requests.
type Replicas struct {
	Zone  fleet.ZoneID
	State State
}

// States counts the replicas that may get requests by their zone and state.
func (e *Engine) States(now time.Time) map[Replicas]int {
	states := make(map[Replicas]int)
	for _, g := range e.plan.Load().groups {
		for i := range g.members {
			m := &g.members[i]
			states[Replicas{m.Zone, m.load.state(now, now.Before(m.ColdUntil))}]++
		}
	}
	return states
}

// RefusedShares returns the share of requests that are refused at once, by the first shard of their routes.
func (e *Engine) RefusedShares() map[fleet.ServiceID]float64 {
	shares := make(map[fleet.ServiceID]float64)
	e.gates.Range(func(shard, known any) bool {
		shares[shard.(fleet.ServiceID)] = known.(*gate).intake.refused()
		return true
	})
	return shares
}

// ExtraSends is this instance's part of the bound on extra sends to one service.
type ExtraSends struct {
	Service fleet.ServiceID
	// Spent is the number of extra sends in the window that ends now; Left is how many more are allowed.
	Spent, Left float64
}

// ExtraSends returns the state of the bound on extra sends, for each service with replicas.
func (e *Engine) ExtraSends(now time.Time) []ExtraSends {
	allowed := e.allowance(now)
	var all []ExtraSends
	for id, g := range e.plan.Load().groups {
		spent, left := g.extra.state(now, allowed)
		all = append(all, ExtraSends{id, spent, left})
	}
	return all
}
