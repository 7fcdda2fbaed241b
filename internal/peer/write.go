package peer

// This file holds the writing side of a stream. Waking the goroutine of writeLoop for each message costs more than the
// write itself, so a sender writes at once unless another write is in progress.

import (
	"syscall"
	"time"
)

// burstWindow is the time after a message within which the next one is left to writeLoop: messages in such quick
// succession are cheaper in one write, even with the cost of waking writeLoop.
const burstWindow = 100 * time.Microsecond

// enqueueSource has the frames of a source written. No lock that the source's appendFrames takes may be held, since it
// may be called at once.
func (s *stream) enqueueSource(from frameSource) {
	s.mu.Lock()
	s.sources = append(s.sources, from)
	s.flushAndUnlock()
}

// flushAndUnlock writes what is queued, or leaves it to the write in progress or to writeLoop. s.mu must be held; it
// is released.
func (s *stream) flushAndUnlock() {
	if s.writing {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	withinBurst := now.Sub(s.lastFlush) < burstWindow
	s.lastFlush = now
	if s.rawConn == nil || s.closed || withinBurst {
		s.mu.Unlock()
		s.wakeWriter()
		return
	}
	s.writing = true
	queue, sources := s.takeQueue()
	s.mu.Unlock()
	s.fillWriteBuffer(queue, sources)
	written, err := s.writeNonBlocking(s.writeBuffer)
	if err != nil {
		_ = s.Close()
		return
	}
	s.unwritten = s.writeBuffer[written:]
	s.mu.Lock()
	// A sender writes only once: under load from other senders it would otherwise write their frames for ever.
	s.handedOver = len(s.unwritten) > 0 || len(s.queue) > 0 || len(s.sources) > 0
	s.writing = s.handedOver
	handed := s.handedOver
	s.mu.Unlock()
	if handed {
		s.wakeWriter()
	}
}

// writeNonBlocking writes as much as the kernel accepts without waiting.
func (s *stream) writeNonBlocking(buffer []byte) (written int, err error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	failure := s.rawConn.Write(func(descriptor uintptr) bool {
		for {
			written, err = syscall.Write(int(descriptor), buffer)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if err == syscall.EAGAIN {
		return 0, nil
	}
	if failure != nil {
		err = failure
	}
	return max(written, 0), err
}

// takeQueue empties the queue and returns what was in it. s.mu must be held.
func (s *stream) takeQueue() (queue []outboundFrame, sources []frameSource) {
	queue, sources = s.queue, s.sources
	s.queue, s.sources, s.queuedBytes = nil, nil, 0
	return queue, sources
}

// fillWriteBuffer fills the write buffer with the queued frames that are not withdrawn, and marks them as written, and
// with the frames of the sources.
func (s *stream) fillWriteBuffer(queue []outboundFrame, sources []frameSource) {
	if cap(s.writeBuffer) > 1<<20 {
		s.writeBuffer = nil
	}
	s.writeBuffer = s.writeBuffer[:0]
	for _, frame := range queue {
		if frame.state == nil || frame.state.value.CompareAndSwap(stateQueued, stateWritten) {
			s.writeBuffer = appendFrame(s.writeBuffer, frame.body)
		}
	}
	for _, from := range sources {
		s.writeBuffer = from.appendFrames(s.writeBuffer)
	}
}

// wakeWriter wakes writeLoop without waiting; one pending wake-up is enough.
func (s *stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes what the senders leave to it, until the stream is closed or a write fails.
func (s *stream) writeLoop() {
	defer s.Close()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		if s.writing && !s.handedOver {
			s.mu.Unlock()
			continue
		}
		s.writing, s.handedOver = true, false
		s.mu.Unlock()
		for more := true; more; {
			if !s.flushUnwritten() {
				return
			}
			s.mu.Lock()
			more = len(s.queue) > 0 || len(s.sources) > 0
			s.writing = more
			queue, sources := s.takeQueue()
			s.mu.Unlock()
			if more {
				s.fillWriteBuffer(queue, sources)
				s.unwritten = s.writeBuffer
			}
		}
	}
}

// flushUnwritten writes unwritten, waiting up to writeTimeout for the peer, and reports whether it succeeded.
func (s *stream) flushUnwritten() bool {
	if len(s.unwritten) == 0 {
		return true
	}
	if s.connection.SetWriteDeadline(time.Now().Add(s.writeTimeout)) != nil {
		return false
	}
	_, err := s.connection.Write(s.unwritten)
	s.unwritten = nil
	if err != nil {
		return false
	}
	// Once passed, the deadline would fail the next non-blocking write.
	return s.rawConn == nil || s.connection.SetWriteDeadline(time.Time{}) == nil
}
