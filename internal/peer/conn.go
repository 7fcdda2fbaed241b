package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// peerConn is one connection to a peer, opened by either side. A call belongs to the connection on which it was sent
// and ends with it, so a result that arrives on another connection matches no call.
type peerConn struct {
	node   *Node
	stream *stream
	rpc    *jsonrpc2.Conn
	// dialled is set if this instance opened the connection.
	dialled bool
	// peer is the identity that the handshake proved. It is written once, before admitted is set.
	peer     hello
	admitted atomic.Bool
	// handshake is the state between the two steps of an inbound handshake; nil before the first step.
	handshake *handshakeState
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// lastID grows by 2 for each request. The lowest bit of an id is partsRunIDBit.
	lastID atomic.Uint64

	mu sync.Mutex
	// callsByID and callsByAttempt hold the parts.run calls with parts that have no result yet.
	callsByID      map[uint64]*outboundCall
	callsByAttempt map[uint64]*outboundCall
	partsInFlight  int
	// callsInService counts the calls of the peer that this instance is serving.
	callsInService  int
	pendingRequests map[uint64]pendingRequest
	// rpcReady is closed when rpc is set: jsonrpc2.NewConn starts to read frames before it returns.
	rpcReady chan struct{}
}

// pendingRequest holds what onSend needs for the frame of a request in addition to what jsonrpc2 passes to it. The
// parameters bypass the encoder of jsonrpc2, which would escape characters of the caller's query.
type pendingRequest struct {
	params json.RawMessage
	state  *frameState
}

// discardLog drops the log lines of jsonrpc2; errors are reported by the verdicts of the calls.
var discardLog = log.New(io.Discard, "", 0)

func newPeerConn(node *Node, connection net.Conn, dialled bool) *peerConn {
	pc := &peerConn{
		node: node, dialled: dialled, stream: newStream(connection, node.settings.Limits),
		callsByID: make(map[uint64]*outboundCall), callsByAttempt: make(map[uint64]*outboundCall),
		pendingRequests: make(map[uint64]pendingRequest), rpcReady: make(chan struct{}),
	}
	pc.ctx, pc.cancel = context.WithCancel(context.Background())
	pc.stream.fastPath = pc.handleFastPath
	pc.rpc = jsonrpc2.NewConn(pc.ctx, pc.stream, pc, jsonrpc2.SetLogger(discardLog), jsonrpc2.OnSend(pc.onSend), jsonrpc2.OnRecv(pc.onReceive))
	close(pc.rpcReady)
	context.AfterFunc(pc.ctx, func() { _ = pc.stream.Close() })
	go func() {
		<-pc.rpc.DisconnectNotify()
		pc.close()
	}()
	return pc
}

// close ends the connection and fails the calls that were sent on it.
func (pc *peerConn) close() {
	pc.cancel()
	pc.node.removeInbound(pc)
	pc.failAllCalls()
}

// onSend encodes the request that the following WriteObject writes. jsonrpc2 holds one lock over both.
func (pc *peerConn) onSend(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	next := pc.pendingRequests[request.ID.Num]
	delete(pc.pendingRequests, request.ID.Num)
	pc.stream.nextFrame = outboundFrame{encodeRequest(request.Method, request.ID.Num, next.params), next.state}
}

// dispatch queues a request with the given id. The state records whether its frame is written or withdrawn.
func (pc *peerConn) dispatch(id uint64, method string, params any, state *frameState) (jsonrpc2.Waiter, error) {
	encoded, err := encodeJSON(params)
	if err != nil {
		return jsonrpc2.Waiter{}, err
	}
	pc.mu.Lock()
	pc.pendingRequests[id] = pendingRequest{encoded, state}
	pc.mu.Unlock()
	return pc.rpc.DispatchCall(pc.ctx, method, nil, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
}

// call sends a request and waits for its response. The verdict of the error is about this call alone.
func (pc *peerConn) call(ctx context.Context, method string, params, result any) *verdict.Error {
	var request frameState
	waiter, err := pc.dispatch(pc.lastID.Add(2)&^partsRunIDBit, method, params, &request)
	if err != nil {
		return enqueueError(pc.peer.Instance, err)
	}
	if err = waiter.Wait(ctx, result); err == nil {
		return nil
	}
	if refused := fromRPCError(err); refused != nil {
		return refused
	}
	pc.closeIfDisconnected(err)
	return request.unansweredError(ctx, err)
}

// closeIfDisconnected closes the connection if err says that jsonrpc2 has ended it. Otherwise a retry after the error
// could be given the same connection again.
func (pc *peerConn) closeIfDisconnected(err error) {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		pc.close()
	}
}

// unansweredError returns the verdict of a request without a response: not run if its frame is withdrawn before it is
// written, else may have run.
func (s *frameState) unansweredError(ctx context.Context, err error) *verdict.Error {
	if s.withdraw() {
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "request not sent to the peer: %v", err)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no answer from the peer: %v", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "no answer from the peer: %v", err)
}

