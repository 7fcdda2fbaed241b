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

type forwardedKey struct{}

// Forwarded reports whether parts came from an instance that itself received them from another one. A
// runner refuses such parts for a server that it does not own; Send would refuse them too.
func Forwarded(ctx context.Context) bool {
	hops, _ := ctx.Value(forwardedKey{}).(int)
	return hops > 1
}

// receive handles one request or notification on the goroutine that reads the connection. Params are
// decoded, which copies, before it returns. An error closes the connection.
func (l *link) receive(message inbound) error {
	if message.method == methodHello {
		result, refused := l.receiveHello(message.params)
		l.reply(message.id, result, refused)
		if refused != nil {
			l.afterReplyClose()
		}
		return nil
	}
	if !l.admitted.Load() {
		return fmt.Errorf("method %q before the handshake", message.method)
	}
	switch message.method {
	case methodPartsResult:
		return l.receiveResults(message.params)
	case methodPartsRun:
		return l.receiveParts(message)
	case methodPartsCancel:
		var cancel partsCancel
		if err := json.Unmarshal(message.params, &cancel); err != nil {
			return err
		}
		if l.node.handlers.Parts != nil {
			for _, attempt := range cancel.Attempts {
				l.node.handlers.Parts.Cancel(l.peer.Instance, attempt)
			}
		}
		return nil
	}
	if !l.startServing() {
		l.reply(message.id, nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many calls of this peer"))
		return nil
	}
	message.params = slices.Clone(message.params)
	go func() {
		defer l.endServing()
		result, refused := l.serve(message)
		if !message.notif {
			l.reply(message.id, result, refused)
		}
	}()
	return nil
}

// afterReplyClose leaves the writer a moment for the refusal, which tells the peer why.
func (l *link) afterReplyClose() {
	time.AfterFunc(10*time.Millisecond, l.close)
}

func (l *link) startServing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.serving >= l.node.settings.Limits.Parts {
		return false
	}
	l.serving++
	return true
}

func (l *link) endServing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serving--
}

func (l *link) serve(message inbound) (any, *verdict.Error) {
	handlers, from := l.node.handlers, l.peer.Instance
	invalid := verdict.New(verdict.NotRun, verdict.InvalidRequest, "the params of %s are malformed", message.method)
	switch {
	case message.method == methodHeartbeat && handlers.Heartbeats != nil:
		var beat Heartbeat
		if json.Unmarshal(message.params, &beat) != nil {
			return nil, invalid
		}
		// Identity is what the handshake proved, not what the message says.
		beat.Instance, beat.Incarnation, beat.Zone = from, l.peer.Incarnation, l.peer.Zone
		return handlers.Heartbeats.Heartbeat(l.ctx, beat), nil
	case message.method == methodTicketRun && handlers.Tickets != nil:
		var run ticketRun
		if json.Unmarshal(message.params, &run) != nil {
			return nil, invalid
		}
		return l.serveTicket(run), nil
	case message.method == methodConfigurationGet && handlers.Configuration != nil:
		var get configurationGet
		if len(message.params) > 0 && json.Unmarshal(message.params, &get) != nil {
			return nil, invalid
		}
		configuration, err := handlers.Configuration.Configuration(l.ctx, get.Known)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.NotReady, "%v", err)
		}
		return configuration, nil
	case message.method == methodConfigurationChanged && handlers.Configuration != nil:
		var changed configurationChanged
		if json.Unmarshal(message.params, &changed) != nil {
			return nil, invalid
		}
		handlers.Configuration.ConfigurationChanged(l.ctx, from, changed.Revision)
		return struct{}{}, nil
	case message.method == methodServersHandover && handlers.Handover != nil:
		if err := handlers.Handover.Handover(l.ctx, from, message.params); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ServerError, "%v", err)
		}
		return struct{}{}, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.NotReady, "%s is not served", message.method)
}

