package backend

// Bounds on what one answer can make the owner hold. net/http reads the header of a response without a bound, and what
// a server says of itself outlives its answer.

import (
	"errors"
	"net"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// maxHeaderBytes bounds everything of a response beside its body: header, chunk sizes and trailer.
	maxHeaderBytes = 64 << 10
	// maxStartMark and maxHeld bound what is kept of an answer: the start mark and the versions held.
	maxStartMark = 256
	maxHeld      = 1000
)

var errHeaderTooLong = errors.New("answer has more than 64 KiB beside its body")

// boundedConn reads no more than the bytes left for one answer.
type boundedConn struct {
	net.Conn
	left int64
}

func (b *boundedConn) Read(buffer []byte) (int, error) {
	if b.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := b.Conn.Read(buffer[:min(int64(len(buffer)), b.left)])
	b.left -= int64(n)
	return n, err
}

// excess returns the failure of a message that says more of the server than is kept, or nil.
func (m *message) excess() *verdict.Error {
	switch {
	case len(m.StartMark) > maxStartMark:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "start-mark has %d bytes, allowed are %d", len(m.StartMark), maxStartMark)
	case len(m.Held) > maxHeld:
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "held has %d versions, allowed are %d", len(m.Held), maxHeld)
	}
	return nil
}
