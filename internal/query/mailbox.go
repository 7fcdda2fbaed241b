package query

import (
	"sync"
	"sync/atomic"
)

// mailbox takes a query's results from any goroutine without blocking the sender. After it is closed
// it only counts them.
type mailbox struct {
	mu     sync.Mutex
	queue  []Result
	closed bool
	ready  chan struct{}
	late   *atomic.Int64
}

func newMailbox(size int, late *atomic.Int64) *mailbox {
	return &mailbox{queue: make([]Result, 0, size), ready: make(chan struct{}, 1), late: late}
}

func (m *mailbox) deliver(result Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		m.late.Add(1)
		return
	}
	m.queue = append(m.queue, result)
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns the results since the last call and gives the mailbox an empty slice to fill.
func (m *mailbox) take(empty []Result) []Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.queue
	m.queue = empty[:0]
	return taken
}

func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.late.Add(int64(len(m.queue)))
	m.queue = nil
}
