// Package peer carries calls between entry instances: JSON-RPC 2.0 over TCP with a shared key.
//
// A Node owns one lasting connection to each peer that it calls and the connections that peers opened
// to it. It never decides who owns a server or whether a ticket runs, and it never sends a call twice.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Limits bound what peers can make this process hold. A zero field takes its default.
type Limits struct {
	// FrameBytes is the largest message; default 16 MiB.
	FrameBytes int
	// QueueBytes is the most that waits to be written on one connection; default 32 MiB.
	QueueBytes int
	// Parts is the most parts in flight to, and calls served from, one peer; default 8192.
	Parts int
	// Connections is the most inbound connections after the handshake; default 4096.
	Connections int
	// Handshakes is the most inbound connections before the handshake; default 512, whose read buffers take 16 MiB.
	Handshakes int
	// SilentAfter is how long a heartbeat or a write may take before its connection is closed, and
	// how long dialling with the handshake may take; default 1 s, when a peer counts as unreachable.
	SilentAfter time.Duration
	// BackoffFirst and BackoffMost bound the wait after a failed dial; defaults 50 ms and 2 s.
	BackoffFirst, BackoffMost time.Duration
}

func (l Limits) withDefaults() Limits {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	wait := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&l.FrameBytes, 16<<20)
	set(&l.QueueBytes, 32<<20)
	set(&l.Parts, 8192)
	set(&l.Connections, 4096)
	set(&l.Handshakes, 512)
	wait(&l.SilentAfter, time.Second)
	wait(&l.BackoffFirst, 50*time.Millisecond)
	wait(&l.BackoffMost, 2*time.Second)
	return l
}

// Settings describe this instance to its peers.
type Settings struct {
	Instance    fleet.InstanceID
	Incarnation ticket.Incarnation
	Zone        fleet.ZoneID
	// Key is shared by all instances.
	Key []byte
	// TLS is used for both directions if it is set.
	TLS    *tls.Config
	Limits Limits
}

// Dialer opens a connection to a peer's address; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is this instance's end of all connections with peers.
type Node struct {
	settings Settings
	handlers Handlers
	address  func(fleet.InstanceID) (string, bool)
	dialer   Dialer
	random   *randomness
	counters counters

	mu       sync.Mutex
	outbound map[fleet.InstanceID]*outbound
	inbound  map[*link]bool
	// pending holds the inbound connections before the handshake, the oldest first.
	pending   []*link
	listeners map[net.Listener]bool
	closed    bool
}

// New returns a node that listens on nothing yet. The function address finds where a peer listens; random
// gives nonces and jitter and must be unpredictable outside tests.
func New(settings Settings, handlers Handlers, address func(fleet.InstanceID) (string, bool),
	dialer Dialer, random io.Reader,
) (*Node, error) {
	if settings.Instance == "" || len(settings.Key) < 16 {
		return nil, errors.New("a peer node needs an instance and a key of at least 16 bytes")
	}
	settings.Limits = settings.Limits.withDefaults()
	return &Node{
		settings: settings, handlers: handlers, address: address, dialer: dialer,
		random:   &randomness{source: random},
		outbound: make(map[fleet.InstanceID]*outbound), inbound: make(map[*link]bool),
		listeners: make(map[net.Listener]bool),
	}, nil
}

// acceptPause is how long the listener rests when the process has no file descriptor left.
const acceptPause = 20 * time.Millisecond

// Serve accepts peers until the listener fails or the node is closed.
func (n *Node) Serve(listener net.Listener) error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return errors.Join(net.ErrClosed, listener.Close())
	}
	n.listeners[listener] = true
	n.mu.Unlock()
	for {
		connection, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			// These pass when other connections end; peers would not find the listener again.
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		if n.settings.TLS != nil {
			connection = tls.Server(connection, n.settings.TLS)
		}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			_ = connection.Close()
			continue
		}
		l := newLink(n, connection, false)
		evicted := n.accept(l)
		n.mu.Unlock()
		if evicted != nil {
			n.counters.refused.Add(1)
			evicted.close()
		}
		l.expireHello(n.settings.Limits.SilentAfter)
	}
}

// Close closes all listeners and connections. Calls in flight end with a true verdict.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for listener := range n.listeners {
		_ = listener.Close()
	}
	for l := range n.inbound {
		l.cancel()
	}
	peers := make([]*outbound, 0, len(n.outbound))
	for _, to := range n.outbound {
		peers = append(peers, to)
	}
	n.mu.Unlock()
	for _, to := range peers {
		to.close()
	}
}

