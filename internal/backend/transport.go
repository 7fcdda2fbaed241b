// Package backend carries calls to backend servers over its own connections: pools, cancellation, silent
// connections and the check of answers.
//
// Only the owner of a server holds connections to it, and the number of them never exceeds its share. The
// package decides neither which calls are sent nor how many at a time, and it never hides whether a byte of a
// request was written, because the verdict rests on that.
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
	// connectTimeout bounds one connection attempt; a call's own deadline may be shorter.
	connectTimeout = time.Second
	// checkAfter is the idle time after which a connection is looked at before reuse. A backend server closes a
	// connection when it ends or after its idle timeout, hardly within the microseconds between two calls.
	checkAfter = 20 * time.Millisecond
	// cancelPatience is how long a call that was cancelled, or whose deadline has passed, may still answer before its
	// connection is closed. The server counts the deadline from the arrival of the request, which is later than the
	// sending, and may be late itself; until it has answered it still uses the slot.
	cancelPatience = 100 * time.Millisecond
	// cancelledPatience is how long the answer may still take once the server has taken the cancellation. Without the
	// answer the connection is silent, and the slot must not stay in use for long.
	cancelledPatience = 20 * time.Millisecond
)

// errFenced is the outcome of an exchange whose call was no longer permitted before its first byte.
var errFenced = errors.New("not permitted")

