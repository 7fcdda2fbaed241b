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

// outboundCall is a parts.run call to a peer. Each part gets one result, from whatever comes first: the peer's result,
// the deadline of the part, the end of the call, or the end of the connection.
type outboundCall struct {
	to      fleet.InstanceID
	deliver func(query.Result)
	// request is the state of the frame that carries the parts.
	request frameState

	mu sync.Mutex
	// conn and id are set when the call is registered on a connection; conn is nil before.
	conn *peerConn
	id   uint64
	// openParts holds the parts without a result, by attempt.
	openParts map[uint64]query.Part
	// deadlineTimer fires at the earliest deadline of openParts; nil before the frame is queued.
	deadlineTimer *time.Timer
	// stopCancelWatch ends the wait for the cancellation of the context. It is set together with deadlineTimer.
	stopCancelWatch func() bool
}

// Send implements query.Sender for owners other than this instance. Results are delivered from the goroutine that reads
// the connection, so deliver must not block. If ctx is the one that PartsRunner.Run was given with parts of a peer, the
// parts are sent as forwarded; if they were already forwarded to this instance, they are refused.
func (n *Node) Send(ctx context.Context, owner fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	if len(parts) == 0 {
		return
	}
	call := &outboundCall{to: owner, deliver: deliver, openParts: make(map[uint64]query.Part, len(parts))}
	for _, part := range parts {
		call.openParts[part.Attempt] = part
	}
	if Forwarded(ctx) {
		call.failAll(verdict.New(verdict.NotRun, verdict.NotOwner, "the parts have already been forwarded once"))
		return
	}
	to := n.outboundPeer(owner)
	if ready := to.openConn(); ready != nil {
		call.start(ctx, ready, parts)
		return
	}
	go func() {
		connectCtx, cancel := context.WithDeadline(ctx, connectDeadline(time.Now(), parts))
		defer cancel()
		pc, err := to.connOrDial(connectCtx)
		if err != nil && ctx.Err() != nil {
			call.failAll(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before a connection to %q was open", owner))
			return
		}
		if err != nil {
			call.failAll(unreachableError(owner, err))
			return
		}
		call.start(ctx, pc, parts)
	}()
}

// connectTimeDivisor sets how long parts wait for a connection: their remaining time divided by it. A peer that has
// stopped or is cut off accepts no connection, and the coordinator needs the rest of the time to try another replica,
// or to refuse long before the deadline.
const connectTimeDivisor = 4

// connectDeadline returns until when the parts wait for a connection. The latest deadline of the parts counts.
func connectDeadline(now time.Time, parts []query.Part) time.Time {
	latest := parts[0].Deadline
	for _, part := range parts[1:] {
		if part.Deadline.After(latest) {
			latest = part.Deadline
		}
	}
	return now.Add(latest.Sub(now) / connectTimeDivisor)
}

// start registers the call on a connection, queues its frame, and then waits for deadlines and cancellation.
func (c *outboundCall) start(ctx context.Context, pc *peerConn, parts []query.Part) {
	hops, _ := ctx.Value(hopsKey{}).(int)
	if !pc.registerCall(c, parts) {
		c.failAll(verdict.New(verdict.NotRun, verdict.Overloaded, "too many parts in flight to %q", c.to))
		return
	}
	params, err := encodeJSON(toPartsRun(parts, hops > 0, time.Now()))
	if err == nil {
		err = pc.stream.enqueue(outboundFrame{encodeRequest(methodPartsRun, c.id, params), &c.request})
	}
	if err != nil {
		c.failAll(enqueueError(c.to, err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openParts) > 0 {
		c.deadlineTimer = time.AfterFunc(time.Until(c.earliestDeadline()), c.failExpiredParts)
		c.stopCancelWatch = context.AfterFunc(ctx, func() { c.cancelAttempts(c.remainingAttempts()) })
	}
}

// registerCall gives the call its id and its place among the calls of the connection. It reports false if the parts
// would exceed Limits.MaxParts.
func (pc *peerConn) registerCall(c *outboundCall, parts []query.Part) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.partsInFlight+len(parts) > pc.node.settings.Limits.MaxParts {
		return false
	}
	c.conn, c.id = pc, pc.lastID.Add(2)|partsRunIDBit
	pc.partsInFlight += len(parts)
	pc.node.counters.partsSent.Add(uint64(len(parts)))
	pc.callsByID[c.id] = c
	for _, part := range parts {
		pc.callsByAttempt[part.Attempt] = c
	}
	return true
}

// settle delivers a result if its attempt, shard and server are those of an open part of the call, and reports whether
// they are. Any other result is dropped.
func (c *outboundCall) settle(result query.Result) bool {
	c.mu.Lock()
	part, ok := c.openParts[result.Attempt]
	if !ok || part.Shard != result.Shard || part.Server != result.Server {
		c.mu.Unlock()
		return false
	}
	delete(c.openParts, result.Attempt)
	if len(c.openParts) == 0 && c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
		c.stopCancelWatch()
	}
	ended, pc := len(c.openParts) == 0, c.conn
	c.mu.Unlock()
	if pc != nil {
		pc.releasePart(c, result.Attempt, ended)
	}
	c.deliver(result)
	return true
}

// releasePart removes a part that has its result from the connection, and with the last part the call.
func (pc *peerConn) releasePart(c *outboundCall, attempt uint64, ended bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.partsInFlight--
	delete(pc.callsByAttempt, attempt)
	if ended {
		delete(pc.callsByID, c.id)
	}
}

func (c *outboundCall) fail(part query.Part, err *verdict.Error) {
	c.settle(query.Result{
		Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Err: err,
	})
}

func (c *outboundCall) failAll(err *verdict.Error) {
	for _, part := range c.remainingParts() {
		c.fail(part, err)
	}
}

func (c *outboundCall) remainingParts() []query.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := make([]query.Part, 0, len(c.openParts))
	for _, part := range c.openParts {
		rest = append(rest, part)
	}
	return rest
}

