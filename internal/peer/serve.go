package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// hopsKey is the context key for the number of times that parts were sent between instances before Run was given them:
// 1 if the coordinator sent them to this instance itself, 2 if another instance forwarded them.
type hopsKey struct{}

// Forwarded reports whether the parts that PartsRunner.Run was given with ctx come from an instance that itself
// received them from another one. A runner refuses such parts if it does not own their server; Send refuses to forward
// them.
func Forwarded(ctx context.Context) bool {
	hops, _ := ctx.Value(hopsKey{}).(int)
	return hops > 1
}

// handleMessage handles one request or notification. It runs on the goroutine that reads the connection, and decodes or
// copies the params before it returns, since they alias the read buffer. An error closes the connection.
func (pc *peerConn) handleMessage(message inboundMessage) error {
	if message.method == methodHello {
		result, refused := pc.handleHello(message.params)
		pc.respond(message.id, result, refused)
		if refused != nil {
			pc.closeAfterResponse()
		}
		return nil
	}
	if !pc.admitted.Load() {
		return fmt.Errorf("method %q before the handshake", message.method)
	}
	switch message.method {
	case methodPartsResult:
		return pc.handlePartsResult(message.params)
	case methodPartsRun:
		return pc.handlePartsRun(message)
	case methodPartsCancel:
		var cancel partsCancelParams
		if err := json.Unmarshal(message.params, &cancel); err != nil {
			return err
		}
		if pc.node.handlers.Parts != nil {
			for _, attempt := range cancel.Attempts {
				pc.node.handlers.Parts.Cancel(pc.peer.Instance, attempt)
			}
		}
		return nil
	}
	if !pc.acquireServingSlot() {
		pc.respond(message.id, nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many concurrent calls from one instance"))
		return nil
	}
	message.params = slices.Clone(message.params)
	go func() {
		defer pc.releaseServingSlot()
		result, refused := pc.serve(message)
		if !message.isNotification {
			pc.respond(message.id, result, refused)
		}
	}()
	return nil
}

// closeAfterResponse closes the connection after 10 ms, so that the refusal, which tells the peer the reason, is
// written first.
func (pc *peerConn) closeAfterResponse() {
	time.AfterFunc(10*time.Millisecond, pc.close)
}

// acquireServingSlot reports whether Limits.MaxParts permits another concurrent call of the peer. If so, it counts the
// call.
func (pc *peerConn) acquireServingSlot() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.callsInService >= pc.node.settings.Limits.MaxParts {
		return false
	}
	pc.callsInService++
	return true
}

func (pc *peerConn) releaseServingSlot() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.callsInService--
}

// serve runs the handler of a method and returns its result, or the error for the peer.
func (pc *peerConn) serve(message inboundMessage) (any, *verdict.Error) {
	handlers, from := pc.node.handlers, pc.peer.Instance
	invalid := verdict.New(verdict.NotRun, verdict.InvalidRequest, "malformed params of %s", message.method)
	switch {
	case message.method == methodHeartbeat && handlers.Heartbeats != nil:
		var heartbeat Heartbeat
		if json.Unmarshal(message.params, &heartbeat) != nil {
			return nil, invalid
		}
		// The identity is the one that the handshake proved, whatever the message says.
		heartbeat.Instance, heartbeat.Incarnation, heartbeat.Zone = from, pc.peer.Incarnation, pc.peer.Zone
		return handlers.Heartbeats.Heartbeat(pc.ctx, heartbeat), nil
	case message.method == methodTicketRun && handlers.Tickets != nil:
		var run ticketRunParams
		if json.Unmarshal(message.params, &run) != nil {
			return nil, invalid
		}
		return pc.serveTicket(run), nil
	case message.method == methodConfigurationGet && handlers.Configuration != nil:
		var get configurationGetParams
		if len(message.params) > 0 && json.Unmarshal(message.params, &get) != nil {
			return nil, invalid
		}
		configuration, err := handlers.Configuration.Configuration(pc.ctx, get.Known)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.NotReady, "%v", err)
		}
		return configuration, nil
	case message.method == methodConfigurationChanged && handlers.Configuration != nil:
		var changed configurationChangedParams
		if json.Unmarshal(message.params, &changed) != nil {
			return nil, invalid
		}
		handlers.Configuration.ConfigurationChanged(pc.ctx, from, changed.Revision)
		return struct{}{}, nil
	case message.method == methodServersHandover && handlers.Handover != nil:
		if err := handlers.Handover.Handover(pc.ctx, from, message.params); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ServerError, "%v", err)
		}
		return struct{}{}, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.NotReady, "the called instance does not serve %s", message.method)
}

