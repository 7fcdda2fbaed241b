package backend

// Cancellation of calls and probing of idle connections. A cancellation is sent on another connection, so that the
// connection of the cancelled call can be reused if the response still arrives in time. Probes detect idle connections
// that have gone silent before a call is sent on them.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
)

const (
	// probeIdleAge is the time without a byte read after which an idle connection is probed.
	probeIdleAge = 10 * time.Second
	// probeInterval is the interval between two scans of the idle connections.
	probeInterval = 2 * time.Second
	// probeTimeout limits the probe of one connection.
	probeTimeout = 500 * time.Millisecond
)

// pendingResponse is a connection on which a call waits for its response. It is safe for concurrent use.
type pendingResponse struct {
	conn  *conn
	mutex sync.Mutex
	// finished is set once the wait is over; from then on the connection may carry another request.
	finished bool
}

// setDeadline sets the time until which the call waits. It does nothing once the wait is over, so that it cannot affect
// the next request on the connection.
func (pending *pendingResponse) setDeadline(latest time.Time) {
	pending.mutex.Lock()
	defer pending.mutex.Unlock()
	if !pending.finished {
		_ = pending.conn.SetReadDeadline(latest)
	}
}

func (pending *pendingResponse) finish() {
	pending.mutex.Lock()
	defer pending.mutex.Unlock()
	pending.finished = true
}

// cancel asks the server to stop working on a call. The call waits at most lateResponseTimeout longer for its response,
// and at most cancelledResponseTimeout once the server has confirmed the cancellation.
func (t *Transport) cancel(p *pool, server fleet.Server, pending *pendingResponse, call *replica.Call) {
	t.counters.cancels.Add(1)
	latest := time.Now().Add(lateResponseTimeout)
	if latest.Before(call.Deadline.Add(lateResponseTimeout)) {
		pending.setDeadline(latest)
	}
	c, failure := t.connect(context.Background(), p, server, latest, false)
	if failure != nil {
		return // The call's connection is closed after lateResponseTimeout, which the server notices too.
	}
	body := append(appendJSONString([]byte(`{"request-id":`), call.RequestID), '}')
	request := append(appendRequestHead(nil, "POST", "/v1/cancel", p.address, len(body)), body...)
	if _, ok := t.sendControl(p, c, request, latest); ok {
		if afterCancel := time.Now().Add(cancelledResponseTimeout); afterCancel.Before(latest) {
			pending.setDeadline(afterCancel)
		}
		p.put(c, t.options.Connections(server))
	} else {
		p.drop(c)
	}
}

// sendControl sends a request that is not a shard query and returns the body of the response. If ok is false, the
// connection must not be used again.
func (t *Transport) sendControl(p *pool, c *conn, request []byte, deadline time.Time) (body []byte, ok bool) {
	var result exchange
	if result.bytesWritten, result.err = c.write(request, deadline); result.err != nil {
		return nil, false
	}
	c.readResponse(&result)
	if result.err != nil || result.mustClose {
		return nil, false
	}
	p.lastResponse.Store(c.lastRead.UnixNano())
	return result.body, true
}

// probe reports whether the server responds to a request for its state on an idle connection. A failure counts as a
// silent connection if the server responded on another connection meanwhile.
func (t *Transport) probe(p *pool, c *conn) bool {
	t.counters.probes.Add(1)
	started := time.Now()
	request := appendRequestHead(nil, "GET", "/v1/state", p.address, 0)
	if _, ok := t.sendControl(p, c, request, started.Add(probeTimeout)); ok {
		return true
	}
	if p.lastResponse.Load() > started.UnixNano() {
		t.counters.silentConnections.Add(1)
	}
	return false
}

// State asks a server for its state. The result is a hint: it may lag behind what the server's responses to queries
// report. ok is false if no usable response arrived before the deadline.
func (t *Transport) State(ctx context.Context, server fleet.Server, deadline time.Time) (answer replica.Answer, ok bool) {
	p := t.pools.get(server)
	c, failure := t.connect(ctx, p, server, deadline, false)
	if failure != nil {
		return replica.Answer{}, false
	}
	body, ok := t.sendControl(p, c, appendRequestHead(nil, "GET", "/v1/state", p.address, 0), deadline)
	if !ok {
		p.drop(c)
		return replica.Answer{}, false
	}
	p.put(c, t.options.Connections(server))
	var state responseBody
	if json.Unmarshal(body, &state) != nil || state.checkSize() != nil {
		return replica.Answer{}, false
	}
	return replica.Answer{StartMark: state.StartMark, HeldVersions: state.Held, Leaving: state.Leaving}, true
}

// probeIdleConnections regularly probes the connections that have been idle for longer than probeIdleAge, until ctx is
// done.
func (t *Transport) probeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range t.pools.all() {
			for _, c := range p.takeIdleSince(time.Now().Add(-probeIdleAge)) {
				t.running.Go(func() { t.probeIdleConnection(p, c) })
			}
		}
	}
}

func (t *Transport) probeIdleConnection(p *pool, c *conn) {
	if c.isOpen() && t.probe(p, c) {
		p.put(c, maxIdleConnections)
		return
	}
	p.drop(c)
}

// Stats holds the counters of a Transport. Open and Idle are the current numbers of connections; all others count since
// the start. Opened counts connections, Resent the calls that were sent a second time, and Silent the connections on
// which no response arrived although the server responded on another one.
type Stats struct {
	Calls, BytesWritten, Opened, Resent, Silent, BadAnswers, Cancels, Probes int64
	Open, Idle                                                               int
}

// Stats returns the counters, summed over all servers.
func (t *Transport) Stats() Stats {
	s := Stats{
		Calls: t.counters.calls.Load(), BytesWritten: t.counters.bytesWritten.Load(),
		Opened: t.counters.opened.Load(), Resent: t.counters.resent.Load(),
		Silent: t.counters.silentConnections.Load(), BadAnswers: t.counters.badAnswers.Load(),
		Cancels: t.counters.cancels.Load(), Probes: t.counters.probes.Load(),
	}
	for _, p := range t.pools.all() {
		open, idle := p.counts()
		s.Open += open
		s.Idle += idle
	}
	return s
}

// Connections returns the numbers of open and idle connections to one server; open includes idle.
func (t *Transport) Connections(server fleet.ServerID) (open, idle int) {
	t.pools.mutex.RLock()
	p := t.pools.byServer[server]
	t.pools.mutex.RUnlock()
	if p == nil {
		return 0, 0
	}
	return p.counts()
}
