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

// link is one connection. Calls belong to the link on which they were sent and end with it, so a
// result on another connection finds no call.
type link struct {
	node    *Node
	stream  *stream
	rpc     *jsonrpc2.Conn
	dialled bool
	// peer is set before admitted.
	peer     hello
	admitted atomic.Bool
	greeting *greeting
	ctx      context.Context
	cancel   context.CancelFunc
	lastID   atomic.Uint64

	mu       sync.Mutex
	calls    map[uint64]*outCall
	attempts map[uint64]*outCall
	inflight int
	serving  int
	unsent   map[uint64]unsent
	started  chan struct{}
}

// unsent is what the frame of a request needs beside what jsonrpc2 knows. The parameters go past its
// encoder, which would escape characters of the caller's query.
type unsent struct {
	params json.RawMessage
	send   *sendState
}

var discardLog = log.New(io.Discard, "", 0)

func newLink(node *Node, connection net.Conn, dialled bool) *link {
	l := &link{
		node: node, dialled: dialled, stream: newStream(connection, node.settings.Limits),
		calls: make(map[uint64]*outCall), attempts: make(map[uint64]*outCall),
		unsent: make(map[uint64]unsent), started: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.stream.direct = l.direct
	l.rpc = jsonrpc2.NewConn(l.ctx, l.stream, l, jsonrpc2.SetLogger(discardLog), jsonrpc2.OnSend(l.onSend), jsonrpc2.OnRecv(l.onReceive))
	close(l.started)
	context.AfterFunc(l.ctx, func() { _ = l.stream.Close() })
	go func() {
		<-l.rpc.DisconnectNotify()
		l.close()
	}()
	return l
}

func (l *link) close() {
	l.cancel()
	l.node.forget(l)
	l.loseCalls()
}

// onSend runs under the same lock of jsonrpc2 as the WriteObject after it.
func (l *link) onSend(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.unsent[request.ID.Num]
	delete(l.unsent, request.ID.Num)
	l.stream.next = outFrame{encodeRequest(request.Method, request.ID.Num, next.params), next.send}
}

// dispatch queues a request under a fresh id. The send state tells whether it was written.
func (l *link) dispatch(id uint64, method string, params any, send *sendState) (jsonrpc2.Waiter, error) {
	encoded, err := encode(params)
	if err != nil {
		return jsonrpc2.Waiter{}, err
	}
	l.mu.Lock()
	l.unsent[id] = unsent{encoded, send}
	l.mu.Unlock()
	return l.rpc.DispatchCall(l.ctx, method, nil, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
}

// call sends a request and waits for its answer. Its error has a verdict about this call alone.
func (l *link) call(ctx context.Context, method string, params, result any) *verdict.Error {
	var send sendState
	waiter, err := l.dispatch(l.lastID.Add(2)&^partsID, method, params, &send)
	if err != nil {
		return notQueued(l.peer.Instance, err)
	}
	if err = waiter.Wait(ctx, result); err == nil {
		return nil
	}
	if refused := fromRPCError(err); refused != nil {
		return refused
	}
	l.closeOn(err)
	return send.lost(ctx, err)
}

// closeOn ends the link when jsonrpc2 has ended the connection, before a caller that hears of it can
// try the same link again.
func (l *link) closeOn(err error) {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		l.close()
	}
}

// lost returns the verdict of a call whose answer did not come.
func (s *sendState) lost(ctx context.Context, err error) *verdict.Error {
	if s.withdraw() {
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "not sent: %v", err)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no answer from the peer: %v", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "no answer from the peer: %v", err)
}

func (l *link) notify(method string, params any) {
	if encoded, err := encode(params); err == nil {
		_ = l.stream.enqueue(outFrame{encodeRequest(method, 0, encoded), nil})
	}
}

var (
	requestPrefix = []byte(`{"jsonrpc":"2.0","method":"`)
	idField       = []byte(`,"id":`)
	paramsField   = []byte(`,"params":`)
)

// inbound is a request or notification; params alias the read buffer.
type inbound struct {
	method string
	id     uint64
	notif  bool
	params json.RawMessage
}

// parseInbound reads a request in the form that encodeMessage writes. The general decoder would go
// through a map, which changes the order of the keys in the caller's query. Another form is left to it.
// The parameters are not checked: with fields after them they are not JSON.
func parseInbound(frame []byte) (inbound, bool) {
	rest, ok := bytes.CutPrefix(frame, requestPrefix)
	if !ok {
		return inbound{}, false
	}
	method, rest, ok := bytes.Cut(rest, []byte{'"'})
	if !ok || bytes.ContainsFunc(method, func(r rune) bool { return r != '.' && (r < 'a' || r > 'z') }) {
		return inbound{}, false
	}
	message := inbound{method: string(method), notif: true}
	if after, has := bytes.CutPrefix(rest, idField); has {
		end := bytes.IndexAny(after, ",}")
		if end < 0 {
			return inbound{}, false
		}
		id, err := strconv.ParseUint(string(after[:end]), 10, 64)
		if err != nil || after[0] == '0' {
			return inbound{}, false
		}
		message.id, message.notif, rest = id, false, after[end:]
	}
	rest, ok = bytes.CutSuffix(rest, []byte{'}'})
	if !ok {
		return inbound{}, false
	}
	if len(rest) == 0 {
		return message, true
	}
	message.params, ok = bytes.CutPrefix(rest, paramsField)
	return message, ok && len(message.params) > 0
}

func (l *link) direct(frame []byte) (bool, error) {
	<-l.started
	if l.endOfCall(frame) {
		return true, nil
	}
	message, ok := parseInbound(frame)
	if !ok {
		return false, nil
	}
	// The methods of the request path decode all parameters at once, which checks them too.
	checked := message.method == methodPartsRun || message.method == methodPartsResult
	if !checked && len(message.params) > 0 && !json.Valid(message.params) {
		return false, nil
	}
	return true, l.receive(message)
}

// Handle implements jsonrpc2.Handler for requests that direct left to the general decoder.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	message := inbound{method: request.Method, id: request.ID.Num, notif: request.Notif}
	if request.Params != nil {
		message.params = *request.Params
	}
	if request.ID.IsString || l.receive(message) != nil {
		l.close()
	}
}

func (l *link) reply(id uint64, result any, refused *verdict.Error) {
	if refused == nil {
		encoded, err := encode(result)
		if err == nil && l.stream.enqueue(outFrame{encodeReply(id, "result", encoded), nil}) == nil {
			return
		}
		// The caller is told that nothing more is known, rather than left to wait.
		refused = verdict.New(verdict.MayHaveRun, verdict.ResultDropped, "the answer could not be sent")
	}
	if encoded, err := encode(toRPCError(refused)); err == nil {
		_ = l.stream.enqueue(outFrame{encodeReply(id, "error", encoded), nil})
	}
}

func microsLeft(deadline time.Time) int64 { return time.Until(deadline).Microseconds() }

// call sends a request to a peer, dialling it if need be, and waits for the answer.
func (n *Node) call(ctx context.Context, to fleet.InstanceID, method string, params, result any) *verdict.Error {
	l, err := n.peer(to).link(ctx)
	if err != nil {
		return unreachable(to, err)
	}
	return l.call(ctx, method, params, result)
}

// asError keeps a nil *verdict.Error from becoming a non-nil error.
func asError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	return err
}
