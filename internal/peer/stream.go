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

// frameHeaderBytes is the size of the length, in big-endian order, that precedes the JSON of each frame.
const frameHeaderBytes = 4

var (
	errQueueFull     = errors.New("the connection's write queue is full")
	errClosed        = errors.New("the connection is closed")
	errFrameTooLarge = errors.New("the frame is larger than allowed")
)

// frameState records whether a queued frame is written or withdrawn. It is shared by the call and the goroutine that
// writes the frame: whichever changes it first from stateQueued decides, so a withdrawn request has certainly not
// been sent.
type frameState struct{ value atomic.Int32 }

const (
	stateQueued int32 = iota
	// stateWritten is set when the frame is copied to the write buffer; from then on it may reach the peer.
	stateWritten
	stateWithdrawn
)

// withdraw withdraws the frame unless it is already written, and reports whether it is withdrawn.
func (s *frameState) withdraw() bool {
	return s.value.CompareAndSwap(stateQueued, stateWithdrawn) || s.value.Load() == stateWithdrawn
}

// outboundFrame is the body of a frame to be written. A nil state stands for a frame that is never withdrawn.
type outboundFrame struct {
	body  []byte
	state *frameState
}

// frameSource produces frames at the time of writing, so that everything that has become ready since the last write is
// batched.
type frameSource interface {
	// appendFrames appends the frames, with their headers, to the buffer and returns it.
	appendFrames(buffer []byte) []byte
}

// stream reads and writes JSON-RPC messages as frames on a connection. A sender never waits for the peer: it writes as
// much as the kernel accepts at once, and the goroutine of writeLoop writes the rest and all that was queued in the
// meantime.
type stream struct {
	connection net.Conn
	reader     *bufio.Reader
	readBuffer []byte
	// maxFrameBytes limits the frames in both directions. It is raised at the end of the handshake.
	maxFrameBytes atomic.Int64
	maxQueueBytes int
	writeTimeout  time.Duration
	// fastPath handles a frame without the decoder of jsonrpc2 and reports whether it did.
	fastPath func(frame []byte) (bool, error)

	// nextFrame is the frame that the following WriteObject queues. The OnSend function sets it; jsonrpc2 holds one
	// lock while it calls OnSend and WriteObject.
	nextFrame outboundFrame

	mu          sync.Mutex
	queue       []outboundFrame
	queuedBytes int
	sources     []frameSource
	closed      bool
	// writing is set while a sender or writeLoop writes; only that one changes writeBuffer and unwritten. handedOver
	// passes this right from a sender to writeLoop.
	writing, handedOver    bool
	writeBuffer, unwritten []byte
	// lastFlush is when something was last queued while no write was in progress.
	lastFlush time.Time
	// rawConn serves non-blocking writes; nil if the connection does not offer it, as with TLS.
	rawConn syscall.RawConn
	wake    chan struct{}
	done    chan struct{}
}

func newStream(connection net.Conn, limits Limits) *stream {
	s := &stream{
		connection: connection, reader: bufio.NewReaderSize(connection, 32<<10),
		maxQueueBytes: limits.MaxQueueBytes, writeTimeout: limits.SilenceTimeout,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	if system, ok := connection.(syscall.Conn); ok {
		s.rawConn, _ = system.SyscallConn()
	}
	// Until the handshake is complete, an unauthenticated client can make this process allocate no more than 4 KiB for
	// a frame.
	s.maxFrameBytes.Store(4 << 10)
	go s.writeLoop()
	return s
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(message any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		taken, err := s.fastPath(frame)
		if err != nil {
			return err
		}
		if !taken {
			return json.Unmarshal(frame, message)
		}
	}
}

func (s *stream) readFrame() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > s.maxFrameBytes.Load() {
		return nil, fmt.Errorf("frame of %d bytes, must have 1 to %d", length, s.maxFrameBytes.Load())
	}
	// The buffer is reused for all frames, since decoding copies. One above 1 MiB is replaced by one of the frame's
	// size.
	if int64(cap(s.readBuffer)) < length || cap(s.readBuffer) > 1<<20 {
		s.readBuffer = make([]byte, length)
	}
	s.readBuffer = s.readBuffer[:length]
	_, err := io.ReadFull(s.reader, s.readBuffer)
	return s.readBuffer, err
}

// WriteObject implements jsonrpc2.ObjectStream. It ignores the object, which is already encoded in nextFrame.
func (s *stream) WriteObject(any) error {
	return s.enqueue(s.nextFrame)
}

// encodeJSON encodes without HTML escaping, so that the caller's query and the rows stay unchanged. A nil value gives
// nil.
func encodeJSON(value any) (json.RawMessage, error) {
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

// encodeRequest returns a request, or a notification if the id is 0. parseInboundMessage accepts exactly this form.
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

// encodeResponse returns a response; the field is "result" or "error".
func encodeResponse(id uint64, field string, value json.RawMessage) []byte {
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"%s":%s}`, id, field, value)
}

// enqueue queues a frame and writes as much as it can without waiting. If it fails, the frame is never written.
func (s *stream) enqueue(frame outboundFrame) error {
	if int64(len(frame.body)) > s.maxFrameBytes.Load() {
		return fmt.Errorf("%w: %d bytes, limit %d", errFrameTooLarge, len(frame.body), s.maxFrameBytes.Load())
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	if s.queuedBytes+len(frame.body) > s.maxQueueBytes {
		s.mu.Unlock()
		return errQueueFull
	}
	s.queue = append(s.queue, frame)
	s.queuedBytes += len(frame.body)
	s.flushAndUnlock()
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
