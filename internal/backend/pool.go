package backend

// Connection pools, one per backend server. The most recently used connection is reused first: a low load keeps few
// connections busy, and the others become old enough to be probed.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// maxIdleConnections is the maximum number of idle connections that are kept to one server.
const maxIdleConnections = 30

// transientIdleTime is how long a connection that is not kept may be idle before it is closed. Requests that a replica's
// trouble of some seconds sends elsewhere share a connection; longer times leave the server fewer connections for others.
const transientIdleTime = 3 * time.Second

// pool holds the connections to one backend server. It is safe for concurrent use.
type pool struct {
	address string
	// lastResponse is the time of the last response on any connection, in nanoseconds since the Unix epoch. It
	// distinguishes a single silent connection from a server that does not respond at all.
	lastResponse atomic.Int64

	mutex sync.Mutex
	// idle is ordered by last use, the oldest first.
	idle []*conn
	// open counts the connections that are idle, in use or being opened.
	open   int
	closed bool
	// kept is how many connections are kept idle; negative means that there is no bound but that of the caller.
	kept int
}

// exceedsKept reports whether more connections are open than are kept. The caller holds the mutex.
func (p *pool) exceedsKept() bool { return p.kept >= 0 && p.open > p.kept }

// take returns the most recently used idle connection. If none is idle, it counts a new connection, which the caller
// must open, and returns nil and true; if that would exceed the limit, it returns nil and false.
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

// reserveNew counts a new connection, which the caller must open, even if others are idle; at the limit it closes the
// oldest idle one in exchange. It reports whether the caller may open one. A call that is sent again needs this,
// because the server may have closed the idle connections together with the one that failed.
func (p *pool) reserveNew(limit int) bool {
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

// reserve counts a connection that the caller has opened, and reports whether the limit permits it.
func (p *pool) reserve(limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open >= limit || p.closed {
		return false
	}
	p.open++
	return true
}

// put returns a connection that is ready for another request to the pool, or closes it if the pool has no use for it.
func (p *pool) put(c *conn, limit int) {
	p.mutex.Lock()
	if !p.closed && p.open <= limit && len(p.idle) < maxIdleConnections {
		p.idle = append(p.idle, c)
		if p.exceedsKept() {
			time.AfterFunc(transientIdleTime, p.closeUnused)
		}
		p.mutex.Unlock()
		return
	}
	p.open--
	p.mutex.Unlock()
	c.close()
}

// closeUnused closes the connections that have been idle for transientIdleTime, the oldest first, while more are
// open than are kept.
func (p *pool) closeUnused() {
	before := time.Now().Add(-transientIdleTime)
	var unused []*conn
	p.mutex.Lock()
	for p.exceedsKept() && len(p.idle) > 0 && !p.idle[0].lastRead.After(before) {
		unused = append(unused, p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	p.mutex.Unlock()
	for _, c := range unused {
		c.close()
	}
}

// drop closes a connection and stops counting it.
func (p *pool) drop(c *conn) {
	c.close()
	p.release()
}

// release stops counting a connection that could not be opened or has been closed.
func (p *pool) release() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// takeIdleSince removes and returns the idle connections on which nothing was read since the given time.
func (p *pool) takeIdleSince(before time.Time) []*conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastRead.Before(before) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return stale
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

// pools holds the pool of each server. A pool is replaced when the address of its server changes. It is safe for
// concurrent use.
type pools struct {
	mutex    sync.RWMutex
	byServer map[fleet.ServerID]*pool
	// kept holds the servers to which a bounded number of idle connections is kept.
	kept   map[fleet.ServerID]int
	closed bool
}

func (p *pools) get(server fleet.Server) *pool {
	p.mutex.RLock()
	found := p.byServer[server.ID]
	p.mutex.RUnlock()
	if found != nil && found.address == server.Address {
		return found
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found = p.byServer[server.ID]; found != nil {
		if found.address == server.Address {
			return found
		}
		found.close()
	}
	found = &pool{address: server.Address, closed: p.closed, kept: -1}
	if kept, bounded := p.kept[server.ID]; bounded {
		found.kept = kept
	}
	p.byServer[server.ID] = found
	return found
}

func (p *pools) all() map[fleet.ServerID]*pool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	copied := make(map[fleet.ServerID]*pool, len(p.byServer))
	for id, found := range p.byServer {
		copied[id] = found
	}
	return copied
}

func (p *pools) hasIdle(server fleet.ServerID) bool {
	p.mutex.RLock()
	found := p.byServer[server]
	p.mutex.RUnlock()
	if found == nil {
		return false
	}
	_, idle := found.counts()
	return idle > 0
}

func (p *pools) connections() (open, kept int) {
	for _, found := range p.all() {
		count, _ := found.counts()
		open += count
	}
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, count := range p.kept {
		kept += count
	}
	return open, kept
}

func (p *pools) keepIdle(server fleet.ServerID, kept int) {
	p.mutex.RLock()
	known, bounded := p.kept[server]
	p.mutex.RUnlock()
	if bounded && known == kept || !bounded && kept < 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.kept == nil {
		p.kept = make(map[fleet.ServerID]int)
	}
	p.kept[server] = kept
	if kept < 0 {
		delete(p.kept, server)
	}
	if found := p.byServer[server]; found != nil {
		found.mutex.Lock()
		found.kept = kept
		found.mutex.Unlock()
	}
}

func (p *pools) forget(server fleet.ServerID) {
	p.mutex.Lock()
	found := p.byServer[server]
	delete(p.byServer, server)
	delete(p.kept, server)
	p.mutex.Unlock()
	if found != nil {
		found.close()
	}
}
