// Package peer implements the calls between entry instances as JSON-RPC 2.0 over TCP, authenticated by a shared key. A
// Node keeps one persistent connection to each peer that it calls and accepts the connections that peers open to it.
//
// The package only transports calls: it does not decide which instance owns a backend server or whether a ticket runs.
// It never sends a call twice, and each failed call has a verdict that says whether it may have run.
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

// Limits bounds the resources that peers can use in this process. A zero field takes its default.
type Limits struct {
	// MaxFrameBytes is the largest message; default 16 MiB.
	MaxFrameBytes int
	// MaxQueueBytes limits what is queued for writing on one connection; default 32 MiB.
	MaxQueueBytes int
	// MaxParts limits the parts in flight and, separately, the calls being served on one connection; default 8192.
	MaxParts int
	// MaxConnections limits the inbound connections after the handshake; default 4096.
	MaxConnections int
	// MaxHandshakes limits the inbound connections before the handshake; default 512, whose read buffers take 16 MiB.
	MaxHandshakes int
	// SilenceTimeout limits the wait for the answer to a heartbeat and for the completion of a write; after it, the
	// connection is closed. It also limits dials and handshakes. The default is 1 s, after which a peer counts as
	// unreachable.
	SilenceTimeout time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed dial, before jitter; defaults 50 ms and 2 s.
	MinBackoff, MaxBackoff time.Duration
}

func (l Limits) withDefaults() Limits {
	setInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setInt(&l.MaxFrameBytes, 16<<20)
	setInt(&l.MaxQueueBytes, 32<<20)
	setInt(&l.MaxParts, 8192)
	setInt(&l.MaxConnections, 4096)
	setInt(&l.MaxHandshakes, 512)
	setDuration(&l.SilenceTimeout, time.Second)
	setDuration(&l.MinBackoff, 50*time.Millisecond)
	setDuration(&l.MaxBackoff, 2*time.Second)
	return l
}

// Settings holds the identity of this instance, the shared key and the limits of a Node.
type Settings struct {
	Instance    fleet.InstanceID
	Incarnation ticket.Incarnation
	Zone        fleet.ZoneID
	// Key is the key that all instances share; at least 16 bytes.
	Key []byte
	// TLS applies to inbound and outbound connections; nil means no TLS.
	TLS    *tls.Config
	Limits Limits
}

// Dialer opens a connection to a peer's address; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Node holds this instance's connections with all its peers. It is safe for concurrent use.
type Node struct {
	settings Settings
	handlers Handlers
	// address returns the address at which an instance listens for peers, and whether it is known.
	address  func(fleet.InstanceID) (string, bool)
	dialer   Dialer
	random   *lockedRandom
	counters counters

	mu       sync.Mutex
	outbound map[fleet.InstanceID]*outboundPeer
	// inbound holds all inbound connections, before and after the handshake.
	inbound map[*peerConn]bool
	// pending holds the inbound connections before the handshake, the oldest first.
	pending   []*peerConn
	listeners map[net.Listener]bool
	closed    bool
}

// New returns a node without listeners; see Serve. The function address returns the address at which a peer listens
// and whether it is known. The bytes of random are used for nonces and jitter and must be unpredictable outside tests.
func New(settings Settings, handlers Handlers, address func(fleet.InstanceID) (string, bool),
	dialer Dialer, random io.Reader,
) (*Node, error) {
	if settings.Instance == "" || len(settings.Key) < 16 {
		return nil, errors.New("peer settings: the instance name is empty or the key has fewer than 16 bytes")
	}
	settings.Limits = settings.Limits.withDefaults()
	return &Node{
		settings: settings, handlers: handlers, address: address, dialer: dialer,
		random:   &lockedRandom{reader: random},
		outbound: make(map[fleet.InstanceID]*outboundPeer), inbound: make(map[*peerConn]bool),
		listeners: make(map[net.Listener]bool),
	}, nil
}

// acceptRetryDelay is the delay before the next accept after a temporary error, such as no free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections from peers until the listener fails or the node is closed, and returns the error.
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
			// These errors pass once other connections end. If Serve returned, peers could not connect any more.
			time.Sleep(acceptRetryDelay)
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
		pc := newPeerConn(n, connection, false)
		evicted := n.addPending(pc)
		n.mu.Unlock()
		if evicted != nil {
			n.counters.refused.Add(1)
			evicted.close()
		}
		pc.startHandshakeTimeout(n.settings.Limits.SilenceTimeout)
	}
}

// Close closes all listeners and connections. Calls in flight fail with verdicts that say whether they may have run.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for listener := range n.listeners {
		_ = listener.Close()
	}
	for pc := range n.inbound {
		pc.cancel()
	}
	peers := make([]*outboundPeer, 0, len(n.outbound))
	for _, to := range n.outbound {
		peers = append(peers, to)
	}
	n.mu.Unlock()
	for _, to := range peers {
		to.close()
	}
}

