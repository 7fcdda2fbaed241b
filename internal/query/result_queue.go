package query

import (
	"sync"
	"sync/atomic"
)

// resultQueue collects the results of one query. It is safe for concurrent use and never blocks the goroutine that
// delivers. After close it only counts the results.
type resultQueue struct {
	mu     sync.Mutex
	queue  []Result
	closed bool
	// ready receives a value when results are waiting.
	ready chan struct{}
	// late counts the results that nobody drains because the query has ended.
	late *atomic.Int64
}

func newResultQueue(size int, late *atomic.Int64) *resultQueue {
	return &resultQueue{queue: make([]Result, 0, size), ready: make(chan struct{}, 1), late: late}
}

// deliver adds a result. It is passed to Sender.Send.
func (q *resultQueue) deliver(result Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.late.Add(1)
		return
	}
	q.queue = append(q.queue, result)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// drain returns the results since the last call and reuses the buffer of empty for those that follow.
func (q *resultQueue) drain(empty []Result) []Result {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queue
	q.queue = empty[:0]
	return taken
}

// close counts the waiting results as late and discards them.
func (q *resultQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.late.Add(int64(len(q.queue)))
	q.queue = nil
}
