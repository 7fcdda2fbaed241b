package backend

// Cancellation goes over another connection, so that the connection of the cancelled call survives when its
// answer comes soon. Probes find idle connections that have gone silent before a call is sent on one.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
)

const (
	// quietAge is the time without a byte read after which an idle connection is probed.
	quietAge = 10 * time.Second
	// probeInterval is how often idle connections are looked through.
	probeInterval = 2 * time.Second
	// probeTimeout bounds the probe of one connection.
	probeTimeout = 500 * time.Millisecond
)

// waiting is a connection on which a call waits for its answer.
type waiting struct {
	conn  *conn
	mutex sync.Mutex
	ended bool
}

// limit sets the end of the wait. It leaves the next request on the connection alone.
func (w *waiting) limit(latest time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.ended {
		_ = w.conn.SetReadDeadline(latest)
	}
}

func (w *waiting) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
}

// cancel asks the server to give up a call and lets the call's connection wait a little longer for what the
// server answers.
func (t *Transport) cancel(p *pool, server fleet.Server, w *waiting, call *replica.Call) {
	t.counters.cancels.Add(1)
	latest := time.Now().Add(cancelPatience)
	if latest.Before(call.Deadline.Add(cancelPatience)) {
		w.limit(latest)
	}
	c, failure := t.connect(context.Background(), p, server, latest, false)
	if failure != nil {
		return // The call's connection is closed after the patience, which the server notices too.
	}
	body := append(appendString([]byte(`{"request-id":`), call.RequestID), '}')
	request := append(appendHead(nil, "POST", "/v1/cancel", p.address, len(body)), body...)
	if _, ok := t.simple(p, c, request, latest); ok {
		if known := time.Now().Add(cancelledPatience); known.Before(latest) {
			w.limit(known)
		}
		p.put(c, t.options.Connections(server))
	} else {
		p.drop(c)
	}
}

// simple sends a request that changes nothing and returns the body of its answer. Without ok the connection is
// of no use any more.
func (t *Transport) simple(p *pool, c *conn, request []byte, deadline time.Time) (body []byte, ok bool) {
	var done exchange
	if done.written, done.err = c.write(request, deadline); done.err != nil {
		return nil, false
	}
	c.read(&done)
	if done.err != nil || done.closing {
		return nil, false
	}
	p.lastAnswer.Store(c.lastRead.UnixNano())
	return done.body, true
}

// probe asks for the server's state over an idle connection.
func (t *Transport) probe(p *pool, c *conn) bool {
	t.counters.probes.Add(1)
	started := time.Now()
	request := appendHead(nil, "GET", "/v1/state", p.address, 0)
	if _, ok := t.simple(p, c, request, started.Add(probeTimeout)); ok {
		return true
	}
	if p.lastAnswer.Load() > started.UnixNano() {
		t.counters.silent.Add(1)
	}
	return false
}

// State asks a server for its state. The answer is a hint: it may lag behind what the server's answers to queries
// say. ok is false without a usable answer before the deadline.
func (t *Transport) State(ctx context.Context, server fleet.Server, deadline time.Time) (reply replica.Reply, ok bool) {
	p := t.pools.of(server)
	c, failure := t.connect(ctx, p, server, deadline, false)
	if failure != nil {
		return replica.Reply{}, false
	}
	body, ok := t.simple(p, c, appendHead(nil, "GET", "/v1/state", p.address, 0), deadline)
	if !ok {
		p.drop(c)
		return replica.Reply{}, false
	}
	p.put(c, t.options.Connections(server))
	var state message
	if json.Unmarshal(body, &state) != nil || state.excess() != nil {
		return replica.Reply{}, false
	}
	return replica.Reply{StartMark: state.StartMark, Held: state.Held, Leaving: state.Leaving}, true
}

// probeQuiet looks through the idle connections until ctx ends.
func (t *Transport) probeQuiet(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range t.pools.all() {
			for _, c := range p.takeQuiet(time.Now().Add(-quietAge)) {
				t.running.Go(func() { t.probeOne(p, c) })
			}
		}
	}
}

func (t *Transport) probeOne(p *pool, c *conn) {
	if c.isOpen() && t.probe(p, c) {
		p.put(c, warmConnections)
		return
	}
	p.drop(c)
}

// Stats are counts since the start, and the connections of now.
type Stats struct {
	Calls, BytesWritten, Opened, Resent, Silent, BadAnswers, Cancels, Probes int64
	Open, Idle                                                               int
}

// Stats returns the counts of all servers together.
func (t *Transport) Stats() Stats {
	s := Stats{
		Calls: t.counters.calls.Load(), BytesWritten: t.counters.written.Load(),
		Opened: t.counters.opened.Load(), Resent: t.counters.resent.Load(),
		Silent: t.counters.silent.Load(), BadAnswers: t.counters.badAnswers.Load(),
		Cancels: t.counters.cancels.Load(), Probes: t.counters.probes.Load(),
	}
	for _, p := range t.pools.all() {
		open, idle := p.counts()
		s.Open += open
		s.Idle += idle
	}
	return s
}

// Connections returns the open and the idle connections to one server.
func (t *Transport) Connections(server fleet.ServerID) (open, idle int) {
	t.pools.mutex.RLock()
	p := t.pools.known[server]
	t.pools.mutex.RUnlock()
	if p == nil {
		return 0, 0
	}
	return p.counts()
}