// outbound is the way to one peer: the connection in use, or the dial in progress.
type outbound struct {
	node *Node
	to   fleet.InstanceID

	mu      sync.Mutex
	current *link
	dialing *dialing
	failed  error
	retryAt time.Time
	backoff time.Duration
}

type dialing struct {
	done chan struct{}
	link *link
	err  error
}

func (n *Node) peer(to fleet.InstanceID) *outbound {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.outbound[to]
	if known == nil {
		known = &outbound{node: n, to: to}
		n.outbound[to] = known
	}
	return known
}

// ready returns the connection in use, or nil.
func (o *outbound) ready() *link {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current != nil && o.current.ctx.Err() == nil {
		return o.current
	}
	return nil
}

// link returns the connection in use, or dials. During the wait after a failed dial it fails at once.
func (o *outbound) link(ctx context.Context) (*link, error) {
	o.mu.Lock()
	if o.current != nil && o.current.ctx.Err() == nil {
		defer o.mu.Unlock()
		return o.current, nil
	}
	if o.dialing == nil {
		if time.Now().Before(o.retryAt) {
			defer o.mu.Unlock()
			return nil, o.failed
		}
		o.dialing = &dialing{done: make(chan struct{})}
		go o.dial(o.dialing)
	}
	attempt := o.dialing
	o.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.link, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (o *outbound) dial(attempt *dialing) {
	limits := o.node.settings.Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.SilentAfter)
	defer cancel()
	o.node.counters.dials.Add(1)
	attempt.link, attempt.err = o.node.connect(ctx, o.to)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialing = nil
	if attempt.err == nil {
		o.current, o.backoff, o.failed = attempt.link, 0, nil
	} else {
		o.node.counters.dialsFailed.Add(1)
		o.failed = attempt.err
		o.backoff = min(max(2*o.backoff, limits.BackoffFirst), limits.BackoffMost)
		// Full jitter over the upper half keeps instances from dialling a returned peer together.
		o.retryAt = time.Now().Add(o.backoff/2 + o.node.random.below(o.backoff/2))
	}
	close(attempt.done)
}

func (n *Node) connect(ctx context.Context, to fleet.InstanceID) (*link, error) {
	address, ok := n.address(to)
	if !ok {
		return nil, fmt.Errorf("no address is known for %q", to)
	}
	connection, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if n.settings.TLS != nil {
		connection = tls.Client(connection, n.clientTLS(address))
	}
	l := newLink(n, connection, true)
	if err := l.greet(ctx, to); err != nil {
		l.cancel()
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		l.cancel()
		return nil, net.ErrClosed
	}
	return l, nil
}

func (n *Node) clientTLS(address string) *tls.Config {
	config := n.settings.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (o *outbound) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current != nil {
		o.current.cancel()
	}
}

// Forget closes the connection to a peer that is no longer in the fleet.
func (n *Node) Forget(to fleet.InstanceID) {
	n.mu.Lock()
	gone := n.outbound[to]
	delete(n.outbound, to)
	n.mu.Unlock()
	if gone != nil {
		gone.close()
	}
}

// notQueued returns the verdict of a call whose frame the connection did not take.
func notQueued(to fleet.InstanceID, err error) *verdict.Error {
	switch {
	case errors.Is(err, errBusy):
		return verdict.New(verdict.NotRun, verdict.Overloaded, "to %q: %v", to, err)
	case errors.Is(err, errTooLarge):
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "to %q: %v", to, err)
	}
	return unreachable(to, err)
}

func unreachable(to fleet.InstanceID, err error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "no connection to %q: %v", to, err)
}

// randomness makes a source of random bytes safe for concurrent use.
type randomness struct {
	mu     sync.Mutex
	source io.Reader
}

func (r *randomness) bytes(count int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	drawn := make([]byte, count)
	if _, err := io.ReadFull(r.source, drawn); err != nil {
		// Without nonces no handshake is safe, as with crypto/rand itself.
		panic(fmt.Sprintf("peer: the source of randomness failed: %v", err))
	}
	return drawn
}

func (r *randomness) below(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(binary.BigEndian.Uint64(r.bytes(8)) % uint64(bound))
}
