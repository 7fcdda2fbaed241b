package link

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// Handler answers one call. Params are those of the call and may be anything.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the peers that connect. It is safe for concurrent use.
type Server struct {
	methods map[string]Handler

	mutex       sync.Mutex
	connections int
}

// NewServer returns a server of the methods.
func NewServer(methods map[string]Handler) *Server { return &Server{methods: methods} }

// Serve answers the peers that connect to the listener until it is closed. A connection beyond mostConnections is closed at
// once, and so is one that sends something other than calls.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			klog.InfoS("Peer connection not accepted", "err", err)
			time.Sleep(acceptRetry)
		case !s.admit():
			klog.InfoS("Peer connection refused", "connections", mostConnections, "remote", raw.RemoteAddr())
			_ = raw.Close() // nobody is told
		default:
			conn := jsonrpc2.NewConn(ctx, newStream(raw, longestCall, idleTimeout), s.newHandler())
			go func() {
				<-conn.DisconnectNotify()
				s.release()
			}()
		}
	}
}

func (s *Server) admit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections >= mostConnections {
		return false
	}
	s.connections++
	return true
}

func (s *Server) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections--
}

// handler answers the calls of one connection.
type handler struct {
	methods map[string]Handler
	// slots has a token for each call in progress.
	slots chan struct{}
}

func (s *Server) newHandler() *handler {
	return &handler{methods: s.methods, slots: make(chan struct{}, mostCalls)}
}

// Handle implements jsonrpc2.Handler. It does not wait for the answer, so that one call that waits for news does not hold
// up the others of its connection.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	method := h.methods[request.Method]
	if method == nil || request.Params == nil {
		reply(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"})
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		reply(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "too many calls in progress"})
		return
	}
	go func() {
		defer func() { <-h.slots }()
		answer, err := call(ctx, request.Method, method, *request.Params)
		reply(ctx, conn, request, answer, err)
	}()
}

// call runs the method and turns a panic into an error.
func call(ctx context.Context, name string, method Handler, params json.RawMessage) (answer any, err error) {
	defer panics.Recover("call of a peer: "+name, func() {
		answer, err = nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error"}
	})
	return method(ctx, params)
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, answer any, err error) {
	if request.Notif {
		return
	}
	if err == nil {
		err = conn.Reply(ctx, request.ID, answer)
	} else {
		failure, ok := errors.AsType[*jsonrpc2.Error](err)
		if !ok {
			failure = &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		err = conn.ReplyWithError(ctx, request.ID, failure)
	}
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(1).InfoS("Answer to a peer not delivered", "method", request.Method, "err", err)
		_ = conn.Close() // a frame may have been cut
	}
}
