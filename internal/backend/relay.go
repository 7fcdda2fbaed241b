package backend

// Relay sends complete HTTP requests to backend servers and returns complete responses. Unlike Transport it implements
// no protocol on top of HTTP/1.1: its user encodes the request and interprets the response.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// relayConnectTimeout limits one connection attempt of a Relay. A round trip between zones and the server's
	// handshake take less than 20 ms; if an attempt takes much longer, its SYN packet was lost, and the kernel
	// retransmits it only after one second.
	relayConnectTimeout = 400 * time.Millisecond
	// idleTimeoutMargin is subtracted from the idle timeout that a server announces, to allow for the time that the
	// next request needs to reach it.
	idleTimeoutMargin = time.Second
	// longRequestBytes is the size from which a request is written concurrently with reading its response, because a
	// server may respond before it has read a long body.
	longRequestBytes = 16 << 10
	// largeResponseBytes is the number of body bytes read from which a response that gets no more memory is treated as
	// a fault of its server. Responses of this size are among those that use up the memory; smaller ones only suffer
	// from the shortage.
	largeResponseBytes = 64 << 10
	// maxSkippedResponses is the maximum number of responses to other requests that are skipped while waiting for the
	// response to one request.
	maxSkippedResponses = 2
)

// RelayRequest is one HTTP request to a backend server.
type RelayRequest struct {
	// Method determines whether the response has a body.
	Method string
	// Append appends the encoded request to the buffer and returns it. remaining is the time from the write until the
	// deadline.
	Append func(buffer []byte, remaining time.Duration) []byte
	// Matches reports from the header of a response whether it belongs to this request. A response that does not is
	// skipped as a duplicate response to an earlier request on the connection. If a response belongs to this request
	// but certain is false, the connection is closed after it.
	Matches  func(header http.Header) (matches, certain bool)
	Deadline time.Time
	// ID identifies a request that may be sent more than once. It is not sent again on the connection that carried it
	// last, so that a duplicate response to the earlier send is not mistaken for the response to this one. Empty means
	// that any connection may be used.
	ID string
	// MaxBodyBytes is the maximum size of the response body in bytes; zero means maxResponseBytes.
	MaxBodyBytes int64
	// ReserveMemory is called before memory is allocated for a large response body; if it returns false, the request
	// fails. Nil means that the memory is not accounted for.
	ReserveMemory func(bytes int) bool
}

// RelayResponse is a complete HTTP response.
type RelayResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// RelayStats holds the counters of a Relay since its start: connections opened, responses to other requests that were
// skipped, and requests that got no response before their deadline or cancellation.
type RelayStats struct {
	Opened, Skipped, Unanswered int64
}

// Relay sends requests over its connections to the backend servers. It is safe for concurrent use.
type Relay struct {
	dial       func(ctx context.Context, address string) (net.Conn, error)
	pools      pools
	buffers    sync.Pool
	opened     atomic.Int64
	skipped    atomic.Int64
	unanswered atomic.Int64
}

// NewRelay returns a relay without connections. It opens connections with dial; nil means TCP.
func NewRelay(dial func(ctx context.Context, address string) (net.Conn, error)) *Relay {
	if dial == nil {
		dialer := &net.Dialer{}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	r := &Relay{dial: dial}
	r.pools.byServer = make(map[fleet.ServerID]*pool)
	r.buffers.New = func() any { return new([]byte) }
	return r
}

// Stats returns the counters since the start.
func (r *Relay) Stats() RelayStats {
	return RelayStats{r.opened.Load(), r.skipped.Load(), r.unanswered.Load()}
}

// HasIdle reports whether a connection to the server is idle. The server may have closed it meanwhile.
func (r *Relay) HasIdle(server fleet.ServerID) bool { return r.pools.hasIdle(server) }

// KeepIdle sets how many connections to a server are kept idle, until Forget; negative means all that are permitted.
// Others are closed when they have been idle for transientIdleTime.
func (r *Relay) KeepIdle(server fleet.ServerID, kept int) { r.pools.keepIdle(server, kept) }

// Connections returns the number of connections that are open, and how many idle ones are kept to the servers for which
// KeepIdle has set a number.
func (r *Relay) Connections() (open, kept int) { return r.pools.connections() }

// Forget closes the idle connections to a server.
func (r *Relay) Forget(server fleet.ServerID) { r.pools.forget(server) }

// Do sends the request to the server over one of at most limit connections and returns the response. It never sends a
// request twice. The error's verdict is NotRun only if no byte was written. If ctx is done before the response is
// complete, the connection is closed.
func (r *Relay) Do(ctx context.Context, server fleet.Server, limit int, request *RelayRequest) (RelayResponse, *verdict.Error) {
	p := r.pools.get(server)
	c, failure := r.connect(ctx, p, server, limit, request)
	if failure != nil {
		return RelayResponse{}, failure
	}
	started := time.Now()
	remaining := request.Deadline.Sub(started)
	if remaining <= 0 || ctx.Err() != nil {
		p.put(c, limit)
		return RelayResponse{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "no time left to send")
	}
	c.lastRequestID = request.ID
	result := r.roundTrip(ctx, c, request, remaining)
	if result.err != nil {
		p.drop(c)
		return RelayResponse{}, r.exchangeError(ctx, p, &result, started)
	}
	c.idleTimeout = announcedIdleTimeout(result.header)
	if result.mustClose {
		p.drop(c)
	} else {
		p.put(c, limit)
	}
	return RelayResponse{Status: result.status, Header: result.header, Body: result.body}, nil
}

// Probe opens a connection to the server and keeps it as an idle one for the next request.
func (r *Relay) Probe(ctx context.Context, server fleet.Server, limit int) *verdict.Error {
	p := r.pools.get(server)
	if !p.reserveNew(limit) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
	}
	c, failure := r.open(ctx, p, server)
	if failure == nil {
		p.put(c, limit)
	}
	return failure
}

