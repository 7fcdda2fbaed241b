package peerrpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var errFrameTooLong = errors.New("frame exceeds the size limit")

// stream encodes each JSON-RPC message as a frame: its length as an unsigned varint, followed by that many bytes of
// JSON. It implements jsonrpc2.ObjectStream. The announced length of a frame does not allocate memory; the buffer grows
// with the bytes that arrive.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// maxFrameBytes is the maximum length of a frame that is read.
	maxFrameBytes uint64
	// idleTimeout is the maximum time to wait for the next frame; zero means no limit.
	idleTimeout time.Duration
	// writeMutex keeps the frames of concurrent writers apart.
	writeMutex sync.Mutex
}

func newStream(conn net.Conn, maxFrameBytes uint64, idle time.Duration) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), maxFrameBytes: maxFrameBytes, idleTimeout: idle}
}

// ReadObject implements jsonrpc2.ObjectStream. It fails if no frame begins within the idle timeout, or if a frame is
// not complete within frameTimeout or exceeds the size limit.
func (s *stream) ReadObject(message any) error {
	var deadline time.Time
	if s.idleTimeout > 0 {
		deadline = time.Now().Add(s.idleTimeout)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if length > s.maxFrameBytes {
		return eris.Wrapf(errFrameTooLong, "frame of %d bytes, at most %d are allowed", length, s.maxFrameBytes)
	}
	frame, err := io.ReadAll(io.LimitReader(s.reader, int64(length)))
	if err != nil {
		return err
	}
	if uint64(len(frame)) < length {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(frame, message)
}

// WriteObject implements jsonrpc2.ObjectStream. It fails after writeTimeout if the peer does not read.
func (s *stream) WriteObject(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(body)), uint64(len(body)))
	frame = append(frame, body...)
	s.writeMutex.Lock()
	defer s.writeMutex.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(frame)
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
