package peer

// The writing side of a stream. Waking the writer for each message costs more than the write itself, so a sender
// writes at once when nobody else does.

import (
	"syscall"
	"time"
)

// burst is the time after a message in which the next one goes to the writer: messages that come so close together
// are cheaper in one write, also with the writer's wake-up.
const burst = 100 * time.Microsecond

// enqueueSource has the frames of a source written. The caller holds no lock that the source needs.
func (s *stream) enqueueSource(from source) {
	s.mu.Lock()
	s.sources = append(s.sources, from)
	s.send()
}

// send writes what is queued, or leaves it to whoever writes now. The caller holds the lock, which send releases.
func (s *stream) send() {
	if s.writing {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	together := now.Sub(s.sent) < burst
	s.sent = now
	if s.raw == nil || s.closed || together {
		s.mu.Unlock()
		s.signal()
		return
	}
	s.writing = true
	queue, sources := s.take()
	s.mu.Unlock()
	s.collect(queue, sources)
	written, err := s.writeNow(s.buffer)
	if err != nil {
		_ = s.Close()
		return
	}
	s.rest = s.buffer[written:]
	s.mu.Lock()
	// One round is enough for a sender: with many of them it would write for the others for ever.
	s.handed = len(s.rest) > 0 || len(s.queue) > 0 || len(s.sources) > 0
	s.writing = s.handed
	handed := s.handed
	s.mu.Unlock()
	if handed {
		s.signal()
	}
}

// writeNow writes as much as the kernel takes without waiting.
func (s *stream) writeNow(buffer []byte) (written int, err error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	failure := s.raw.Write(func(descriptor uintptr) bool {
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

// take removes what is queued. The caller holds the lock.
func (s *stream) take() (queue []outFrame, sources []source) {
	queue, sources = s.queue, s.sources
	s.queue, s.sources, s.queued = nil, nil, 0
	return queue, sources
}

// collect fills the buffer with the frames that were not withdrawn.
func (s *stream) collect(queue []outFrame, sources []source) {
	if cap(s.buffer) > 1<<20 {
		s.buffer = nil
	}
	s.buffer = s.buffer[:0]
	for _, frame := range queue {
		if frame.send == nil || frame.send.state.CompareAndSwap(stateQueued, stateWritten) {
			s.buffer = appendFrame(s.buffer, frame.body)
		}
	}
	for _, from := range sources {
		s.buffer = from.appendFrames(s.buffer)
	}
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write is the writer. It takes over from a sender what the kernel did not take.
func (s *stream) write() {
	defer s.Close()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		if s.writing && !s.handed {
			s.mu.Unlock()
			continue
		}
		s.writing, s.handed = true, false
		s.mu.Unlock()
		for more := true; more; {
			if !s.writeRest() {
				return
			}
			s.mu.Lock()
			more = len(s.queue) > 0 || len(s.sources) > 0
			s.writing = more
			queue, sources := s.take()
			s.mu.Unlock()
			if more {
				s.collect(queue, sources)
				s.rest = s.buffer
			}
		}
	}
}

// writeRest writes rest and waits for the peer as long as stall.
func (s *stream) writeRest() bool {
	if len(s.rest) == 0 {
		return true
	}
	if s.connection.SetWriteDeadline(time.Now().Add(s.stall)) != nil {
		return false
	}
	_, err := s.connection.Write(s.rest)
	s.rest = nil
	if err != nil {
		return false
	}
	// A deadline that has passed would fail the next write that does not wait.
	return s.raw == nil || s.connection.SetWriteDeadline(time.Time{}) == nil
}
