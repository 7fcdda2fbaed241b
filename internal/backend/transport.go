// Package backend sends calls to backend servers over pooled HTTP/1.1 connections. It cancels calls, detects silent
// connections and checks the responses. A silent connection is one that is still open but on which nothing arrives any
// more.
//
// With Transport, only the instance that owns a server holds connections to it, and never more than its share of them.
// The package does not decide which calls are sent or how many at a time. Its errors always tell whether a byte of the
// request was written, because that decides between the verdicts NotRun and MayHaveRun.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// connectTimeout limits one connection attempt; the deadline of the call may be earlier.
	connectTimeout = time.Second
	// checkIdleAge is the idle time from which a connection is checked with isOpen before it is reused. A backend
	// server closes a connection when it shuts down or after its idle timeout, which is unlikely to happen within the
	// microseconds between two calls.
	checkIdleAge = 20 * time.Millisecond
	// lateResponseTimeout is how long a call waits for its response after it was cancelled or its deadline has passed,
	// before its connection is closed. The server's deadline is later, because it counts the remaining time from the
	// arrival of the request, and the server may exceed it. Until it responds, the call still occupies a slot there.
	lateResponseTimeout = 100 * time.Millisecond
	// cancelledResponseTimeout is how long a call waits for its response after the server has confirmed the
	// cancellation. If none arrives, the connection is silent, and the slot of the call must not stay in use for long.
	cancelledResponseTimeout = 20 * time.Millisecond
)

// errFenced is the error of an exchange whose call was no longer permitted when its first byte was to be written.
var errFenced = errors.New("sending is no longer permitted")

