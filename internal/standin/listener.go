package standin

// The listener bounds and counts a server's connections and makes some of them silent.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type listener struct {
	net.Listener
	limit int
	cost  time.Duration

	mutex   sync.Mutex
	open    map[*connection]bool
	peak    int
	refused int64
	down    bool
}

func newListener(raw net.Listener, limit int, cost time.Duration) *listener {
	return &listener{Listener: raw, limit: limit, cost: cost, open: make(map[*connection]bool)}
}

// Accept returns the next connection within the limit; it closes those beyond it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: raw, listener: l, ready: time.Now().Add(l.cost)}
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
		reset(raw)
	}
}

// reset closes with a reset, as a process that is gone does.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

func (l *listener) counts() (open, peak int, refused int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.peak, l.refused
}

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

// setDown closes every connection and refuses new ones, or accepts them again.
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

// connection delays its first read by the cost of a connection, and writes nothing once it is silent.
type connection struct {
	net.Conn
	listener *listener
	ready    time.Time
	silent   atomic.Bool
	closing  sync.Once
}

func (c *connection) Read(buffer []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
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
	c.closing.Do(func() {
		c.listener.mutex.Lock()
		delete(c.listener.open, c)
		c.listener.mutex.Unlock()
	})
	return c.Conn.Close()
}
