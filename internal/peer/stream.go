package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A frame is a length of 4 bytes, most significant first, and that many bytes of JSON.
const frameHeader = 4

var (
	errBusy     = errors.New("the connection's write queue is full")
	errClosed   = errors.New("the connection is closed")
	errTooLarge = errors.New("the frame is larger than allowed")
)

// sendState is shared by a call and the writer. Whoever changes it first from queued decides whether
// the frame is written, so a withdrawn request is known not to have left.
type sendState struct{ state atomic.Int32 }

const (
	stateQueued int32 = iota
	stateWritten
	stateWithdrawn
)

// withdraw reports whether the frame has not been written and never will be.
func (s *sendState) withdraw() bool {
	return s.state.CompareAndSwap(stateQueued, stateWithdrawn) || s.state.Load() == stateWithdrawn
}

type outFrame struct {
	body []byte
	send *sendState
}

// source is asked by the writer for the frames that have come together since it was last asked.
type source interface {
	appendFrames(buffer []byte) []byte
}

// stream frames JSON-RPC messages on a connection. A sender never waits for the peer: it writes what the kernel takes
// at once, and one goroutine writes the rest and all that has come together meanwhile.
type stream struct {
	connection net.Conn
	reader     *bufio.Reader
	frame      []byte
	maxFrame   atomic.Int64
	maxQueue   int
	stall      time.Duration
	// direct takes a frame that needs no general decoding; it reports whether it did.
	direct func(frame []byte) (bool, error)

	// next is the frame for the following WriteObject; jsonrpc2 calls OnSend, which sets it, and
	// WriteObject under one lock.
	next outFrame

	mu      sync.Mutex
	queue   []outFrame
	queued  int
	sources []source
	closed  bool
	// writing is set while a sender or the writer writes; only that one changes buffer and rest. handed passes it
	// from a sender to the writer.
	writing, handed bool
	buffer, rest    []byte
	// sent is when something was last queued while nobody wrote.
	sent time.Time
	// raw is the connection for writes that do not wait; nil if it has none, as with TLS.
	raw  syscall.RawConn
	wake chan struct{}
	done chan struct{}
}

func newStream(connection net.Conn, limits Limits) *stream {
	s := &stream{
		connection: connection, reader: bufio.NewReaderSize(connection, 32<<10),
		maxQueue: limits.QueueBytes, stall: limits.SilentAfter,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	if system, ok := connection.(syscall.Conn); ok {
		s.raw, _ = system.SyscallConn()
	}
	// Before the handshake an unauthenticated client can make this process hold only this much.
	s.maxFrame.Store(4 << 10)
	go s.write()
	return s
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(message any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		taken, err := s.direct(frame)
		if err != nil {
			return err
		}
		if !taken {
			return json.Unmarshal(frame, message)
		}
	}
}

func (s *stream) readFrame() ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > s.maxFrame.Load() {
		return nil, fmt.Errorf("frame of %d bytes, allowed are 1 to %d", length, s.maxFrame.Load())
	}
	// The buffer is used for all frames, since decoding copies. A large one is given up.
	if int64(cap(s.frame)) < length || cap(s.frame) > 1<<20 {
		s.frame = make([]byte, length)
	}
	s.frame = s.frame[:length]
	_, err := io.ReadFull(s.reader, s.frame)
	return s.frame, err
}

// WriteObject implements jsonrpc2.ObjectStream. The object is already encoded in next.
func (s *stream) WriteObject(any) error {
	return s.enqueue(s.next)
}

// encode writes JSON without escaping, so that the caller's query and the rows stay as they are.
func encode(value any) (json.RawMessage, error) {
	if value == nil {
		return nil, nil
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte{'\n'}), nil
}

// encodeRequest returns a request, or a notification if the id is 0.
func encodeRequest(method string, id uint64, params json.RawMessage) []byte {
	body := append(make([]byte, 0, len(method)+len(params)+72), requestPrefix...)
	body = append(append(body, method...), '"')
	if id != 0 {
		body = strconv.AppendUint(append(body, idField...), id, 10)
	}
	if len(params) > 0 {
		body = append(append(body, paramsField...), params...)
	}
	return append(body, '}')
}

// encodeReply returns a response; the field is result or error.
func encodeReply(id uint64, field string, value json.RawMessage) []byte {
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"%s":%s}`, id, field, value)
}

func (s *stream) enqueue(frame outFrame) error {
	if int64(len(frame.body)) > s.maxFrame.Load() {
		return fmt.Errorf("%w: %d bytes, allowed are %d", errTooLarge, len(frame.body), s.maxFrame.Load())
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	if s.queued+len(frame.body) > s.maxQueue {
		s.mu.Unlock()
		return errBusy
	}
	s.queue = append(s.queue, frame)
	s.queued += len(frame.body)
	s.send()
	return nil
}

func appendFrame(buffer, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	return append(buffer, body...)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return nil
	}
	close(s.done)
	return s.connection.Close()
}
