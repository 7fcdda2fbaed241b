package backend

// Relay sends whole HTTP requests to backend servers and returns their whole answers. Unlike Transport it knows no
// protocol beyond HTTP/1.1: the caller renders the request and judges the answer.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// relayConnectTimeout bounds one connection attempt of a Relay: a round trip between zones and the server's own
	// handshake take under 20 ms; beyond that the opening packet was dropped and is sent again only after a second.
	relayConnectTimeout = 400 * time.Millisecond
	// idleMargin is kept from the idle timeout that a server announces, for the way of the next request.
	idleMargin = time.Second
	// longRequest is the size from which a request is written beside the reading of its answer, because a server may
	// answer before it has read a long body.
	longRequest = 16 << 10
	// largeAnswer is the size in bytes from which an answer that finds no memory is taken for the server's failure: those
	// that take the memory are among them.
	largeAnswer = 64 << 10
	// mostSkipped bounds the answers to other requests that are skipped on one connection.
	mostSkipped = 2
)

// Message is one HTTP request to a backend server.
type Message struct {
	// Method decides whether the answer has a body.
	Method string
	// Render appends the request to the buffer. left is the time until the deadline at the moment of the write.
	Render func(buffer []byte, left time.Duration) []byte
	// Mine tells whether an answer belongs to this request. An answer that does not is skipped: it is a second answer
	// to an earlier request on the connection. With one that is not sure the connection is closed.
	Mine     func(header http.Header) (mine, sure bool)
	Deadline time.Time
	// ID is set where a second answer to an earlier send of the same request must not be taken for this one's: the request is
	// not sent on a connection that has carried it.
	ID string
	// MostBody is the longest body of an answer, in bytes; 0 for the bound of all answers.
	MostBody int64
	// Reserve is asked before a large body is held; nil for no account.
	Reserve func(bytes int) bool
}

// Answer is a whole HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// RelayCounts counts what a Relay did since its start.
type RelayCounts struct {
	Opened, Skipped, Unanswered int64
}

// Relay holds the connections to all backend servers. It is safe for concurrent use.
type Relay struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	pools   pools
	buffers sync.Pool
	opened  atomic.Int64
	skipped atomic.Int64
	silent  atomic.Int64
}

// NewRelay returns a relay; nil for dial means TCP.
func NewRelay(dial func(ctx context.Context, address string) (net.Conn, error)) *Relay {
	if dial == nil {
		dialer := &net.Dialer{}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	r := &Relay{dial: dial}
	r.pools.known = make(map[fleet.ServerID]*pool)
	r.buffers.New = func() any { return new([]byte) }
	return r
}

// Counts returns the counts since the start.
func (r *Relay) Counts() RelayCounts {
	return RelayCounts{r.opened.Load(), r.skipped.Load(), r.silent.Load()}
}

// Forget closes the idle connections to a server.
func (r *Relay) Forget(server fleet.ServerID) { r.pools.forget(server) }

// Do sends the message to the server at the address over one of at most limit connections. It sends nothing a second
// time. The error's verdict is NotRun only if no byte was written. The end of ctx closes the connection.
func (r *Relay) Do(ctx context.Context, server fleet.Server, limit int, message *Message) (Answer, *verdict.Error) {
	p := r.pools.of(server)
	c, failure := r.connect(ctx, p, server, limit, message)
	if failure != nil {
		return Answer{}, failure
	}
	started := time.Now()
	left := message.Deadline.Sub(started)
	if left <= 0 || ctx.Err() != nil {
		p.put(c, limit)
		return Answer{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "no time left to send")
	}
	c.carried = message.ID
	done := r.exchange(ctx, c, message, left)
	if done.err != nil {
		p.drop(c)
		return Answer{}, r.failed(ctx, p, &done, started)
	}
	c.idleFor = announcedIdle(done.header)
	if done.closing {
		p.drop(c)
	} else {
		p.put(c, limit)
	}
	return Answer{Status: done.status, Header: done.header, Body: done.body}, nil
}

// Probe opens a connection to the server and keeps it for the next request.
func (r *Relay) Probe(ctx context.Context, server fleet.Server, limit int) *verdict.Error {
	p := r.pools.of(server)
	if !p.reserve(limit) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
	}
	c, failure := r.open(ctx, p, server)
	if failure == nil {
		p.put(c, limit)
	}
	return failure
}

