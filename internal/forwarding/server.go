package forwarding

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/medlarlatch/medlarlatch/internal/peerrpc"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// maxServed is the number of forwarded requests that an instance serves at a time.
const maxServed = 128

// Handler serves requests that other instances have forwarded. The context ends when the caller has gone.
type Handler interface {
	ServeForwarded(ctx context.Context, request *Request) Reply
}

// Server answers the calls of the instances that forward requests to this one. It is safe for concurrent use.
type Server struct {
	handler Handler

	mutex   sync.Mutex
	running map[cancellation]context.CancelFunc
	closed  bool
	// idle is closed when the server is closed and no request is running.
	idle chan struct{}
}

// NewServer returns a server that passes requests to the handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, running: make(map[cancellation]context.CancelFunc), idle: make(chan struct{})}
}

// Methods returns the methods that the server offers to the other instances.
func (s *Server) Methods() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		ForwardMethod:            s.answerForward,
		ForwardForCustomerMethod: s.answerForward,
		CancelMethod:             s.answerCancel,
		PingMethod:               func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil },
	}
}

func (s *Server) answerForward(ctx context.Context, params json.RawMessage) (any, error) {
	var request Request
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := cancellation{request.Origin, request.Number}
	if !s.begin(key, cancel) {
		return Reply{Refused: true, Reason: verdict.Overloaded}, nil
	}
	defer s.end(key)
	return s.handler.ServeForwarded(ctx, &request), nil
}

func (s *Server) answerCancel(_ context.Context, params json.RawMessage) (any, error) {
	var key cancellation
	if err := json.Unmarshal(params, &key); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cancel := s.running[key]; cancel != nil {
		cancel()
	}
	return struct{}{}, nil
}

// begin records a request that is about to run; false if it must be refused.
func (s *Server) begin(key cancellation, cancel context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, duplicate := s.running[key]; duplicate || s.closed || len(s.running) >= maxServed {
		return false
	}
	s.running[key] = cancel
	return true
}

func (s *Server) end(key cancellation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, key)
	if s.closed && len(s.running) == 0 {
		close(s.idle)
	}
}

// Shutdown refuses further requests and waits until the running ones have ended, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.mutex.Lock()
	if !s.closed {
		s.closed = true
		if len(s.running) == 0 {
			close(s.idle)
		}
	}
	s.mutex.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}