// Refuses reports whether the server's address refuses a new connection. If it accepts one, the connection is kept as an
// idle one if that is permitted.
func (r *Relay) Refuses(ctx context.Context, server fleet.Server, limit int) bool {
	raw, err := r.dial(ctx, server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	r.opened.Add(1)
	if p := r.pools.get(server); p.reserve(limit) {
		p.put(newConn(raw), limit)
	} else {
		_ = raw.Close() // nothing was sent on it
	}
	return false
}

// connect returns an idle connection that appears to be open and within its idle timeout, or a new one.
func (r *Relay) connect(ctx context.Context, p *pool, server fleet.Server, limit int, request *RelayRequest) (*conn, *verdict.Error) {
	for {
		c, reserved := p.take(limit)
		if c == nil && !reserved {
			return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "all %d connections to %s are in use", limit, server.ID)
		}
		if c == nil {
			break
		}
		inTime := c.idleTimeout == 0 || time.Since(c.lastRead) < c.idleTimeout
		sentBefore := request.ID != "" && c.lastRequestID == request.ID
		if inTime && !sentBefore && c.isOpen() {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	deadline := request.Deadline
	if latest := time.Now().Add(relayConnectTimeout); deadline.After(latest) {
		deadline = latest
	}
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return r.open(dialCtx, p, server)
}

// open opens a connection that the pool has already counted.
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

// roundTrip writes the request and reads its response. Both are interrupted when ctx is done.
func (r *Relay) roundTrip(ctx context.Context, c *conn, request *RelayRequest, remaining time.Duration) (result exchange) {
	if result.err = c.SetDeadline(request.Deadline); result.err != nil {
		return result
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.request = nil
	if request.Method != http.MethodGet {
		c.request = &http.Request{Method: request.Method}
	}
	scratch := r.buffers.Get().(*[]byte)
	encoded := request.Append((*scratch)[:0], remaining)
	if len(encoded) < longRequestBytes {
		result.bytesWritten, result.err = c.Write(encoded)
		*scratch = encoded
		r.buffers.Put(scratch)
		if result.err == nil {
			r.readResponse(c, request, &result)
		}
		return result
	}
	written := make(chan struct{})
	var sent int
	var writeErr error
	go func() {
		defer close(written)
		sent, writeErr = c.Write(encoded)
	}()
	r.readResponse(c, request, &result)
	select {
	case <-written:
	default:
		// The response arrived before the body was sent completely, or not at all. The rest of the body is not sent, so
		// the connection cannot carry another request.
		result.mustClose = true
		_ = c.SetDeadline(time.Unix(1, 0))
		<-written
	}
	result.bytesWritten = sent
	if writeErr != nil {
		result.mustClose = true
	}
	return result
}

// readResponse reads the response to this request and skips responses to others. The interim (1xx) responses before a
// response share its overhead limit, so that a server cannot send them endlessly.
func (r *Relay) readResponse(c *conn, request *RelayRequest, result *exchange) {
	maxBody, reserve := request.MaxBodyBytes, request.ReserveMemory
	if maxBody <= 0 {
		maxBody = maxResponseBytes
	}
	if reserve == nil {
		reserve = unlimitedMemory
	}
	for skipped := 0; ; skipped++ {
		c.resetOverheadLimit()
		c.readResponseWithin(result, maxBody, reserve)
		for result.err == nil && result.status < http.StatusOK {
			c.readResponseWithin(result, maxBody, reserve)
		}
		if result.err != nil {
			return
		}
		if matches, certain := request.Matches(result.header); matches {
			// After an unsolicited response, or one that is not certain to match, it is unknown what follows on the
			// connection.
			result.mustClose = result.mustClose || skipped > 0 || !certain
			return
		}
		r.skipped.Add(1)
		if skipped == maxSkippedResponses || result.mustClose && c.reader.Buffered() == 0 {
			result.err = errUnrelatedResponse
			return
		}
	}
}

var errUnrelatedResponse = errors.New("response belongs to another request")

// exchangeError returns the error of a failed exchange. Its verdict is NotRun only if no byte was written.
func (r *Relay) exchangeError(ctx context.Context, p *pool, result *exchange, started time.Time) *verdict.Error {
	switch {
	case result.bytesWritten == 0:
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "nothing was written: %v", result.err)
	case isTimeout(result.err) || ctx.Err() != nil:
		r.unanswered.Add(1)
		// Connections that have been idle since before the request started may have gone silent together with this one.
		for _, stale := range p.takeIdleSince(started) {
			p.drop(stale)
		}
		reason := verdict.DeadlinePassed
		if ctx.Err() != nil {
			reason = verdict.Cancelled
		}
		return verdict.New(verdict.MayHaveRun, reason, "no response: %v", result.err)
	case errors.Is(result.err, memory.ErrFull) && len(result.body) < largeResponseBytes:
		// Other responses hold the memory, or the request has ended and its reservation is closed.
		return verdict.New(verdict.MayHaveRun, verdict.Overloaded, "no memory to read the response: %v", result.err)
	case result.responseBegan:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response could not be read: %v", result.err)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "connection closed before a response: %v", result.err)
	}
}

// announcedIdleTimeout returns the timeout parameter of the Keep-Alive header (RFC 2068, section 19.7.1.1) less
// idleTimeoutMargin, and zero if there is none.
func announcedIdleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, time.Millisecond)
	}
	return 0
}
