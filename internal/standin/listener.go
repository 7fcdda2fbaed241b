package standin

// Listener that limits and counts the connections of a server and injects connection faults.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts at most limit connections at a time.
type listener struct {
	net.Listener
	limit int
	// connectCost is the time that a new connection needs before its first read.
	connectCost time.Duration

	mutex   sync.Mutex // guards the fields below
	open    map[*connection]bool
	peak    int
	refused int64
	down    bool
}

func newListener(raw net.Listener, limit int, cost time.Duration) *listener {
	return &listener{Listener: raw, limit: limit, connectCost: cost, open: make(map[*connection]bool)}
}

// Accept returns the next connection. It resets connections above the limit, and all of them while the server is down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: raw, listener: l, readableAt: time.Now().Add(l.connectCost)}
		l.mutex.Lock()
		full := l.down || len(l.open) >= l.limit
		if full {
			l.refused++
		} else {
			l.open[c] = true
			l.peak = max(l.peak, len(l.open))
		}
		l.mutex.Unlock()
		if !full {
			return c, nil
		}
		closeWithReset(raw)
	}
}

// closeWithReset closes a connection with a TCP reset, as the kernel does for a process that has died.
func closeWithReset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

// counts returns the number of open connections, its maximum and the number of connections refused.
func (l *listener) counts() (open, peak int, refused int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.peak, l.refused
}

// silence makes count of the open connections silent; those that are silent already don't count.
func (l *listener) silence(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.open {
		if count == 0 {
			return
		}
		if !c.silent.Swap(true) {
			count--
		}
	}
}

// setDown resets every connection and refuses new ones, or, if down is false, accepts new ones again.
func (l *listener) setDown(down bool) {
	l.mutex.Lock()
	l.down = down
	closing := make([]*connection, 0, len(l.open))
	if down {
		for c := range l.open {
			closing = append(closing, c)
		}
	}
	l.mutex.Unlock()
	for _, c := range closing {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// connection is an accepted connection. Reads wait until the connection cost has passed (readableAt). Once the
// connection is silent, writes are discarded and reported as successful.
type connection struct {
	net.Conn
	listener   *listener
	readableAt time.Time
	silent     atomic.Bool
	closeOnce  sync.Once
}

func (c *connection) Read(buffer []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(buffer)
}

func (c *connection) Write(buffer []byte) (int, error) {
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mutex.Lock()
		delete(c.listener.open, c)
		c.listener.mutex.Unlock()
	})
	return c.Conn.Close()
}