func (c *outboundCall) remainingAttempts() []uint64 {
	var attempts []uint64
	for _, part := range c.remainingParts() {
		attempts = append(attempts, part.Attempt)
	}
	return attempts
}

// earliestDeadline returns the earliest deadline of the open parts. c.mu must be held.
func (c *outboundCall) earliestDeadline() time.Time {
	var next time.Time
	for _, part := range c.openParts {
		if next.IsZero() || part.Deadline.Before(next) {
			next = part.Deadline
		}
	}
	return next
}

// failExpiredParts fails the open parts whose deadlines have passed and sets the timer for the next deadline. If the
// frame is not yet written, it withdraws the frame and fails all open parts.
func (c *outboundCall) failExpiredParts() {
	now := time.Now()
	for _, part := range c.remainingParts() {
		if part.Deadline.After(now) {
			continue
		}
		if c.request.withdraw() {
			// The parts with later deadlines are in the same frame.
			c.failAll(verdict.New(verdict.NotRun, verdict.PeerUnreachable, "request not written to %q before the deadline", c.to))
			return
		}
		c.fail(part, verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no result from %q before the deadline", c.to))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openParts) > 0 {
		c.deadlineTimer.Reset(time.Until(c.earliestDeadline()))
	}
}

// cancelAttempts cancels parts. If the frame is not yet written, it withdraws the frame and fails all open parts.
// Otherwise the parts stay open until the owner answers or the deadline passes, because only the owner knows whether
// they ran.
func (c *outboundCall) cancelAttempts(attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	if c.request.withdraw() {
		c.failAll(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before the request was sent to %q", c.to))
		return
	}
	c.conn.notify(methodPartsCancel, partsCancelParams{attempts})
}

// Cancel implements query.Sender.
func (n *Node) Cancel(owner fleet.InstanceID, attempt uint64) {
	pc := n.outboundPeer(owner).openConn()
	if pc == nil {
		return
	}
	pc.mu.Lock()
	call := pc.callsByAttempt[attempt]
	pc.mu.Unlock()
	if call == nil {
		return
	}
	// With a single open part the frame can be withdrawn if it is not yet written. With several, the others must go on.
	if len(call.remainingParts()) == 1 {
		call.cancelAttempts([]uint64{attempt})
		return
	}
	pc.notify(methodPartsCancel, partsCancelParams{[]uint64{attempt}})
}

// handlePartsResult handles a parts.result notification. It drops and counts results that match no open part.
func (pc *peerConn) handlePartsResult(params json.RawMessage) error {
	var message partsResultParams
	if err := json.Unmarshal(params, &message); err != nil {
		return err
	}
	pc.node.counters.resultFrames.Add(1)
	pc.mu.Lock()
	call := pc.callsByID[message.Call]
	pc.mu.Unlock()
	for _, wire := range message.Results {
		if call == nil || !call.settle(wire.toResult()) {
			pc.node.counters.dropped.Add(1)
		}
	}
	return nil
}

// appendResults appends the results of a call in one or more parts.result frames. A frame takes further results while
// it stays below 256 KiB, so that one large batch does not delay the frames after it, and below half of the frame
// limit.
func appendResults(buffer []byte, call uint64, results []wireResult, limit int) []byte {
	targetBytes := min(limit/2, 256<<10)
	for len(results) > 0 {
		start := len(buffer)
		buffer = append(buffer, make([]byte, frameHeaderBytes)...)
		buffer = append(buffer, `{"jsonrpc":"2.0","method":"parts.result","params":{"call":`...)
		buffer = strconv.AppendUint(buffer, call, 10)
		buffer = append(buffer, `,"results":[`...)
		first := true
		for len(results) > 0 && (first || len(buffer)-start+len(results[0].Rows) < targetBytes) {
			if !first {
				buffer = append(buffer, ',')
			}
			buffer = appendResult(buffer, results[0])
			results, first = results[1:], false
		}
		buffer = append(buffer, `]}}`...)
		binary.BigEndian.PutUint32(buffer[start:], uint32(len(buffer)-start-frameHeaderBytes))
	}
	return buffer
}

func appendResult(buffer []byte, result wireResult) []byte {
	encoded, err := encodeJSON(result)
	if err != nil {
		// Encoding fails only for rows that are not valid JSON.
		result.Rows = nil
		result.Err = toWireError(verdict.New(verdict.Ran, verdict.BadAnswer, "the rows are not valid JSON"))
		encoded, _ = encodeJSON(result)
	}
	return append(buffer, encoded...)
}

// Heartbeat sends a heartbeat to a peer and returns the one in the response. If the peer does not answer within the
// silence timeout of the Limits, the connection is closed, so that the next call opens a new one. This holds also if
// ctx ends earlier, and a response after the end of ctx still keeps the connection open.
func (n *Node) Heartbeat(ctx context.Context, to fleet.InstanceID, heartbeat Heartbeat) (Heartbeat, error) {
	pc, err := n.outboundPeer(to).connOrDial(ctx)
	if err != nil {
		return Heartbeat{}, unreachableError(to, err)
	}
	heartbeat.Instance, heartbeat.Incarnation, heartbeat.Zone = n.settings.Instance, n.settings.Incarnation, n.settings.Zone
	type response struct {
		heartbeat Heartbeat
		err       *verdict.Error
	}
	responses := make(chan response, 1)
	silenceTimer := time.AfterFunc(n.settings.Limits.SilenceTimeout, func() {
		n.counters.silent.Add(1)
		pc.close()
	})
	go func() {
		var other response
		other.err = pc.call(pc.ctx, methodHeartbeat, heartbeat, &other.heartbeat)
		silenceTimer.Stop()
		responses <- other
	}()
	select {
	case other := <-responses:
		if other.err != nil {
			return Heartbeat{}, other.err
		}
		other.heartbeat.Instance, other.heartbeat.Incarnation, other.heartbeat.Zone = pc.peer.Instance, pc.peer.Incarnation, pc.peer.Zone
		return other.heartbeat, nil
	case <-ctx.Done():
		return Heartbeat{}, verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "no answer to the heartbeat from %q: %v", to, ctx.Err())
	}
}

// ForwardTicket implements ticket.Forwarder.
func (n *Node) ForwardTicket(ctx context.Context, to fleet.InstanceID, call ticket.Call) (ticket.Outcome, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	run := ticketRunParams{call.Ticket, call.Digest, call.Application, call.Body, remainingMicros(call.Deadline)}
	var result ticketRunResult
	if err := n.call(ctx, to, methodTicketRun, run, &result); err != nil {
		return ticket.Outcome{}, err
	}
	return ticket.Outcome{Answer: result.Answer, Err: result.Err.toError(), Field: result.Field, Coverage: result.Coverage}, nil
}

// GetConfiguration returns the configuration in force at a peer. It has no document if its revision is not above the
// known one.
func (n *Node) GetConfiguration(ctx context.Context, from fleet.InstanceID, known uint64) (Configuration, error) {
	var configuration Configuration
	if err := n.call(ctx, from, methodConfigurationGet, configurationGetParams{known}, &configuration); err != nil {
		return Configuration{}, err
	}
	return configuration, nil
}

// ConfigurationChanged notifies a peer of the revision of a new configuration and returns when the peer has answered.
func (n *Node) ConfigurationChanged(ctx context.Context, to fleet.InstanceID, revision uint64) error {
	return asError(n.call(ctx, to, methodConfigurationChanged, configurationChangedParams{revision}, nil))
}

// Handover passes the state of backend servers, in the encoding of their current owner, to their next owner.
func (n *Node) Handover(ctx context.Context, to fleet.InstanceID, state json.RawMessage) error {
	return asError(n.call(ctx, to, methodServersHandover, state, nil))
}