// connect returns an idle connection that looks alive, or a new one.
func (r *Relay) connect(ctx context.Context, p *pool, server fleet.Server, limit int, message *Message) (*conn, *verdict.Error) {
	for {
		c, reserved := p.take(limit)
		if c == nil && !reserved {
			return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
		}
		if c == nil {
			break
		}
		fresh := c.idleFor == 0 || time.Since(c.lastRead) < c.idleFor
		carried := message.ID != "" && c.carried == message.ID
		if fresh && !carried && c.isOpen() {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	deadline := message.Deadline
	if latest := time.Now().Add(relayConnectTimeout); deadline.After(latest) {
		deadline = latest
	}
	dialing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return r.open(dialing, p, server)
}

// open opens a connection in the place that was reserved for it.
func (r *Relay) open(ctx context.Context, p *pool, server fleet.Server) (*conn, *verdict.Error) {
	raw, err := r.dial(ctx, p.address)
	if err != nil {
		p.release()
		reason := verdict.ConnectFailed
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = verdict.Cancelled
		}
		return nil, verdict.New(verdict.NotRun, reason, "connect to %s: %v", server.ID, err)
	}
	r.opened.Add(1)
	return newConn(raw), nil
}

// exchange writes the request and reads its answer. The end of ctx interrupts both.
func (r *Relay) exchange(ctx context.Context, c *conn, message *Message, left time.Duration) (done exchange) {
	if done.err = c.SetDeadline(message.Deadline); done.err != nil {
		return done
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.asked = nil
	if message.Method != http.MethodGet {
		c.asked = &http.Request{Method: message.Method}
	}
	scratch := r.buffers.Get().(*[]byte)
	request := message.Render((*scratch)[:0], left)
	if len(request) < longRequest {
		done.written, done.err = c.Write(request)
		*scratch = request
		r.buffers.Put(scratch)
		if done.err == nil {
			r.read(c, message, &done)
		}
		return done
	}
	written := make(chan struct{})
	var sent int
	var failure error
	go func() {
		defer close(written)
		sent, failure = c.Write(request)
	}()
	r.read(c, message, &done)
	select {
	case <-written:
	default:
		// The answer came before the body was out, or did not come at all. What is left of the body must not be
		// followed by another request.
		done.closing = true
		_ = c.SetDeadline(time.Unix(1, 0))
		<-written
	}
	done.written = sent
	if failure != nil {
		done.closing = true
	}
	return done
}

// read fetches the answer to this request and skips those to others. Interim answers share one bound, so that a server cannot
// go on with them.
func (r *Relay) read(c *conn, message *Message, done *exchange) {
	most, reserve := message.MostBody, message.Reserve
	if most <= 0 {
		most = maxAnswerBytes
	}
	if reserve == nil {
		reserve = unreserved
	}
	for skipped := 0; ; skipped++ {
		c.allowHead()
		c.readNext(done, most, reserve)
		for done.err == nil && done.status < http.StatusOK {
			c.readNext(done, most, reserve)
		}
		if done.err != nil {
			return
		}
		if mine, sure := message.Mine(done.header); mine {
			// Nothing is known of what follows after an answer that nobody asked for.
			done.closing = done.closing || skipped > 0 || !sure
			return
		}
		r.skipped.Add(1)
		if skipped == mostSkipped || done.closing && c.reader.Buffered() == 0 {
			done.err = errOthersAnswer
			return
		}
	}
}

var errOthersAnswer = errors.New("answer to another request")

// failed turns a failed exchange into an error with a true verdict.
func (r *Relay) failed(ctx context.Context, p *pool, done *exchange, started time.Time) *verdict.Error {
	switch {
	case done.written == 0:
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "nothing was written: %v", done.err)
	case isTimeout(done.err) || ctx.Err() != nil:
		r.silent.Add(1)
		// Connections that were idle all the while may have gone silent together with this one.
		for _, quiet := range p.takeQuiet(started) {
			p.drop(quiet)
		}
		reason := verdict.DeadlinePassed
		if ctx.Err() != nil {
			reason = verdict.Cancelled
		}
		return verdict.New(verdict.MayHaveRun, reason, "no answer: %v", done.err)
	case errors.Is(done.err, memory.ErrFull) && len(done.body) < largeAnswer:
		// Other answers hold the memory, or the request has ended meanwhile.
		return verdict.New(verdict.MayHaveRun, verdict.Overloaded, "answer given up: %v", done.err)
	case done.began:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answer is not whole: %v", done.err)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "closed before an answer: %v", done.err)
	}
}

// announcedIdle reads the timeout parameter of a Keep-Alive header (RFC 2068, section 19.7.1.1).
func announcedIdle(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
	}
	return 0
}
