package backend

// A connection carries one request at a time. The result of an exchange records how far it got, because the verdict
// depends on whether a byte of the request was written and whether a byte of the response was read.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/memory"
)

// readBufferBytes is large enough for a typical response, so that a single read fetches it.
const readBufferBytes = 4 << 10

type conn struct {
	net.Conn
	reader  *bufio.Reader
	limited *limitedConn
	// idleTimeout is how long the server keeps the connection open without a request; zero if it did not announce it.
	idleTimeout time.Duration
	// lastRead is the time at which the last response was read, or at which the connection was opened.
	lastRead time.Time
	// reused is set when the connection was taken from the idle connections of its pool.
	reused bool
	// lastRequestID is the id of the last request sent by a Relay; empty if the request had none.
	lastRequestID string
	// request is passed to http.ReadResponse, because the method decides whether the response has a body; nil means
	// GET.
	request *http.Request
}

func newConn(raw net.Conn) *conn {
	limited := &limitedConn{Conn: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited, lastRead: time.Now()}
}

func (c *conn) close() {
	_ = c.Conn.Close()
}

// exchange is the result of sending one request on one connection.
type exchange struct {
	bytesWritten int
	// responseBegan is set once a byte of the response was read.
	responseBegan bool
	status        int
	header        http.Header
	body          []byte
	// mustClose is set when the connection cannot carry another request.
	mustClose bool
	err       error
}

// write sends the request with a single Write on the connection, so that the returned count is what the kernel
// accepted.
func (c *conn) write(request []byte, deadline time.Time) (int, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Write(request)
}

// readResponse reads one complete response within the default limits. A response that ends early is an error.
func (c *conn) readResponse(result *exchange) {
	c.resetOverheadLimit()
	c.readResponseWithin(result, maxResponseBytes, unlimitedMemory)
}

// unlimitedMemory is the reserve function of responses whose memory is not accounted for.
func unlimitedMemory(int) bool { return true }

// resetOverheadLimit allows maxOverheadBytes for the next response, in addition to its body.
func (c *conn) resetOverheadLimit() { c.limited.remaining = maxOverheadBytes }

// readResponseWithin reads one complete response with a body of at most maxBody bytes; all the rest must fit into what
// is left of the overhead limit. reserve is called before memory is allocated for a large body; if it returns false,
// the read fails.
func (c *conn) readResponseWithin(result *exchange, maxBody int64, reserve func(bytes int) bool) {
	if _, err := c.reader.Peek(1); err != nil {
		result.err = err
		return
	}
	result.responseBegan = true
	response, err := http.ReadResponse(c.reader, c.request)
	if err != nil {
		result.err = err
		return
	}
	if !validStatus(response.StatusCode) {
		result.err = fmt.Errorf("status %03d of a response is not valid", response.StatusCode)
		return
	}
	result.status, result.header = response.StatusCode, response.Header
	if result.status >= http.StatusOK {
		c.limited.remaining += maxBody
	}
	if result.body, result.err = memory.ReadAll(response.Body, response.ContentLength, maxBody, reserve); result.err != nil {
		// Closing the body would wait for the rest of it, and the connection is closed after an error anyway.
		return
	}
	_ = response.Body.Close()
	c.lastRead = time.Now()
	result.mustClose = response.Close || c.reader.Buffered() > 0
}

// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// validStatus reports whether a server may answer with the status. After any other one, and after a switch to another
// protocol, which no request asks for, it is unknown what follows on the connection.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// isOpen reports, without blocking, whether the idle connection can be reused: the server has neither closed it nor
// sent unsolicited bytes. This finds most stale connections before a byte is written, so that the verdict is still
// NotRun.
func (c *conn) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
	})
	return err == nil && open
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