func (l *link) serveTicket(run ticketRun) ticketRan {
	deadline := time.Now().Add(time.Duration(run.LeftMicros) * time.Microsecond)
	ctx, cancel := context.WithDeadline(l.ctx, deadline)
	defer cancel()
	outcome := l.node.handlers.Tickets.RunTicket(ctx, l.peer.Instance, ticket.Call{
		Ticket: run.Ticket, Digest: run.Digest, Application: run.Application, Body: run.Body, Deadline: deadline,
	})
	return ticketRan{outcome.Answer, toWireError(outcome.Err), outcome.Field, outcome.Coverage}
}

// inCall is a parts.run that this instance serves. Results wait here until the writer is free, so
// that those which come together leave in one message.
type inCall struct {
	link   *link
	id     uint64
	cancel context.CancelFunc

	mu      sync.Mutex
	open    map[uint64]query.Part
	results []wireResult
	queued  bool
}

func (l *link) receiveParts(message inbound) error {
	var run partsRun
	if err := json.Unmarshal(message.params, &run); err != nil {
		return err
	}
	if message.notif || len(run.Parts) == 0 {
		return fmt.Errorf("a %s without id or parts", methodPartsRun)
	}
	if l.node.handlers.Parts == nil {
		l.reply(message.id, nil, verdict.New(verdict.NotRun, verdict.NotReady, "parts are not served"))
		return nil
	}
	if !l.startServing() {
		l.reply(message.id, nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many calls of this peer"))
		return nil
	}
	parts := run.toParts(time.Now())
	l.node.counters.partsServed.Add(uint64(len(parts)))
	call := &inCall{link: l, id: message.id, open: make(map[uint64]query.Part, len(parts))}
	latest := parts[0].Deadline
	for _, part := range parts {
		call.open[part.Attempt] = part
		if part.Deadline.After(latest) {
			latest = part.Deadline
		}
	}
	if len(call.open) != len(parts) {
		return fmt.Errorf("an attempt appears twice in one %s", methodPartsRun)
	}
	hops := 1
	if run.Forwarded {
		hops = 2
	}
	ctx, cancel := context.WithDeadline(context.WithValue(l.ctx, forwardedKey{}, hops), latest)
	// A runner that never answers must not hold the call for ever.
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(l.node.settings.Limits.SilentAfter, call.abandon) })
	call.cancel = func() {
		stop()
		cancel()
	}
	go l.node.handlers.Parts.Run(ctx, l.peer.Instance, parts, call.deliver)
	return nil
}

func (c *inCall) deliver(result query.Result) {
	c.mu.Lock()
	if _, ok := c.open[result.Attempt]; !ok {
		c.mu.Unlock()
		return
	}
	delete(c.open, result.Attempt)
	wire := toWireResult(result)
	if limit := c.link.node.settings.Limits.FrameBytes - 4096; len(wire.Rows) > limit {
		wire.Rows = nil
		wire.Err = toWireError(verdict.New(verdict.Ran, verdict.ResultDropped,
			"the rows have %d bytes, allowed between peers are %d", len(result.Rows), limit))
	}
	c.results = append(c.results, wire)
	first := !c.queued
	c.queued = true
	c.mu.Unlock()
	if first {
		c.link.stream.enqueueSource(c)
	}
}

func (c *inCall) abandon() {
	c.mu.Lock()
	rest := make([]query.Part, 0, len(c.open))
	for _, part := range c.open {
		rest = append(rest, part)
	}
	c.mu.Unlock()
	for _, part := range rest {
		c.deliver(query.Result{
			Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version,
			Err: verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "the owner gave no result"),
		})
	}
}

// appendFrames implements source.
func (c *inCall) appendFrames(buffer []byte) []byte {
	c.mu.Lock()
	results, ended := c.results, len(c.open) == 0
	c.results, c.queued = nil, false
	c.mu.Unlock()
	buffer = appendResults(buffer, c.id, results, c.link.node.settings.Limits.FrameBytes)
	if ended {
		c.cancel()
		c.link.endServing()
		buffer = appendFrame(buffer, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":null}`, c.id))
	}
	return buffer
}