func (pc *peerConn) serveTicket(run ticketRunParams) ticketRunResult {
	deadline := time.Now().Add(time.Duration(run.RemainingMicros) * time.Microsecond)
	ctx, cancel := context.WithDeadline(pc.ctx, deadline)
	defer cancel()
	outcome := pc.node.handlers.Tickets.RunTicket(ctx, pc.peer.Instance, ticket.Call{
		Ticket: run.Ticket, Digest: run.Digest, Application: run.Application, Body: run.Body, Deadline: deadline,
	})
	return ticketRunResult{outcome.Answer, toWireError(outcome.Err), outcome.Field, outcome.Coverage}
}

// inboundCall is a parts.run call that this instance serves. Results wait in it until the stream can write, so that
// those that become ready together are sent in one message.
type inboundCall struct {
	conn   *peerConn
	id     uint64
	cancel context.CancelFunc

	mu sync.Mutex
	// openParts holds the parts without a result, by attempt.
	openParts     map[uint64]query.Part
	unsentResults []wireResult
	// enqueued is set while the call waits in the stream for its results to be written.
	enqueued bool
}

// handlePartsRun starts to serve a parts.run call.
func (pc *peerConn) handlePartsRun(message inboundMessage) error {
	var run partsRunParams
	if err := json.Unmarshal(message.params, &run); err != nil {
		return err
	}
	if message.isNotification || len(run.Parts) == 0 {
		return fmt.Errorf("%s without an id or without parts", methodPartsRun)
	}
	if pc.node.handlers.Parts == nil {
		pc.respond(message.id, nil, verdict.New(verdict.NotRun, verdict.NotReady, "the called instance does not serve parts"))
		return nil
	}
	if !pc.acquireServingSlot() {
		pc.respond(message.id, nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many concurrent calls from one instance"))
		return nil
	}
	parts := run.toParts(time.Now())
	pc.node.counters.partsServed.Add(uint64(len(parts)))
	call := &inboundCall{conn: pc, id: message.id, openParts: make(map[uint64]query.Part, len(parts))}
	latest := parts[0].Deadline
	for _, part := range parts {
		call.openParts[part.Attempt] = part
		if part.Deadline.After(latest) {
			latest = part.Deadline
		}
	}
	if len(call.openParts) != len(parts) {
		return fmt.Errorf("an attempt appears twice in one %s call", methodPartsRun)
	}
	hops := 1
	if run.Forwarded {
		hops = 2
	}
	ctx, cancel := context.WithDeadline(context.WithValue(pc.ctx, hopsKey{}, hops), latest)
	// A runner that never delivers must not keep the call open for ever.
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(pc.node.settings.Limits.SilenceTimeout, call.failOpenParts) })
	call.cancel = func() {
		stop()
		cancel()
	}
	go pc.node.handlers.Parts.Run(ctx, pc.peer.Instance, parts, call.deliver)
	return nil
}

// deliver queues the result of an open part to be sent; results for other attempts are ignored.
func (c *inboundCall) deliver(result query.Result) {
	c.mu.Lock()
	if _, ok := c.openParts[result.Attempt]; !ok {
		c.mu.Unlock()
		return
	}
	delete(c.openParts, result.Attempt)
	wire := toWireResult(result)
	if limit := c.conn.node.settings.Limits.MaxFrameBytes - 4096; len(wire.Rows) > limit {
		wire.Rows = nil
		wire.Err = toWireError(verdict.New(verdict.Ran, verdict.ResultDropped,
			"the rows have %d bytes, the limit between instances is %d", len(result.Rows), limit))
	}
	c.unsentResults = append(c.unsentResults, wire)
	first := !c.enqueued
	c.enqueued = true
	c.mu.Unlock()
	if first {
		c.conn.stream.enqueueSource(c)
	}
}

// failOpenParts delivers an error for each part that the runner gave no result.
func (c *inboundCall) failOpenParts() {
	c.mu.Lock()
	rest := make([]query.Part, 0, len(c.openParts))
	for _, part := range c.openParts {
		rest = append(rest, part)
	}
	c.mu.Unlock()
	for _, part := range rest {
		c.deliver(query.Result{
			Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version,
			Err: verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "the owner returned no result"),
		})
	}
}

// appendFrames implements frameSource. It appends the results that are ready and, once no part is open, the response.
func (c *inboundCall) appendFrames(buffer []byte) []byte {
	c.mu.Lock()
	results, ended := c.unsentResults, len(c.openParts) == 0
	c.unsentResults, c.enqueued = nil, false
	c.mu.Unlock()
	buffer = appendResults(buffer, c.id, results, c.conn.node.settings.Limits.MaxFrameBytes)
	if ended {
		c.cancel()
		c.conn.releaseServingSlot()
		buffer = appendFrame(buffer, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":null}`, c.id))
	}
	return buffer
}