// Options configure a Transport.
type Options struct {
	// Connections returns the number of connections to the server that this process may hold at the moment.
	Connections func(server fleet.Server) int
	// Dial opens a connection to the address; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport is the client of the backend server protocol, used by the instance that owns the servers. It implements
// replica.Transport and is safe for concurrent use.
type Transport struct {
	options  Options
	pools    pools
	counters counters
	buffers  sync.Pool
	stop     context.CancelFunc
	running  sync.WaitGroup
}

type counters struct {
	calls, bytesWritten, opened, resent, silentConnections, badAnswers, cancels, probes atomic.Int64
}

var _ replica.Transport = (*Transport)(nil)

// New returns a transport. It probes its idle connections until Close is called.
func New(options Options) *Transport {
	if options.Dial == nil {
		dialer := &net.Dialer{}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{options: options, stop: stop}
	t.pools.byServer = make(map[fleet.ServerID]*pool)
	t.buffers.New = func() any { return new([]byte) }
	t.running.Go(func() { t.probeIdleConnections(ctx) })
	return t
}

// Close stops probing and closes all idle connections. Calls in progress complete normally.
func (t *Transport) Close() {
	t.stop()
	t.running.Wait()
	t.pools.mutex.Lock()
	t.pools.closed = true
	t.pools.mutex.Unlock()
	for _, p := range t.pools.all() {
		p.close()
	}
}

// Forget closes the idle connections to a server that this process no longer owns.
func (t *Transport) Forget(server fleet.ServerID) {
	t.pools.forget(server)
}

// Do sends the call and waits for its response. Even if the error is not nil, the answer holds whatever the server
// reported about itself. After ctx is done or the deadline has passed, Do returns when the server has responded or
// after 100 ms (lateResponseTimeout), because the server may still be working on the call. When ctx is done, Do also
// asks the server to cancel the call.
func (t *Transport) Do(ctx context.Context, server fleet.Server, call replica.Call) (replica.Answer, error) {
	t.counters.calls.Add(1)
	if ctx.Err() != nil {
		return replica.Answer{}, verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before it was sent")
	}
	p := t.pools.get(server)
	c, failure := t.connect(ctx, p, server, call.Deadline, false)
	if failure != nil {
		return replica.Answer{}, failure
	}
	answer, failure, resend := t.attempt(ctx, p, server, c, &call)
	if resend && ctx.Err() == nil && time.Until(call.Deadline) > 0 {
		t.counters.resent.Add(1)
		second, secondFailure := t.connect(ctx, p, server, call.Deadline, true)
		if secondFailure != nil {
			// The call may have run in the first attempt even though the second was not sent.
			return answer, secondFailure.WithVerdict(max(failure.Verdict, secondFailure.Verdict))
		}
		firstVerdict := failure.Verdict
		answer, failure, _ = t.attempt(ctx, p, server, second, &call)
		if failure != nil && failure.Verdict < firstVerdict {
			failure = failure.WithVerdict(firstVerdict)
		}
	}
	if failure != nil {
		return answer, failure
	}
	return answer, nil
}

// connect returns a connection that is ready for a request: an idle one, or a new one if none is idle or forceNew is
// set.
func (t *Transport) connect(ctx context.Context, p *pool, server fleet.Server, deadline time.Time, forceNew bool) (*conn, *verdict.Error) {
	limit := t.options.Connections(server)
	for !forceNew {
		c, reserved := p.take(limit)
		if c != nil {
			if t.usable(p, c) {
				c.reused = true
				return c, nil
			}
			p.drop(c)
			continue
		}
		if !reserved {
			return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
		}
		break
	}
	if forceNew && !p.reserveNew(limit) {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
	}
	if latest := time.Now().Add(connectTimeout); deadline.After(latest) {
		deadline = latest
	}
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := t.options.Dial(dialCtx, p.address)
	if err != nil {
		p.release()
		reason := verdict.ConnectFailed
		if ctx.Err() != nil {
			reason = verdict.Cancelled
		}
		return nil, verdict.New(verdict.NotRun, reason, "connect to %s: %v", server.ID, err)
	}
	t.counters.opened.Add(1)
	return newConn(raw), nil
}

// usable reports whether an idle connection can carry a request. It checks connections idle for checkIdleAge or longer
// and probes those that should have been probed already.
func (t *Transport) usable(p *pool, c *conn) bool {
	idleFor := time.Since(c.lastRead)
	if idleFor < checkIdleAge {
		return true
	}
	if !c.isOpen() {
		return false
	}
	// The regular probes keep idle connections younger than this, unless the process was paused.
	return idleFor < probeIdleAge+2*probeInterval || t.probe(p, c)
}

// attempt runs one exchange and then returns the connection to the pool or closes it. The last result reports whether
// the call may be sent again on a new connection. That requires a reused connection that failed before any byte of a
// response was read, other than by a timeout, and either that nothing was written or that the call is idempotent.
func (t *Transport) attempt(ctx context.Context, p *pool, server fleet.Server, c *conn, call *replica.Call) (replica.Answer, *verdict.Error, bool) {
	started := time.Now()
	if !started.Before(call.Deadline) {
		p.put(c, t.options.Connections(server))
		return replica.Answer{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "no time left to send"), false
	}
	result := t.roundTrip(ctx, p, server, c, call, call.Deadline.Sub(started))
	t.counters.bytesWritten.Add(int64(result.bytesWritten))
	if result.err == errFenced {
		p.put(c, t.options.Connections(server))
		return replica.Answer{}, verdict.New(verdict.NotRun, verdict.Fenced, "this instance may no longer send to the server"), false
	}
	if result.err != nil {
		p.drop(c)
		failure := t.exchangeError(ctx, p, &result, started)
		resend := c.reused && !result.responseBegan && !isTimeout(result.err) && (result.bytesWritten == 0 || call.Idempotent)
		return replica.Answer{}, failure, resend
	}
	p.lastResponse.Store(c.lastRead.UnixNano())
	answer, failure, reusable := parseResponse(result.status, result.body, call)
	if failure != nil && failure.Reason == verdict.BadAnswer {
		t.counters.badAnswers.Add(1)
	}
	if reusable && !result.mustClose {
		p.put(c, t.options.Connections(server))
	} else {
		p.drop(c)
	}
	return answer, failure, false
}

// roundTrip writes the request and reads the response. If ctx is done while it reads, it cancels the call at the server
// and waits less long for the response.
func (t *Transport) roundTrip(ctx context.Context, p *pool, server fleet.Server, c *conn, call *replica.Call, remaining time.Duration) (result exchange) {
	scratch := t.buffers.Get().(*[]byte)
	body := appendCallBody((*scratch)[:0], call, remaining)
	length := len(body)
	request := appendRequestHead(body, "POST", "/v1/shard-query", p.address, length)
	request = append(request, body[:length]...)
	if call.Permitted != nil && !call.Permitted() {
		result.err = errFenced
	} else {
		result.bytesWritten, result.err = c.write(request[length:], call.Deadline)
	}
	*scratch = request
	t.buffers.Put(scratch)
	if result.err == nil {
		result.err = c.SetReadDeadline(call.Deadline.Add(lateResponseTimeout))
	}
	if result.err != nil {
		return result
	}
	if ctx.Done() != nil {
		pending := &pendingResponse{conn: c}
		stop := context.AfterFunc(ctx, func() { t.cancel(p, server, pending, call) })
		defer func() {
			stop()
			pending.finish()
		}()
	}
	c.readResponse(&result)
	return result
}

// exchangeError returns the error of a failed exchange. Its verdict is NotRun only if no byte was written.
func (t *Transport) exchangeError(ctx context.Context, p *pool, result *exchange, started time.Time) *verdict.Error {
	switch {
	case result.bytesWritten == 0:
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "nothing was written: %v", result.err)
	case errors.Is(ctx.Err(), context.Canceled):
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "no response after cancellation: %v", result.err)
	case isTimeout(result.err) && p.lastResponse.Load() > started.UnixNano():
		t.counters.silentConnections.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.SilentConnection, "no response, although the server responded on another connection")
	case isTimeout(result.err):
		return verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no response before the deadline")
	case result.responseBegan && !errors.Is(result.err, io.EOF) || errors.Is(result.err, io.ErrUnexpectedEOF):
		t.counters.badAnswers.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response could not be read: %v", result.err)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "connection closed before a response: %v", result.err)
	}
}
