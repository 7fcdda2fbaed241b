package backend

// A pool holds the connections to one backend server. The connection used last is reused first, so that
// a small load keeps few connections busy and the others show their age to the prober.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// warmConnections is the most idle connections that are kept to one server.
const warmConnections = 30

type pool struct {
	address string
	// lastAnswer is the time of the last answer on any connection, as nanoseconds since the epoch; it tells a
	// silent connection from a server that answers nobody.
	lastAnswer atomic.Int64

	mutex  sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// take returns the idle connection used last. With none idle it reserves a place for a new connection and
// returns nil and true; at the limit it returns nil and false.
func (p *pool) take(limit int) (c *conn, reserved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c = p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, true
	}
	if p.open >= limit || p.closed {
		return nil, false
	}
	p.open++
	return nil, true
}

// reserve makes room for a new connection even when others are idle; a resend must not use one that may have
// been closed together with the first.
func (p *pool) reserve(limit int) bool {
	p.mutex.Lock()
	if p.open < limit && !p.closed {
		p.open++
		p.mutex.Unlock()
		return true
	}
	var oldest *conn
	if len(p.idle) > 0 {
		oldest = p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.mutex.Unlock()
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// put returns a connection that is ready for another request.
func (p *pool) put(c *conn, limit int) {
	p.mutex.Lock()
	if !p.closed && p.open <= limit && len(p.idle) < warmConnections {
		p.idle = append(p.idle, c)
		p.mutex.Unlock()
		return
	}
	p.open--
	p.mutex.Unlock()
	c.close()
}

// drop closes a connection and frees its place.
func (p *pool) drop(c *conn) {
	c.close()
	p.release()
}

// release frees the place of a connection that could not be opened or is closed.
func (p *pool) release() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// takeQuiet removes and returns the idle connections without a byte read since before.
func (p *pool) takeQuiet(before time.Time) []*conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var quiet []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastRead.Before(before) {
			quiet = append(quiet, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return quiet
}

func (p *pool) close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mutex.Unlock()
	for _, c := range idle {
		c.close()
	}
}

func (p *pool) counts() (open, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open, len(p.idle)
}

// pools finds the pool of a server; one is replaced when the server's address changes.
type pools struct {
	mutex  sync.RWMutex
	known  map[fleet.ServerID]*pool
	closed bool
}

func (p *pools) of(server fleet.Server) *pool {
	p.mutex.RLock()
	found := p.known[server.ID]
	p.mutex.RUnlock()
	if found != nil && found.address == server.Address {
		return found
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found = p.known[server.ID]; found != nil {
		if found.address == server.Address {
			return found
		}
		found.close()
	}
	found = &pool{address: server.Address, closed: p.closed}
	p.known[server.ID] = found
	return found
}

func (p *pools) all() map[fleet.ServerID]*pool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	copied := make(map[fleet.ServerID]*pool, len(p.known))
	for id, found := range p.known {
		copied[id] = found
	}
	return copied
}

func (p *pools) forget(server fleet.ServerID) {
	p.mutex.Lock()
	found := p.known[server]
	delete(p.known, server)
	p.mutex.Unlock()
	if found != nil {
		found.close()
	}
}
