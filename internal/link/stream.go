package link

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

var errFrameTooLong = errors.New("frame is longer than allowed")

// stream frames JSON-RPC messages as an unsigned varint length and that many bytes of JSON. It implements
// jsonrpc2.ObjectStream. What the other side announces reserves nothing: memory grows with the bytes that arrive.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// longest is the longest frame in bytes that is read.
	longest uint64
	// idle is the longest time between two frames that are read; zero for no bound.
	idle    time.Duration
	writing sync.Mutex
}

func newStream(conn net.Conn, longest uint64, idle time.Duration) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), longest: longest, idle: idle}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(message any) error {
	var deadline time.Time
	if s.idle > 0 {
		deadline = time.Now().Add(s.idle)
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
	if length > s.longest {
		return eris.Wrapf(errFrameTooLong, "%d bytes, allowed are %d", length, s.longest)
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

// WriteObject implements jsonrpc2.ObjectStream. A peer that does not read makes it fail after writeTimeout.
func (s *stream) WriteObject(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(body)), uint64(len(body)))
	frame = append(frame, body...)
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(frame)
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
