package query

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestLateResults guards against results that are kept in memory after their query has ended, and against late results
// that are not counted.
func TestLateResults(t *testing.T) {
	is := is.New(t)
	var late atomic.Int64
	queue := newResultQueue(2, &late)
	queue.deliver(Result{})
	is.Equal(len(queue.drain(nil)), 1)
	queue.deliver(Result{})
	queue.close()
	is.Equal(late.Load(), int64(1)) // the result in the queue was not drained
	queue.deliver(Result{})
	queue.deliver(Result{})
	is.Equal(late.Load(), int64(3))
	is.Equal(len(queue.drain(nil)), 0)
}