// outboundPeer holds the outbound connection to one peer, or the dial in progress.
type outboundPeer struct {
	node *Node
	to   fleet.InstanceID

	mu          sync.Mutex
	conn        *peerConn
	dialing     *dialAttempt
	lastDialErr error
	nextDialAt  time.Time
	backoff     time.Duration
}

// dialAttempt is a dial in progress. conn and err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *peerConn
	err  error
}

// outboundPeer returns the entry of a peer in n.outbound and adds it if there is none.
func (n *Node) outboundPeer(to fleet.InstanceID) *outboundPeer {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.outbound[to]
	if peer == nil {
		peer = &outboundPeer{node: n, to: to}
		n.outbound[to] = peer
	}
	return peer
}

// openConn returns the open connection, or nil if there is none.
func (o *outboundPeer) openConn() *peerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil && o.conn.ctx.Err() == nil {
		return o.conn
	}
	return nil
}

// connOrDial returns the open connection, or waits for a dial. All calls share one dial, which goes on if ctx ends.
// During the backoff after a failed dial it returns the error of that dial at once.
func (o *outboundPeer) connOrDial(ctx context.Context) (*peerConn, error) {
	o.mu.Lock()
	if o.conn != nil && o.conn.ctx.Err() == nil {
		defer o.mu.Unlock()
		return o.conn, nil
	}
	if o.dialing == nil {
		if time.Now().Before(o.nextDialAt) {
			defer o.mu.Unlock()
			return nil, o.lastDialErr
		}
		o.dialing = &dialAttempt{done: make(chan struct{})}
		go o.dial(o.dialing)
	}
	attempt := o.dialing
	o.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial runs a dial attempt with its timeout and sets the backoff if it fails.
func (o *outboundPeer) dial(attempt *dialAttempt) {
	limits := o.node.settings.Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.SilenceTimeout)
	defer cancel()
	o.node.counters.dials.Add(1)
	attempt.conn, attempt.err = o.node.dialPeer(ctx, o.to)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialing = nil
	if attempt.err == nil {
		o.conn, o.backoff, o.lastDialErr = attempt.conn, 0, nil
	} else {
		o.node.counters.dialsFailed.Add(1)
		o.lastDialErr = attempt.err
		o.backoff = min(max(2*o.backoff, limits.MinBackoff), limits.MaxBackoff)
		// Jitter over the upper half of the backoff keeps instances from dialling a returned peer at the same moment.
		o.nextDialAt = time.Now().Add(o.backoff/2 + o.node.random.durationBelow(o.backoff/2))
	}
	close(attempt.done)
}

// dialPeer opens a connection to a peer and runs the handshake.
func (n *Node) dialPeer(ctx context.Context, to fleet.InstanceID) (*peerConn, error) {
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
	pc := newPeerConn(n, connection, true)
	if err := pc.performHandshake(ctx, to); err != nil {
		pc.cancel()
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		pc.cancel()
		return nil, net.ErrClosed
	}
	return pc, nil
}

// clientTLS returns the TLS settings for an outbound connection. Unless a server name is configured, the certificate is
// checked against the host of the address.
func (n *Node) clientTLS(address string) *tls.Config {
	config := n.settings.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (o *outboundPeer) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		o.conn.cancel()
	}
}

// RemovePeer closes the outbound connection to a peer that is no longer in the fleet and drops its state.
func (n *Node) RemovePeer(to fleet.InstanceID) {
	n.mu.Lock()
	removed := n.outbound[to]
	delete(n.outbound, to)
	n.mu.Unlock()
	if removed != nil {
		removed.close()
	}
}

// enqueueError returns the verdict of a call whose frame could not be queued, and so was not sent.
func enqueueError(to fleet.InstanceID, err error) *verdict.Error {
	switch {
	case errors.Is(err, errQueueFull):
		return verdict.New(verdict.NotRun, verdict.Overloaded, "sending to %q: %v", to, err)
	case errors.Is(err, errFrameTooLarge):
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "sending to %q: %v", to, err)
	}
	return unreachableError(to, err)
}

// unreachableError returns the verdict of a call that was not sent because there is no connection to the peer.
func unreachableError(to fleet.InstanceID, err error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "no connection to %q: %v", to, err)
}

// lockedRandom makes a source of random bytes safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	reader io.Reader
}

func (r *lockedRandom) bytes(count int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	drawn := make([]byte, count)
	if _, err := io.ReadFull(r.reader, drawn); err != nil {
		// No handshake is safe without random nonces. crypto/rand also crashes the program when its source fails.
		panic(fmt.Sprintf("peer: reading random bytes: %v", err))
	}
	return drawn
}

// durationBelow returns a random duration in [0, bound), or 0 if bound is not positive.
func (r *lockedRandom) durationBelow(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(binary.BigEndian.Uint64(r.bytes(8)) % uint64(bound))
}
