package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// outCall is a parts.run to a peer. Each part is settled once, by whatever comes first: its result,
// its deadline, the end of the call or of the connection.
type outCall struct {
	to      fleet.InstanceID
	deliver func(query.Result)
	send    sendState

	mu    sync.Mutex
	link  *link
	id    uint64
	open  map[uint64]query.Part
	timer *time.Timer
	stop  func() bool
}

// Send implements query.Sender for remote owners. It calls deliver from the goroutine that reads the
// connection, so deliver must not block. A context that came with parts from a peer marks
// them as forwarded; parts that were forwarded to this instance are refused.
func (n *Node) Send(ctx context.Context, owner fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	if len(parts) == 0 {
		return
	}
	call := &outCall{to: owner, deliver: deliver, open: make(map[uint64]query.Part, len(parts))}
	for _, part := range parts {
		call.open[part.Attempt] = part
	}
	if Forwarded(ctx) {
		call.failAll(verdict.New(verdict.NotRun, verdict.NotOwner, "the parts were forwarded before"))
		return
	}
	to := n.peer(owner)
	if ready := to.ready(); ready != nil {
		call.start(ctx, ready, parts)
		return
	}
	go func() {
		wait, cancel := context.WithDeadline(ctx, connectBy(time.Now(), parts))
		defer cancel()
		l, err := to.link(wait)
		if err != nil && ctx.Err() != nil {
			call.failAll(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before %q was reached", owner))
			return
		}
		if err != nil {
			call.failAll(unreachable(owner, err))
			return
		}
		call.start(ctx, l, parts)
	}()
}

// connectShare is the part of the time left that parts wait for a connection. A peer that has stopped or is cut
// off accepts nothing, and the coordinator needs the rest of the time for another replica or for a refusal that
// comes long before the deadline.
const connectShare = 4

func connectBy(now time.Time, parts []query.Part) time.Time {
	latest := parts[0].Deadline
	for _, part := range parts[1:] {
		if part.Deadline.After(latest) {
			latest = part.Deadline
		}
	}
	return now.Add(latest.Sub(now) / connectShare)
}

func (c *outCall) start(ctx context.Context, l *link, parts []query.Part) {
	hops, _ := ctx.Value(forwardedKey{}).(int)
	if !l.register(c, parts) {
		c.failAll(verdict.New(verdict.NotRun, verdict.Overloaded, "too many parts in flight to %q", c.to))
		return
	}
	params, err := encode(toPartsRun(parts, hops > 0, time.Now()))
	if err == nil {
		err = l.stream.enqueue(outFrame{encodeRequest(methodPartsRun, c.id, params), &c.send})
	}
	if err != nil {
		c.failAll(notQueued(c.to, err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		c.timer = time.AfterFunc(time.Until(c.earliest()), c.expire)
		c.stop = context.AfterFunc(ctx, func() { c.giveUp(c.attempts()) })
	}
}

func (l *link) register(c *outCall, parts []query.Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inflight+len(parts) > l.node.settings.Limits.Parts {
		return false
	}
	c.link, c.id = l, l.lastID.Add(2)|partsID
	l.inflight += len(parts)
	l.node.counters.partsSent.Add(uint64(len(parts)))
	l.calls[c.id] = c
	for _, part := range parts {
		l.attempts[part.Attempt] = c
	}
	return true
}

// settle delivers the result of one part if the part is open and the result is its own.
func (c *outCall) settle(result query.Result) bool {
	c.mu.Lock()
	part, ok := c.open[result.Attempt]
	if !ok || part.Shard != result.Shard || part.Server != result.Server {
		c.mu.Unlock()
		return false
	}
	delete(c.open, result.Attempt)
	if len(c.open) == 0 && c.timer != nil {
		c.timer.Stop()
		c.stop()
	}
	ended, l := len(c.open) == 0, c.link
	c.mu.Unlock()
	if l != nil {
		l.release(c, result.Attempt, ended)
	}
	c.deliver(result)
	return true
}

func (l *link) release(c *outCall, attempt uint64, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inflight--
	delete(l.attempts, attempt)
	if ended {
		delete(l.calls, c.id)
	}
}

func (c *outCall) fail(part query.Part, err *verdict.Error) {
	c.settle(query.Result{
		Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Err: err,
	})
}

func (c *outCall) failAll(err *verdict.Error) {
	for _, part := range c.remaining() {
		c.fail(part, err)
	}
}

func (c *outCall) remaining() []query.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := make([]query.Part, 0, len(c.open))
	for _, part := range c.open {
		rest = append(rest, part)
	}
	return rest
}

func (c *outCall) attempts() []uint64 {
	var attempts []uint64
	for _, part := range c.remaining() {
		attempts = append(attempts, part.Attempt)
	}
	return attempts
}

// earliest returns the next deadline; the caller holds the lock.
func (c *outCall) earliest() time.Time {
	var next time.Time
	for _, part := range c.open {
		if next.IsZero() || part.Deadline.Before(next) {
			next = part.Deadline
		}
	}
	return next
}

func (c *outCall) expire() {
	now := time.Now()
	for _, part := range c.remaining() {
		if part.Deadline.After(now) {
			continue
		}
		if c.send.withdraw() {
			// The parts with later deadlines were in the same frame.
			c.failAll(verdict.New(verdict.NotRun, verdict.PeerUnreachable, "not written to %q in time", c.to))
			return
		}
		c.fail(part, verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no result from %q", c.to))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		c.timer.Reset(time.Until(c.earliest()))
	}
}

// giveUp cancels parts. Those that were written stay open until the owner answers or the deadline
// passes, because only the owner knows whether they ran.
func (c *outCall) giveUp(attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	if c.send.withdraw() {
		c.failAll(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before it was sent to %q", c.to))
		return
	}
	c.link.notify(methodPartsCancel, partsCancel{attempts})
}

// Cancel implements query.Sender.
func (n *Node) Cancel(owner fleet.InstanceID, attempt uint64) {
	l := n.peer(owner).ready()
	if l == nil {
		return
	}
	l.mu.Lock()
	call := l.attempts[attempt]
	l.mu.Unlock()
	if call == nil {
		return
	}
	// The frame of a single part is withdrawn if it has not left; others of the frame go on.
	if len(call.remaining()) == 1 {
		call.giveUp([]uint64{attempt})
		return
	}
	l.notify(methodPartsCancel, partsCancel{[]uint64{attempt}})
}

func (l *link) receiveResults(params json.RawMessage) error {
	var message partsResult
	if err := json.Unmarshal(params, &message); err != nil {
		return err
	}
	l.node.counters.resultFrames.Add(1)
	l.mu.Lock()
	call := l.calls[message.Call]
	l.mu.Unlock()
	for _, wire := range message.Results {
		if call == nil || !call.settle(wire.toResult()) {
			l.node.counters.dropped.Add(1)
		}
	}
	return nil
}

// appendResults appends as many parts.result frames as keep each below the limit. Frames are cut at
// 256 KiB, so that one large batch does not hold up what follows it.
func appendResults(buffer []byte, call uint64, results []wireResult, limit int) []byte {
	cut := min(limit/2, 256<<10)
	for len(results) > 0 {
		start := len(buffer)
		buffer = append(buffer, make([]byte, frameHeader)...)
		buffer = append(buffer, `{"jsonrpc":"2.0","method":"parts.result","params":{"call":`...)
		buffer = strconv.AppendUint(buffer, call, 10)
		buffer = append(buffer, `,"results":[`...)
		first := true
		for len(results) > 0 && (first || len(buffer)-start+len(results[0].Rows) < cut) {
			if !first {
				buffer = append(buffer, ',')
			}
			buffer = appendResult(buffer, results[0])
			results, first = results[1:], false
		}
		buffer = append(buffer, `]}}`...)
		binary.BigEndian.PutUint32(buffer[start:], uint32(len(buffer)-start-frameHeader))
	}
	return buffer
}

func appendResult(buffer []byte, result wireResult) []byte {
	encoded, err := encode(result)
	if err != nil {
		// Only rows that are not JSON fail to encode.
		result.Rows = nil
		result.Err = toWireError(verdict.New(verdict.Ran, verdict.BadAnswer, "the rows are not JSON"))
		encoded, _ = encode(result)
	}
	return append(buffer, encoded...)
}

// Heartbeat exchanges heartbeats with a peer. The connection is closed if the peer does not answer
// within SilentAfter, so that the next call opens a new one. That holds also when ctx ends earlier, and
// an answer after the end of ctx still counts as a sign of life.
func (n *Node) Heartbeat(ctx context.Context, to fleet.InstanceID, beat Heartbeat) (Heartbeat, error) {
	l, err := n.peer(to).link(ctx)
	if err != nil {
		return Heartbeat{}, unreachable(to, err)
	}
	beat.Instance, beat.Incarnation, beat.Zone = n.settings.Instance, n.settings.Incarnation, n.settings.Zone
	type reply struct {
		beat Heartbeat
		err  *verdict.Error
	}
	replies := make(chan reply, 1)
	silent := time.AfterFunc(n.settings.Limits.SilentAfter, func() {
		n.counters.silent.Add(1)
		l.close()
	})
	go func() {
		var other reply
		other.err = l.call(l.ctx, methodHeartbeat, beat, &other.beat)
		silent.Stop()
		replies <- other
	}()
	select {
	case other := <-replies:
		if other.err != nil {
			return Heartbeat{}, other.err
		}
		other.beat.Instance, other.beat.Incarnation, other.beat.Zone = l.peer.Instance, l.peer.Incarnation, l.peer.Zone
		return other.beat, nil
	case <-ctx.Done():
		return Heartbeat{}, verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "no heartbeat from %q: %v", to, ctx.Err())
	}
}

// ForwardTicket implements ticket.Forwarder.
func (n *Node) ForwardTicket(ctx context.Context, to fleet.InstanceID, call ticket.Call) (ticket.Outcome, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	run := ticketRun{call.Ticket, call.Digest, call.Application, call.Body, microsLeft(call.Deadline)}
	var ran ticketRan
	if err := n.call(ctx, to, methodTicketRun, run, &ran); err != nil {
		return ticket.Outcome{}, err
	}
	return ticket.Outcome{Answer: ran.Answer, Err: ran.Err.toError(), Field: ran.Field, Coverage: ran.Coverage}, nil
}

// GetConfiguration asks a peer for the configuration in force there. The answer has no document if the peer has
// nothing above the revision known.
func (n *Node) GetConfiguration(ctx context.Context, from fleet.InstanceID, known uint64) (Configuration, error) {
	var configuration Configuration
	if err := n.call(ctx, from, methodConfigurationGet, configurationGet{known}, &configuration); err != nil {
		return Configuration{}, err
	}
	return configuration, nil
}

// ConfigurationChanged tells a peer of a new configuration and returns when the peer has heard of it.
func (n *Node) ConfigurationChanged(ctx context.Context, to fleet.InstanceID, revision uint64) error {
	return asError(n.call(ctx, to, methodConfigurationChanged, configurationChanged{revision}, nil))
}

// Handover passes the state of servers, in the owner's encoding, to their next owner.
func (n *Node) Handover(ctx context.Context, to fleet.InstanceID, state json.RawMessage) error {
	return asError(n.call(ctx, to, methodServersHandover, state, nil))
}