// Options configure a Transport.
type Options struct {
	// Connections returns how many connections to the server this process may hold now.
	Connections func(server fleet.Server) int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport is the owner's side of the backend server protocol. It implements replica.Transport.
type Transport struct {
	options  Options
	pools    pools
	counters counters
	buffers  sync.Pool
	stop     context.CancelFunc
	running  sync.WaitGroup
}

type counters struct {
	calls, written, opened, resent, silent, badAnswers, cancels, probes atomic.Int64
}

var _ replica.Transport = (*Transport)(nil)

// New returns a transport that probes its idle connections until Close.
func New(options Options) *Transport {
	if options.Dial == nil {
		dialer := &net.Dialer{}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{options: options, stop: stop}
	t.pools.known = make(map[fleet.ServerID]*pool)
	t.buffers.New = func() any { return new([]byte) }
	t.running.Go(func() { t.probeQuiet(ctx) })
	return t
}

// Close closes all idle connections and stops the prober. Calls in flight run to their end.
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

// Do sends the call and waits for its answer. Next to an error the reply holds what the server said of
// itself. When ctx ends or the deadline passes, Do returns once the server has answered or after 100 ms: until then
// the server may still be working on the call. The end of ctx also asks the server to cancel.
func (t *Transport) Do(ctx context.Context, server fleet.Server, call replica.Call) (replica.Reply, error) {
	t.counters.calls.Add(1)
	if ctx.Err() != nil {
		return replica.Reply{}, verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before it was sent")
	}
	p := t.pools.of(server)
	c, failure := t.connect(ctx, p, server, call.Deadline, false)
	if failure != nil {
		return replica.Reply{}, failure
	}
	reply, failure, resend := t.attempt(ctx, p, server, c, &call)
	if resend && ctx.Err() == nil && time.Until(call.Deadline) > 0 {
		t.counters.resent.Add(1)
		fresh, failed := t.connect(ctx, p, server, call.Deadline, true)
		if failed != nil {
			// The first attempt may have run even though the second was not sent.
			return reply, failed.WithVerdict(max(failure.Verdict, failed.Verdict))
		}
		first := failure.Verdict
		reply, failure, _ = t.attempt(ctx, p, server, fresh, &call)
		if failure != nil && failure.Verdict < first {
			failure = failure.WithVerdict(first)
		}
	}
	if failure != nil {
		return reply, failure
	}
	return reply, nil
}

// connect returns a connection that is ready for a request: an idle one, or a new one when none is idle or
// fresh is set.
func (t *Transport) connect(ctx context.Context, p *pool, server fleet.Server, deadline time.Time, fresh bool) (*conn, *verdict.Error) {
	limit := t.options.Connections(server)
	for !fresh {
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
	if fresh && !p.reserve(limit) {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
	}
	if latest := time.Now().Add(connectTimeout); deadline.After(latest) {
		deadline = latest
	}
	dialing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := t.options.Dial(dialing, p.address)
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

func (t *Transport) usable(p *pool, c *conn) bool {
	quiet := time.Since(c.lastRead)
	if quiet < checkAfter {
		return true
	}
	if !c.isOpen() {
		return false
	}
	// The prober keeps idle connections younger than this; a process that was paused finds them older.
	return quiet < quietAge+2*probeInterval || t.probe(p, c)
}

// attempt runs one exchange and returns the connection to the pool or closes it. resend is set when the same
// call may be sent again: nothing was written, or the reused connection was closed before any byte of an
// answer and the call is idempotent.
func (t *Transport) attempt(ctx context.Context, p *pool, server fleet.Server, c *conn, call *replica.Call) (replica.Reply, *verdict.Error, bool) {
	started := time.Now()
	if !started.Before(call.Deadline) {
		p.put(c, t.options.Connections(server))
		return replica.Reply{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "no time left to send"), false
	}
	done := t.roundTrip(ctx, p, server, c, call, call.Deadline.Sub(started))
	t.counters.written.Add(int64(done.written))
	if done.err == errFenced {
		p.put(c, t.options.Connections(server))
		return replica.Reply{}, verdict.New(verdict.NotRun, verdict.Fenced, "the owner may not send any more"), false
	}
	if done.err != nil {
		p.drop(c)
		failure := t.judge(ctx, p, &done, started)
		resend := c.reused && !done.began && !isTimeout(done.err) && (done.written == 0 || call.Idempotent)
		return replica.Reply{}, failure, resend
	}
	p.lastAnswer.Store(c.lastRead.UnixNano())
	reply, failure, keep := parseAnswer(done.status, done.body, call)
	if failure != nil && failure.Reason == verdict.BadAnswer {
		t.counters.badAnswers.Add(1)
	}
	if keep && !done.closing {
		p.put(c, t.options.Connections(server))
	} else {
		p.drop(c)
	}
	return reply, failure, false
}

// roundTrip writes the request and reads the response. While it reads, the end of ctx cancels the call at the
// server and shortens the time to wait for the answer.
func (t *Transport) roundTrip(ctx context.Context, p *pool, server fleet.Server, c *conn, call *replica.Call, left time.Duration) (done exchange) {
	scratch := t.buffers.Get().(*[]byte)
	body := appendCall((*scratch)[:0], call, left)
	length := len(body)
	request := appendHead(body, "POST", "/v1/shard-query", p.address, length)
	request = append(request, body[:length]...)
	if call.Permitted != nil && !call.Permitted() {
		done.err = errFenced
	} else {
		done.written, done.err = c.write(request[length:], call.Deadline)
	}
	*scratch = request
	t.buffers.Put(scratch)
	if done.err == nil {
		done.err = c.SetReadDeadline(call.Deadline.Add(cancelPatience))
	}
	if done.err != nil {
		return done
	}
	if ctx.Done() != nil {
		w := &waiting{conn: c}
		stop := context.AfterFunc(ctx, func() { t.cancel(p, server, w, call) })
		defer func() {
			stop()
			w.end()
		}()
	}
	c.read(&done)
	return done
}

// judge turns a failed exchange into an error with a true verdict.
func (t *Transport) judge(ctx context.Context, p *pool, done *exchange, started time.Time) *verdict.Error {
	switch {
	case done.written == 0:
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "nothing was written: %v", done.err)
	case errors.Is(ctx.Err(), context.Canceled):
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "no answer after cancellation: %v", done.err)
	case isTimeout(done.err) && p.lastAnswer.Load() > started.UnixNano():
		t.counters.silent.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.SilentConnection, "no answer while another connection answered")
	case isTimeout(done.err):
		return verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no answer before the deadline")
	case done.began && !errors.Is(done.err, io.EOF) || errors.Is(done.err, io.ErrUnexpectedEOF):
		t.counters.badAnswers.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answer is not whole: %v", done.err)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "closed before an answer: %v", done.err)
	}
}
