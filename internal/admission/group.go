package admission

import (
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// maxInProgress is the maximum number of queries of all applications that an instance has in progress; each class may
// use its share of it. An instance answers a query in about 10 ms, so this is far more than it can send.
const maxInProgress = 1024

// Group admits the queries of an instance with one Limiter per application and a limit on all applications together.
// Applications do not share backend servers: with one Limiter for all of them, the overload of one application caused
// refusals for others whose servers were idle. Group is safe for concurrent use.
type Group struct {
	limits   Limits
	mutex    sync.Mutex
	limiters map[catalogue.ApplicationID]*Limiter
	inFlight int
}

// NewGroup returns a Group that gives each application a Limiter with these limits.
func NewGroup(limits Limits) *Group {
	return &Group{limits: limits, limiters: make(map[catalogue.ApplicationID]*Limiter)}
}

// Admit admits a query or refuses it at once. A refusal always has the verdict NotRun. The application must be one of
// the catalogue, because its Limiter is kept for good.
func (g *Group) Admit(application catalogue.ApplicationID, class catalogue.Class, deadline time.Time) (*Permit, *verdict.Error) {
	g.mutex.Lock()
	limiter := g.limiters[application]
	if limiter == nil {
		limiter = New(g.limits)
		g.limiters[application] = limiter
	}
	full := float64(g.inFlight) >= maxInProgress*classShare(class)
	if !full {
		g.inFlight++
	}
	g.mutex.Unlock()
	if full {
		return nil, limiter.refuseGroupFull()
	}
	permit, refusal := limiter.Admit(class, deadline)
	if refusal != nil {
		g.release()
		return nil, refusal
	}
	permit.group = g
	return permit, nil
}

func (g *Group) release() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
}

// State returns the sums of the limits and of the queries in progress over the applications, and the largest smoothed
// latency.
func (g *Group) State() State {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var sum State
	for _, limiter := range g.limiters {
		state := limiter.State()
		sum.Limit += state.Limit
		sum.InFlight += state.InFlight
		sum.SmoothedLatency = max(sum.SmoothedLatency, state.SmoothedLatency)
	}
	return sum
}
