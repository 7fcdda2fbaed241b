package peerrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// Handler processes one call and returns its result. params comes from the peer and has not been validated.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server processes the calls of the peers that connect. It is safe for concurrent use.
type Server struct {
	methods map[string]Handler

	mutex       sync.Mutex
	connections int // currently open
}

// NewServer returns a server that offers the methods under the names in the map.
func NewServer(methods map[string]Handler) *Server { return &Server{methods: methods} }

// Serve accepts connections from the listener and processes their calls until the listener is closed. A connection that
// exceeds maxConnections is closed at once, and so is one on which a malformed frame arrives.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			klog.InfoS("Accepting a peer connection failed", "err", err)
			time.Sleep(acceptRetryInterval)
		case !s.acquireConnection():
			klog.InfoS("Peer connection refused at the connection limit", "connections", maxConnections, "remote", raw.RemoteAddr())
			_ = raw.Close() // There is no one to report an error to.
		default:
			// The calls of a peer that has closed its connection, or has ended, are cancelled.
			connCtx, cancel := context.WithCancel(ctx)
			conn := jsonrpc2.NewConn(connCtx, newStream(raw, maxCallBytes, idleTimeout), s.newConnHandler())
			go func() {
				<-conn.DisconnectNotify()
				cancel()
				s.releaseConnection()
			}()
		}
	}
}

// acquireConnection counts a new connection. It returns false if maxConnections are open already.
func (s *Server) acquireConnection() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections >= maxConnections {
		return false
	}
	s.connections++
	return true
}

func (s *Server) releaseConnection() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections--
}

// connHandler processes the calls of one connection.
type connHandler struct {
	methods map[string]Handler
	// inProgress is a semaphore that holds one element for each call in progress.
	inProgress chan struct{}
}

func (s *Server) newConnHandler() *connHandler {
	return &connHandler{methods: s.methods, inProgress: make(chan struct{}, maxCallsPerConnection)}
}

// Handle implements jsonrpc2.Handler. It processes the call in a new goroutine, so that a call that waits for an update
// does not delay the others on its connection.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	method := h.methods[request.Method]
	if method == nil || request.Params == nil {
		respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"})
		return
	}
	select {
	case h.inProgress <- struct{}{}:
	default:
		respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "too many calls in progress"})
		return
	}
	go func() {
		defer func() { <-h.inProgress }()
		result, err := callMethod(ctx, request.Method, method, *request.Params)
		respond(ctx, conn, request, result, err)
	}()
}

// callMethod calls the method and converts a panic into an error.
func callMethod(ctx context.Context, name string, method Handler, params json.RawMessage) (result any, err error) {
	defer panics.Recover("call of a peer: "+name, func() {
		result, err = nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error"}
	})
	return method(ctx, params)
}

// respond sends the result or the error as the response to the request. It sends nothing for a notification, and closes
// the connection if the response cannot be written.
func respond(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any, err error) {
	if request.Notif {
		return
	}
	var text json.RawMessage
	if err == nil {
		text, err = encodeResult(result)
	}
	if err == nil {
		err = conn.Reply(ctx, request.ID, text)
	} else {
		failure, ok := errors.AsType[*jsonrpc2.Error](err)
		if !ok {
			failure = &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		err = conn.ReplyWithError(ctx, request.ID, failure)
	}
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(1).InfoS("Sending a response to a peer failed", "method", request.Method, "err", err)
		_ = conn.Close() // The frame may have been written only in part.
	}
}

// encodeResult encodes the result of a call. It fails for a result that the peer would not read.
func encodeResult(result any) (json.RawMessage, error) {
	text, err := json.Marshal(result)
	if err != nil {
		return nil, err
	}
	if len(text) > maxResultBytes {
		return nil, &jsonrpc2.Error{Code: codeTooLarge, Message: fmt.Sprintf("result of %d bytes, at most %d are allowed", len(text), maxResultBytes)}
	}
	return text, nil
}
