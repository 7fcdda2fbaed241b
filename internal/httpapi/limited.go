package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// acceptRetryInterval is the pause after a failed accept, most often for lack of a free file descriptor.
const acceptRetryInterval = 20 * time.Millisecond

// acceptDrainWindow is how long Shutdown goes on accepting connections from the kernel's accept queue. Closing the
// listener resets the connections in that queue, and callers may already have sent requests on them.
const acceptDrainWindow = 50 * time.Millisecond

// Limits are the limits of the size of a header and of the time that a connection may wait. Except where stated, a zero
// field has the meaning that it has in http.Server.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// ReadTimeout limits the reading of a whole request; zero means that only the reading of the header is limited.
	ReadTimeout time.Duration
}

// connectionHandler is implemented by a handler that keeps state for each connection.
type connectionHandler interface {
	// ConnContext returns the context for all requests on a new connection, derived from ctx.
	ConnContext(ctx context.Context, connection net.Conn) context.Context
}

// LimitedServer serves one handler under limits that may change while it runs. New connections have the current limits.
// Open connections keep those that they were accepted with and close after their next answer, so that a change does not
// interrupt a request. A LimitedServer is safe for concurrent use.
type LimitedServer struct {
	handler http.Handler

	mutex    sync.Mutex
	limits   Limits
	current  *generation
	draining map[*generation]struct{}
	listener net.Listener
	// serveDone is closed when Serve returns; nil before Serve is called.
	serveDone  chan struct{}
	stopped    bool
	background sync.WaitGroup
}

// generation is the HTTP server of the connections that were accepted under the same limits.
type generation struct {
	server *http.Server
	queue  *connectionQueue
	// connections is the number of open connections, guarded by the mutex of the LimitedServer.
	connections int
	// replaced is set when newer limits come into force.
	replaced atomic.Bool
}

// NewLimitedServer returns a server of the handler with the given initial limits.
func NewLimitedServer(handler http.Handler, limits Limits) *LimitedServer {
	s := &LimitedServer{handler: handler, limits: limits, draining: make(map[*generation]struct{})}
	s.current = s.newGeneration(limits)
	return s
}

// NewLimitedServerFrom returns a LimitedServer with the handler and the limits of server, which must not have been
// started.
func NewLimitedServerFrom(server *http.Server) *LimitedServer {
	return NewLimitedServer(server.Handler, Limits{
		MaxHeaderBytes: server.MaxHeaderBytes, HeaderTimeout: server.ReadHeaderTimeout, IdleTimeout: server.IdleTimeout, ReadTimeout: server.ReadTimeout,
	})
}

func (s *LimitedServer) newGeneration(limits Limits) *generation {
	g := &generation{queue: newConnectionQueue()}
	g.server = &http.Server{
		ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadTimeout: limits.ReadTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.replaced.Load() {
				w.Header().Set("Connection", "close")
			}
			s.handler.ServeHTTP(w, r)
		}),
		ConnState: func(_ net.Conn, state http.ConnState) { s.countConnections(g, state) },
	}
	if handler, ok := s.handler.(connectionHandler); ok {
		g.server.ConnContext = handler.ConnContext
	}
	s.background.Go(func() { _ = g.server.Serve(g.queue) }) // returns when the queue is closed
	return g
}

// countConnections updates the number of open connections of a generation.
func (s *LimitedServer) countConnections(g *generation, state http.ConnState) {
	delta := 0
	switch state {
	case http.StateNew:
		delta = 1
	case http.StateClosed, http.StateHijacked:
		delta = -1
	default:
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g.connections += delta
	s.updateDraining(g)
}

// updateDraining keeps a replaced generation in the draining set for as long as it has connections. It requires the
// mutex.
func (s *LimitedServer) updateDraining(g *generation) {
	if g.replaced.Load() && g.connections > 0 {
		s.draining[g] = struct{}{}
	} else {
		delete(s.draining, g)
	}
}

// SetLimits puts the limits in force for new connections. It has no effect once the server is stopped.
func (s *LimitedServer) SetLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if limits == s.limits || s.stopped {
		return
	}
	klog.InfoS("Caller connection limits changed", "header-bytes", limits.MaxHeaderBytes, "header-timeout", limits.HeaderTimeout,
		"idle-timeout", limits.IdleTimeout)
	old := s.current
	s.limits, s.current = limits, s.newGeneration(limits)
	old.replaced.Store(true)
	s.updateDraining(old)
	_ = old.queue.Close() // it cannot fail
}

