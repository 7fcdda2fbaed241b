package backend

// One connection carries one request at a time. The outcome of an exchange says how far it came, because
// the verdict depends on whether a byte was written and on whether a byte of an answer was read.

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/memory"
)

// readBuffer holds a usual answer whole, so that one read fetches it.
const readBuffer = 4 << 10

type conn struct {
	net.Conn
	reader *bufio.Reader
	bounds *boundedConn
	// idleFor is how long the server keeps the connection open without a request; zero if it did not say.
	idleFor time.Duration
	// lastRead is when the last byte was read, or when the connection was opened.
	lastRead time.Time
	reused   bool
	// carried is the id of the request sent last, where its sender gave one.
	carried string
	// asked is the request in progress where its method bears on the answer's body; nil stands for GET.
	asked *http.Request
}

func newConn(raw net.Conn) *conn {
	bounds := &boundedConn{Conn: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(bounds, readBuffer), bounds: bounds, lastRead: time.Now()}
}

func (c *conn) close() {
	_ = c.Conn.Close()
}

// exchange is what happened to one request on one connection.
type exchange struct {
	written int
	// began is set once a byte of the answer was read.
	began  bool
	status int
	header http.Header
	body   []byte
	// closing is set when the connection cannot carry another request.
	closing bool
	err     error
}

// write sends the request in one call, so that the count of bytes is the kernel's.
func (c *conn) write(request []byte, deadline time.Time) (int, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Write(request)
}

// read fetches one whole response. A response that ends early is an error.
func (c *conn) read(done *exchange) {
	c.allowHead()
	c.readNext(done, maxAnswerBytes, unreserved)
}

// unreserved takes memory that no account counts.
func unreserved(int) bool { return true }

// allowHead renews what may be read beside a body.
func (c *conn) allowHead() { c.bounds.left = maxHeaderBytes }

// readNext fetches one whole response with a body of at most the given length, within what is left beside it. reserve is asked
// before a large body is held.
func (c *conn) readNext(done *exchange, mostBody int64, reserve func(bytes int) bool) {
	if _, err := c.reader.Peek(1); err != nil {
		done.err = err
		return
	}
	done.began = true
	response, err := http.ReadResponse(c.reader, c.asked)
	if err != nil {
		done.err = err
		return
	}
	done.status, done.header = response.StatusCode, response.Header
	if done.status >= http.StatusOK {
		c.bounds.left += mostBody
	}
	if done.body, done.err = memory.ReadAll(response.Body, response.ContentLength, mostBody, reserve); done.err != nil {
		// Closing the body would wait for the rest of it, and the connection is closed anyway.
		return
	}
	_ = response.Body.Close()
	c.lastRead = time.Now()
	done.closing = response.Close || c.reader.Buffered() > 0
}

// isOpen looks without waiting whether the peer has closed the idle connection or sent bytes that nobody
// asked for. It finds most stale connections before a byte is written, which keeps the verdict at "not run".
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
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = failure == syscall.EAGAIN
	})
	return err == nil && open
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
