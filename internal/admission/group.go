package admission

import (
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// mostInProgress bounds the queries of all applications that an instance has in progress; classes have their shares
// of it. An instance answers a query in some 10 ms, so that the bound stands for far more than it can send.
const mostInProgress = 1024

// Group admits the queries of an instance: a Limiter for each application, because applications do not share backend
// servers, and a bound on all of them. With one limiter for all, the overload of one application refused the
// queries of others whose servers were idle. It is safe for concurrent use.
type Group struct {
	limits   Limits
	mutex    sync.Mutex
	limiters map[catalogue.ApplicationID]*Limiter
	inFlight int
}

// NewGroup returns a group whose applications have these limits.
func NewGroup(limits Limits) *Group {
	return &Group{limits: limits, limiters: make(map[catalogue.ApplicationID]*Limiter)}
}

// Admit starts a query of a known application or refuses it at once. A refusal is always NotRun.
func (g *Group) Admit(application catalogue.ApplicationID, class catalogue.Class, deadline time.Time) (*Permit, *verdict.Error) {
	g.mutex.Lock()
	limiter := g.limiters[application]
	if limiter == nil {
		limiter = New(g.limits)
		g.limiters[application] = limiter
	}
	full := float64(g.inFlight) >= mostInProgress*share(class)
	if !full {
		g.inFlight++
	}
	g.mutex.Unlock()
	if full {
		return nil, limiter.overfull()
	}
	permit, refusal := limiter.Admit(class, deadline)
	if refusal != nil {
		g.leave()
		return nil, refusal
	}
	permit.group = g
	return permit, nil
}

func (g *Group) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
}

// State sums up the applications: the bounds, the queries in progress and the longest typical latency.
func (g *Group) State() State {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var sum State
	for _, limiter := range g.limiters {
		state := limiter.State()
		sum.Bound += state.Bound
		sum.InFlight += state.InFlight
		sum.Typical = max(sum.Typical, state.Typical)
	}
	return sum
}
