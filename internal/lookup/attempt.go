package lookup

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/panics"
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
		outcome := e.send(ctx, request, a.to, usual, connections)
		now := time.Now()
		e.report(a.to, a.to.load.end(a.number, now, &outcome), now)
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

// send calls the sender. Of a part only those records are kept that can be in the answer, so that its memory is given back at
// once. A panic on the way is a failure of this send only, and promises nothing.
func (e *Engine) send(ctx context.Context, request *Request, to *member, usual *pace, connections int) (outcome Outcome) {
	defer panics.Recover("send", func() {
		outcome = Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Detail: "unexpected error"}
	})
	if len(request.Route.Shards) == 0 {
		return e.sender.Send(ctx, request, to.Replica, Bounds{Connections: connections, Reserve: request.Memory.Take})
	}
	held := usual.memory.Open()
	defer held.Close()
	outcome = e.sender.Send(ctx, request, to.Replica, Bounds{Connections: connections, BodyBytes: usual.parts.bound(), Reserve: held.Take})
	if outcome.Reason == verdict.None {
		usual.parts.observe(len(outcome.Body))
	}
	outcome.Body = greatest(outcome.Body, request.Route.Keep)
	return outcome
}
