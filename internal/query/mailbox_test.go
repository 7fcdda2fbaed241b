package query

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestLateResults guards against results that are held in memory after their query has ended, and against results that
// come late and are counted nowhere.
func TestLateResults(t *testing.T) {
	is := is.New(t)
	var late atomic.Int64
	mail := newMailbox(2, &late)
	mail.deliver(Result{})
	is.Equal(len(mail.take(nil)), 1)
	mail.deliver(Result{})
	mail.close()
	is.Equal(late.Load(), int64(1)) // nobody takes the one in the queue
	mail.deliver(Result{})
	mail.deliver(Result{})
	is.Equal(late.Load(), int64(3))
	is.Equal(len(mail.take(nil)), 0)
}
