package lookup

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/workload"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// replicaSend is one send of a request to one replica. A send that no replica ran does not count towards the route's
// MaxAttempts.
type replicaSend struct {
	to         *member
	sendNumber uint64
	sent       time.Time
	expected   time.Duration
	work       workload.Request
	hedge      bool
	// paidFrom is the budget that an extra send was charged to; nil for a first send and for one after sends that did
	// not reach a replica.
	paidFrom *retryBudget
	ended    bool
	// abandoned is set if the request does not wait for the send any more; it may be sent to the same shard again.
	abandoned bool
	// suspected is set if the request was already suspected of crashing replicas.
	suspected bool
}

// sendResult is the outcome of a send, delivered to the goroutine of its request.
type sendResult struct {
	shard   int
	send    *replicaSend
	outcome Outcome
	// crashed is set if the replica crashed before it answered, and standing is then the request's standing since.
	crashed  bool
	standing quarantine.Standing
}

// startSend sends the request to a replica on a new goroutine. The results channel must have room for every result, so
// that a send that ends after its request does not block.
func (e *Engine) startSend(ctx context.Context, request *Request, g *replicaGroup, send *replicaSend, shard int, stats *routeStats, results chan<- sendResult) {
	send.sendNumber = send.to.health.beginWork(send.sent, send.expected, send.work.Ratio(send.to.Service), send.kind())
	e.counters.Sends.Add(1)
	if send.to.health.limited() {
		e.counters.LimitedSends[send.kind()].Add(1)
	}
	maxConnections := e.maxConnections(g)
	if send.suspected {
		send.to.health.suspectedSends.Add(1)
	}
	observed := e.rollOuts.BeginSend(send.to.Replica, request.Route.Name)
	go func() {
		outcome := e.send(ctx, request, send.to, stats, maxConnections)
		crashed, answered := false, request.answers.Load() > 0
		if outcome.Reason == verdict.None {
			request.answers.Add(1)
		}
		if outcome.lostConnection() {
			logLostConnection(request, send, &outcome)
			crashed = request.Fingerprint != nil && e.hasCrashed(send.to)
		}
		if send.suspected {
			send.to.health.suspectedSends.Add(-1)
		}
		now := time.Now()
		observed.End(outcome.rollOutOutcome(), now.Sub(send.sent))
		seen := send.to.health.endSend(send.sendNumber, now, &outcome)
		e.reportSend(send.to, seen, now)
		e.recordSend(send.to, outcome.Reason, now.Sub(send.sent))
		if outcome.Reason == verdict.ConnectFailed {
			e.partition.recordFailure(send.to.ID, now)
		}
		if outcome.Unsent && send.paidFrom != nil {
			send.paidFrom.refund()
		}
		if outcome.Reason == verdict.None {
			send.work.Observe(send.to.Service, float64(now.Sub(send.sent))/float64(stats.meanSendTime()))
			stats.observe(now, now.Sub(send.sent))
		}
		results <- sendResult{shard, send, outcome, crashed, e.recordSuspicion(request, send, &outcome, seen, crashed, answered, now)}
	}()
}

// lostConnection reports whether the replica closed or reset the connection while it may have been running the request.
func (o *Outcome) lostConnection() bool {
	return o.Verdict != verdict.NotRun && !o.answered() && (o.Reason == verdict.ConnectionLost || o.Reason == verdict.BadAnswer)
}

func logLostConnection(request *Request, send *replicaSend, outcome *Outcome) {
	klog.InfoS("Connection lost before the answer", "id", request.ID, "fingerprint", request.fingerprint(), "replica", send.to.ID, "started-at", send.to.StartedAt,
		"kind", send.kind(), "reason", outcome.Reason, "detail", outcome.Detail)
}

// send calls the Sender. Of a part, it keeps only the records that can be in the merged answer, so that the memory of
// the others is released at once. A panic in the Sender fails only this send; the request may have run.
func (e *Engine) send(ctx context.Context, request *Request, to *member, stats *routeStats, maxConnections int) (outcome Outcome) {
	defer panics.Recover("send", func() {
		outcome = Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Detail: "panic while sending the request"}
	})
	if len(request.Route.Shards) == 0 {
		return e.sender.Send(ctx, request, to.Replica, SendLimits{MaxConnections: maxConnections, ReserveMemory: request.Memory.Take})
	}
	reservation := stats.memory.OpenReservation()
	defer reservation.Close()
	outcome = e.sender.Send(ctx, request, to.Replica, SendLimits{MaxConnections: maxConnections, MaxBodyBytes: stats.parts.limit(), ReserveMemory: reservation.Take})
	if outcome.Reason == verdict.None {
		stats.parts.observe(len(outcome.Body))
	}
	outcome.Body = topRecords(outcome.Body, request.Route.MaxRecords)
	return outcome
}
