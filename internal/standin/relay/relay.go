// Package relay is a stand-in of the network between two processes: a TCP relay whose links can be held, made
// silent or delayed while they are in use.
//
// A Link owns its listener and the connections that go through it. It is for tests and never part of the system.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// State is what one direction of a link does with bytes.
type State int32

const (
	// Open delivers them.
	Open State = iota
	// Held keeps them until the direction is open again, as TCP does that sends again after a cut.
	Held
	// Silent takes them and never delivers them. A connection on which bytes were lost stays silent.
	Silent
)

// poll is how often a held direction looks at its state.
const poll = 2 * time.Millisecond

// Link is the way from one process to one address of another.
type Link struct {
	target   string
	delay    atomic.Int64 // nanoseconds
	listener net.Listener
	// out is the direction from the dialling process, back the other.
	out, back atomic.Int32

	mutex  sync.Mutex
	open   map[net.Conn]bool
	closed chan struct{}
}

// Listen starts a link to a target. Each direction delivers bytes after the delay.
func Listen(target string, delay time.Duration) (*Link, error) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listening, open: make(map[net.Conn]bool), closed: make(chan struct{})}
	l.SetDelay(delay)
	go l.accept()
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes both directions.
func (l *Link) Set(out, back State) {
	l.out.Store(int32(out))
	l.back.Store(int32(back))
}

// SetDelay changes the delay of bytes that come from now on.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// Reset resets the connections that are open now.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a connection that has ended needs no reset
		}
		_ = connection.Close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.closed)
	for connection := range l.open {
		_ = connection.Close()
	}
}

func (l *Link) accept() {
	for {
		dialled, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.keep(dialled) {
			go l.connect(dialled)
		}
	}
}

// keep registers a connection, so that Close ends it; it closes the connection of a link that has ended.
func (l *Link) keep(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.closed:
		_ = connection.Close()
		return false
	default:
		l.open[connection] = true
		return true
	}
}

func (l *Link) drop(connection net.Conn) {
	l.mutex.Lock()
	delete(l.open, connection)
	l.mutex.Unlock()
	_ = connection.Close()
}

// connect dials the target once both directions are open, since a new connection needs both.
func (l *Link) connect(dialled net.Conn) {
	defer l.drop(dialled)
	sent := l.read(dialled)
	for l.out.Load() != int32(Open) || l.back.Load() != int32(Open) {
		if sent.ended.Load() || !l.wait() {
			return // the dialling process gave up before the connection was made
		}
	}
	if sent.ended.Load() {
		return
	}
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil || !l.keep(target) {
		return
	}
	defer l.drop(target)
	var group sync.WaitGroup
	group.Go(func() { l.write(target, sent, &l.out) })
	group.Go(func() { l.write(dialled, l.read(target), &l.back) })
	group.Wait()
}

// wait returns after a short time, false when the link has ended.
func (l *Link) wait() bool {
	select {
	case <-l.closed:
		return false
	case <-time.After(poll):
		return true
	}
}

type chunk struct {
	bytes []byte
	due   time.Time
}

// input is what one end sends; chunks is closed after its last byte.
type input struct {
	chunks chan chunk
	ended  atomic.Bool
}

func (l *Link) read(from net.Conn) *input {
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

// write delivers what comes in, and the end of the connection after it. The end is lost too where bytes were lost.
func (l *Link) write(to net.Conn, in *input, direction *atomic.Int32) {
	lost := false
	for next := range in.chunks {
		time.Sleep(time.Until(next.due))
		if lost = lost || !l.deliverable(direction); lost {
			continue
		}
		if _, err := to.Write(next.bytes); err != nil {
			lost = true
		}
	}
	if !lost && l.deliverable(direction) {
		_ = to.Close()
	}
}

// deliverable waits while the direction is held and tells whether it then is open.
func (l *Link) deliverable(direction *atomic.Int32) bool {
	for {
		switch State(direction.Load()) {
		case Open:
			return true
		case Silent:
			return false
		case Held:
			if !l.wait() {
				return false
			}
		}
	}
}