// Serve accepts connections until Shutdown or Close is called, and then returns http.ErrServerClosed. It may be called
// once.
func (s *LimitedServer) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	s.serveDone = make(chan struct{})
	stopped := s.stopped
	s.mutex.Unlock()
	defer close(s.serveDone)
	if stopped {
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			s.dispatch(connection)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return http.ErrServerClosed
		default:
			klog.InfoS("Accepting a connection failed", "err", err)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// dispatch passes a connection to the server with the current limits. After a stop it closes the connection.
func (s *LimitedServer) dispatch(connection net.Conn) {
	for {
		s.mutex.Lock()
		current, stopped := s.current, s.stopped
		s.mutex.Unlock()
		if current.queue.offer(connection) {
			return
		}
		if stopped {
			_ = connection.Close() // the server is stopped; there is no use for the error
			return
		}
	}
}

// stop closes the listener and returns the servers of all open connections.
func (s *LimitedServer) stop() ([]*http.Server, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	_ = s.current.queue.Close() // it cannot fail
	servers := []*http.Server{s.current.server}
	for g := range s.draining {
		servers = append(servers, g.server)
	}
	return servers, err
}

// acceptPending lets Serve accept what is in the kernel's accept queue for up to acceptDrainWindow and waits until
// Serve returns. It does nothing if the server has no listener or the listener has no deadlines.
func (s *LimitedServer) acceptPending() {
	s.mutex.Lock()
	listener, serveDone := s.listener, s.serveDone
	s.mutex.Unlock()
	deadliner, ok := listener.(interface{ SetDeadline(at time.Time) error })
	if !ok || deadliner.SetDeadline(time.Now().Add(acceptDrainWindow)) != nil {
		return
	}
	<-serveDone
}

// Shutdown stops accepting connections and waits until all requests in progress are answered or ctx ends.
func (s *LimitedServer) Shutdown(ctx context.Context) error {
	s.acceptPending()
	servers, err := s.stop()
	// An http.Server shuts down gracefully only the connections that it has accepted from the queue, so wait until the
	// Serve calls of all generations have returned.
	s.background.Wait()
	failures := make([]error, len(servers))
	var group sync.WaitGroup
	for i, server := range servers {
		group.Go(func() { failures[i] = server.Shutdown(ctx) })
	}
	group.Wait()
	return errors.Join(append(failures, ignoreClosed(err))...)
}

// Close closes the listener and all connections immediately.
func (s *LimitedServer) Close() error {
	servers, err := s.stop()
	failures := []error{ignoreClosed(err)}
	for _, server := range servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}

// ignoreClosed drops the error of closing a listener twice.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connectionQueue is a net.Listener that returns connections which LimitedServer.Serve has accepted.
type connectionQueue struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnectionQueue() *connectionQueue {
	return &connectionQueue{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// offer waits until the connection is accepted from the queue, and reports whether it was. It returns false once the
// queue is closed.
func (q *connectionQueue) offer(connection net.Conn) bool {
	select {
	case <-q.closed:
		return false
	default:
	}
	select {
	case q.connections <- connection:
		return true
	case <-q.closed:
		return false
	}
}

// Accept implements net.Listener.
func (q *connectionQueue) Accept() (net.Conn, error) {
	select {
	case connection := <-q.connections:
		return connection, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connectionQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener. The queue has no address of its own.
func (q *connectionQueue) Addr() net.Addr { return &net.TCPAddr{} }
