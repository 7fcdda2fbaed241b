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

// acceptRetry is the pause after a connection could not be accepted, most often because no descriptor is free.
const acceptRetry = 20 * time.Millisecond

// acceptLast is how long a stop goes on accepting what the kernel has accepted already: closing the listener would reset those
// connections, and callers may have sent requests on them.
const acceptLast = 50 * time.Millisecond

// Limits bound what a caller may send and how long a connection may wait.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// ReadTimeout bounds the reading of a whole request; zero for no bound beside that of the header.
	ReadTimeout time.Duration
}

// connectionHandler is a handler that keeps something for each connection.
type connectionHandler interface {
	// ConnContext returns the context of all requests on a new connection.
	ConnContext(ctx context.Context, connection net.Conn) context.Context
}

// LimitedServer serves one handler under limits that may change while it runs. New connections get the limits of now;
// those that are open keep theirs and close with their next answer, so that no request is cut by a change. It is safe
// for concurrent use.
type LimitedServer struct {
	handler http.Handler

	mutex    sync.Mutex
	limits   Limits
	current  *generation
	former   map[*generation]struct{}
	listener net.Listener
	// accepted is closed when Serve has ended; nil before it began.
	accepted   chan struct{}
	stopped    bool
	background sync.WaitGroup
}

// generation is the server of all connections with the same limits.
type generation struct {
	server *http.Server
	queue  *connectionQueue
	// connections are those that are open; the mutex of the LimitedServer guards it.
	connections int
	// replaced is set once there are newer limits.
	replaced atomic.Bool
}

// NewLimitedServer returns a server that starts with the limits.
func NewLimitedServer(handler http.Handler, limits Limits) *LimitedServer {
	s := &LimitedServer{handler: handler, limits: limits, former: make(map[*generation]struct{})}
	s.current = s.newGeneration(limits)
	return s
}

// Limited returns a server like the given one, which has not been started.
func Limited(server *http.Server) *LimitedServer {
	return NewLimitedServer(server.Handler, Limits{
		HeaderBytes: server.MaxHeaderBytes, HeaderTimeout: server.ReadHeaderTimeout, IdleTimeout: server.IdleTimeout, ReadTimeout: server.ReadTimeout,
	})
}

func (s *LimitedServer) newGeneration(limits Limits) *generation {
	g := &generation{queue: newConnectionQueue()}
	g.server = &http.Server{
		ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ReadTimeout: limits.ReadTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.replaced.Load() {
				w.Header().Set("Connection", "close")
			}
			s.handler.ServeHTTP(w, r)
		}),
		ConnState: func(_ net.Conn, state http.ConnState) { s.count(g, state) },
	}
	if handler, ok := s.handler.(connectionHandler); ok {
		g.server.ConnContext = handler.ConnContext
	}
	s.background.Go(func() { _ = g.server.Serve(g.queue) }) // it ends when the queue is closed
	return g
}

// count keeps a former generation for as long as it has connections.
func (s *LimitedServer) count(g *generation, state http.ConnState) {
	change := 0
	switch state {
	case http.StateNew:
		change = 1
	case http.StateClosed, http.StateHijacked:
		change = -1
	default:
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g.connections += change
	s.keepFormer(g)
}

// keepFormer is called with the lock held.
func (s *LimitedServer) keepFormer(g *generation) {
	if g.replaced.Load() && g.connections > 0 {
		s.former[g] = struct{}{}
	} else {
		delete(s.former, g)
	}
}

// SetLimits puts limits in force for new connections.
func (s *LimitedServer) SetLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if limits == s.limits || s.stopped {
		return
	}
	klog.InfoS("Limits of callers in force", "header-bytes", limits.HeaderBytes, "header-timeout", limits.HeaderTimeout,
		"idle-timeout", limits.IdleTimeout)
	old := s.current
	s.limits, s.current = limits, s.newGeneration(limits)
	old.replaced.Store(true)
	s.keepFormer(old)
	_ = old.queue.Close() // it cannot fail
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed.
func (s *LimitedServer) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	s.accepted = make(chan struct{})
	stopped := s.stopped
	s.mutex.Unlock()
	defer close(s.accepted)
	if stopped {
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			s.hand(connection)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return http.ErrServerClosed
		default:
			klog.InfoS("Connection not accepted", "err", err)
			time.Sleep(acceptRetry)
		}
	}
}

// hand gives a connection to the server of the limits of now. One that comes after the stop is closed.
func (s *LimitedServer) hand(connection net.Conn) {
	for {
		s.mutex.Lock()
		current, stopped := s.current, s.stopped
		s.mutex.Unlock()
		if current.queue.offer(connection) {
			return
		}
		if stopped {
			_ = connection.Close() // nobody is told
			return
		}
	}
}

// stop ends accepting and returns the servers of all open connections.
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
	for g := range s.former {
		servers = append(servers, g.server)
	}
	return servers, err
}

// acceptRest accepts what the kernel has accepted until now, and ends accepting.
func (s *LimitedServer) acceptRest() {
	s.mutex.Lock()
	listener, accepted := s.listener, s.accepted
	s.mutex.Unlock()
	limited, ok := listener.(interface{ SetDeadline(at time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(acceptLast)) != nil {
		return
	}
	<-accepted
}

// Shutdown ends accepting and waits until the requests in progress have their answers, or ctx ends.
func (s *LimitedServer) Shutdown(ctx context.Context) error {
	s.acceptRest()
	servers, err := s.stop()
	// Connections are known to their server once it has ended accepting.
	s.background.Wait()
	failures := make([]error, len(servers))
	var ending sync.WaitGroup
	for i, server := range servers {
		ending.Go(func() { failures[i] = server.Shutdown(ctx) })
	}
	ending.Wait()
	return errors.Join(append(failures, ignoreClosed(err))...)
}

// Close closes all connections at once.
func (s *LimitedServer) Close() error {
	servers, err := s.stop()
	failures := []error{ignoreClosed(err)}
	for _, server := range servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}

// ignoreClosed drops the error of a second close.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connectionQueue is a listener whose connections were accepted elsewhere.
type connectionQueue struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnectionQueue() *connectionQueue {
	return &connectionQueue{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// offer returns false once the queue is closed.
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

// Addr implements net.Listener.
func (q *connectionQueue) Addr() net.Addr { return &net.TCPAddr{} }