// notify queues a notification. Errors are ignored: only cancellations are sent in this way, and without one
// a part runs until its deadline.
func (pc *peerConn) notify(method string, params any) {
	if encoded, err := encodeJSON(params); err == nil {
		_ = pc.stream.enqueue(outboundFrame{encodeRequest(method, 0, encoded), nil})
	}
}

var (
	requestPrefix = []byte(`{"jsonrpc":"2.0","method":"`)
	idField       = []byte(`,"id":`)
	paramsField   = []byte(`,"params":`)
)

// inboundMessage is a request or notification from the peer. Its params alias the read buffer, which the next frame
// overwrites.
type inboundMessage struct {
	method         string
	id             uint64
	isNotification bool
	params         json.RawMessage
}

// parseInboundMessage parses a request or notification in exactly the form that encodeRequest writes and reports
// whether the frame has that form; any other form is left to the decoder of jsonrpc2. That decoder goes through a map,
// which changes the order of the keys in the caller's query. The params are not validated: if the frame has fields
// after them, they are not valid JSON.
func parseInboundMessage(frame []byte) (inboundMessage, bool) {
	rest, ok := bytes.CutPrefix(frame, requestPrefix)
	if !ok {
		return inboundMessage{}, false
	}
	method, rest, ok := bytes.Cut(rest, []byte{'"'})
	if !ok || bytes.ContainsFunc(method, func(r rune) bool { return r != '.' && (r < 'a' || r > 'z') }) {
		return inboundMessage{}, false
	}
	message := inboundMessage{method: string(method), isNotification: true}
	if after, has := bytes.CutPrefix(rest, idField); has {
		end := bytes.IndexAny(after, ",}")
		if end < 0 {
			return inboundMessage{}, false
		}
		id, err := strconv.ParseUint(string(after[:end]), 10, 64)
		if err != nil || after[0] == '0' {
			return inboundMessage{}, false
		}
		message.id, message.isNotification, rest = id, false, after[end:]
	}
	rest, ok = bytes.CutSuffix(rest, []byte{'}'})
	if !ok {
		return inboundMessage{}, false
	}
	if len(rest) == 0 {
		return message, true
	}
	message.params, ok = bytes.CutPrefix(rest, paramsField)
	return message, ok && len(message.params) > 0
}

// handleFastPath handles a frame in the form that this package writes and reports whether it did. Other frames go
// through the decoder of jsonrpc2.
func (pc *peerConn) handleFastPath(frame []byte) (bool, error) {
	<-pc.rpcReady
	if pc.handlePartsRunResponse(frame) {
		return true, nil
	}
	message, ok := parseInboundMessage(frame)
	if !ok {
		return false, nil
	}
	// The handlers of these two query-path methods decode the params at once, which validates them.
	checked := message.method == methodPartsRun || message.method == methodPartsResult
	if !checked && len(message.params) > 0 && !json.Valid(message.params) {
		return false, nil
	}
	return true, pc.handleMessage(message)
}

// Handle implements jsonrpc2.Handler for requests that handleFastPath left to the decoder of jsonrpc2.
func (pc *peerConn) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	message := inboundMessage{method: request.Method, id: request.ID.Num, isNotification: request.Notif}
	if request.Params != nil {
		message.params = *request.Params
	}
	if request.ID.IsString || pc.handleMessage(message) != nil {
		pc.close()
	}
}

// respond queues the response to a request: the result, or the error if refused is not nil.
func (pc *peerConn) respond(id uint64, result any, refused *verdict.Error) {
	if refused == nil {
		encoded, err := encodeJSON(result)
		if err == nil && pc.stream.enqueue(outboundFrame{encodeResponse(id, "result", encoded), nil}) == nil {
			return
		}
		// Without an error response the peer would wait until its deadline.
		refused = verdict.New(verdict.MayHaveRun, verdict.ResultDropped, "the response could not be sent")
	}
	if encoded, err := encodeJSON(toRPCError(refused)); err == nil {
		_ = pc.stream.enqueue(outboundFrame{encodeResponse(id, "error", encoded), nil})
	}
}

// remainingMicros returns the time until the deadline in microseconds. Deadlines are sent in this form, so that they do
// not depend on the receiver's clock.
func remainingMicros(deadline time.Time) int64 { return time.Until(deadline).Microseconds() }

// call sends a request to a peer, over a new connection if none is open, and waits for the response.
func (n *Node) call(ctx context.Context, to fleet.InstanceID, method string, params, result any) *verdict.Error {
	pc, err := n.outboundPeer(to).connOrDial(ctx)
	if err != nil {
		return unreachableError(to, err)
	}
	return pc.call(ctx, method, params, result)
}

// asError converts a nil *verdict.Error to a nil error instead of a non-nil interface that holds a nil pointer.
func asError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	return err
}
