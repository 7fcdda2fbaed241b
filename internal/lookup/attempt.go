package lookup

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// attempt is one send of a request to one replica.
type attempt struct {
	to       *member
	number   uint64
	sent     time.Time
	expected time.Duration
	hedge    bool
	// paid is the budget that the send was taken from; nil for a first send and for one after sends that never left.
	paid  *budget
	ended bool
}

// arrival is an outcome on its way to the goroutine of its request.
type arrival struct {
	shard   int
	attempt *attempt
	outcome Outcome
}

// launch sends the request to a replica on a goroutine of its own. deliver has room for every arrival, so that one after
// the request's end blocks nobody.
func (e *Engine) launch(ctx context.Context, request *Request, g *group, a *attempt, shard int, usual *pace, deliver chan<- arrival) {
	a.number = a.to.load.begin(a.sent, a.expected)
	e.counters.Sends.Add(1)
	connections := e.connections(g)
	go func() {
		outcome := e.sender.Send(ctx, request, a.to.Replica, connections)
		now := time.Now()
		e.share(a.to, a.to.load.end(a.number, now, &outcome), now)
		e.recordSend(a.to, outcome.Reason, now.Sub(a.sent))
		if outcome.Unsent && a.paid != nil {
			a.paid.refund()
		}
		if outcome.Reason == verdict.None {
			usual.observe(now, now.Sub(a.sent))
		}
		deliver <- arrival{shard, a, outcome}
	}()
}
