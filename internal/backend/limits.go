package backend

// Limits on the memory that one response can occupy. http.ReadResponse does not limit the size of a header, and what a
// server reports about itself is kept after its response has been handled.

import (
	"errors"
	"net"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// maxOverheadBytes is how much of a response is read in addition to its maximum body size: header, chunk sizes and
	// trailer.
	maxOverheadBytes = 64 << 10
	// maxStartMarkBytes and maxHeldVersions limit the two fields of a response that are kept.
	maxStartMarkBytes = 256
	maxHeldVersions   = 1000
)

var errOverheadTooLong = errors.New("response exceeds 64 KiB of header, chunk sizes and trailer")

// limitedConn is a connection on which reads fail once the limit for the current response is used up.
type limitedConn struct {
	net.Conn
	remaining int64
}

func (c *limitedConn) Read(buffer []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errOverheadTooLong
	}
	n, err := c.Conn.Read(buffer[:min(int64(len(buffer)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// checkSize returns an error if a field that is kept is longer than its limit, and nil otherwise.
func (m *responseBody) checkSize() *verdict.Error {
	switch {
	case len(m.StartMark) > maxStartMarkBytes:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "start-mark has %d bytes, at most %d are allowed", len(m.StartMark), maxStartMarkBytes)
	case len(m.Held) > maxHeldVersions:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "held has %d versions, at most %d are allowed", len(m.Held), maxHeldVersions)
	}
	return nil
}
