// Package relay provides a TCP relay that simulates network faults between two processes: its links can be held, made
// silent or delayed while they are in use.
//
// A Link owns its listener and the connections through it, and is safe for concurrent use. The package is used by tests
// and stand-ins only, never by the product.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// State determines what one direction of a link does with the bytes that it receives.
type State int32

const (
	// Open delivers the bytes.
	Open State = iota
	// Held keeps the bytes until the direction is open again, as TCP retransmits after a network partition.
	Held
	// Silent accepts the bytes and discards them. A connection that has lost bytes delivers nothing more in that
	// direction, even when the direction is open again.
	Silent
)

// pollInterval is the interval at which a held direction checks its state.
const pollInterval = 2 * time.Millisecond

// Link relays the connections from one process to one address of another process.
type Link struct {
	target   string
	delay    atomic.Int64 // nanoseconds
	listener net.Listener
	// forward is the state of the direction from the client to the target, backward that of the other direction.
	forward, backward atomic.Int32
	// clientState returns the state of a client, Open or Silent, which applies to both directions of its connections; it
	// may be nil.
	clientState func(client net.Addr) *atomic.Int32

	mutex sync.Mutex
	// connections holds the open connections of both sides.
	connections map[net.Conn]bool
	// closed is closed by Close.
	closed chan struct{}
}

// Listen starts a link to a target address. Each direction delays bytes by the given duration.
func Listen(target string, delay time.Duration) (*Link, error) {
	return ListenPerClient(target, delay, nil)
}

// ListenPerClient is Listen with a function that returns the State of a client, which applies beside those of the link.
func ListenPerClient(target string, delay time.Duration, clientState func(client net.Addr) *atomic.Int32) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, clientState: clientState, listener: listener, connections: make(map[net.Conn]bool), closed: make(chan struct{})}
	l.SetDelay(delay)
	go l.accept()
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetStates sets the states of both directions: forward is from the client to the target.
func (l *Link) SetStates(forward, backward State) {
	l.forward.Store(int32(forward))
	l.backward.Store(int32(backward))
}

// SetDelay sets the delay of the bytes that are received from now on.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// Reset closes the open connections with a TCP reset.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection, which needs no reset
		}
		_ = connection.Close()
	}
}

// Close closes the link and its connections. It must be called only once.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.closed)
	for connection := range l.connections {
		_ = connection.Close()
	}
}

// accept accepts connections until the listener is closed.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.register(client) {
			go l.connect(client)
		}
	}
}

// register adds a connection to those that Close closes and reports whether it did. If the link is closed, it closes
// the connection instead.
func (l *Link) register(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.closed:
		_ = connection.Close()
		return false
	default:
		l.connections[connection] = true
		return true
	}
}

// unregister closes a connection and removes it from those that Close closes.
func (l *Link) unregister(connection net.Conn) {
	l.mutex.Lock()
	delete(l.connections, connection)
	l.mutex.Unlock()
	_ = connection.Close()
}

// connect dials the target once both directions are open, because a new connection needs both, and relays bytes until
// both directions have ended.
func (l *Link) connect(client net.Conn) {
	defer l.unregister(client)
	own := new(atomic.Int32)
	if l.clientState != nil {
		own = l.clientState(client.RemoteAddr())
	}
	fromClient := l.startReading(client)
	for l.forward.Load() != int32(Open) || l.backward.Load() != int32(Open) || State(own.Load()) == Silent {
		if fromClient.ended.Load() || !l.waitPollInterval() {
			return // the client closed the connection before it was made, or the link was closed
		}
	}
	if fromClient.ended.Load() {
		return
	}
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil || !l.register(target) {
		return
	}
	defer l.unregister(target)
	var group sync.WaitGroup
	group.Go(func() { l.deliver(target, fromClient, &l.forward, own) })
	group.Go(func() { l.deliver(client, l.startReading(target), &l.backward, own) })
	group.Wait()
}

// waitPollInterval waits for pollInterval. It returns false at once if the link is closed.
func (l *Link) waitPollInterval() bool {
	select {
	case <-l.closed:
		return false
	case <-time.After(pollInterval):
		return true
	}
}

// chunk holds bytes that one side sent, and the time at which they are to be delivered.
type chunk struct {
	bytes []byte
	due   time.Time
}

// input holds the bytes that one side sends. After the last byte, ended is set and chunks is closed.
type input struct {
	chunks chan chunk
	ended  atomic.Bool
}

// startReading starts to read from a connection.
func (l *Link) startReading(from net.Conn) *input {
	in := &input{chunks: make(chan chunk, 64)}
	go func() {
		defer close(in.chunks)
		defer in.ended.Store(true)
		for {
			buffer := make([]byte, 32<<10)
			count, err := from.Read(buffer)
			if count > 0 {
				select {
				case in.chunks <- chunk{buffer[:count], time.Now().Add(time.Duration(l.delay.Load()))}:
				case <-l.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	return in
}

// deliver writes the bytes of an input to a connection and closes it after the last byte. If bytes were lost or
// the direction is silent at the end, it does not deliver the end of the connection either.
func (l *Link) deliver(to net.Conn, in *input, direction, own *atomic.Int32) {
	lost := false
	for next := range in.chunks {
		time.Sleep(time.Until(next.due))
		if lost = lost || !l.waitUntilDeliverable(direction, own); lost {
			continue
		}
		if _, err := to.Write(next.bytes); err != nil {
			lost = true
		}
	}
	if !lost && l.waitUntilDeliverable(direction, own) {
		_ = to.Close()
	}
}

// waitUntilDeliverable waits while the direction is held and reports whether it is then open for the client.
func (l *Link) waitUntilDeliverable(direction, own *atomic.Int32) bool {
	for {
		if State(own.Load()) == Silent {
			return false
		}
		switch State(direction.Load()) {
		case Open:
			return true
		case Silent:
			return false
		case Held:
			if !l.waitPollInterval() {
				return false
			}
		}
	}
}
