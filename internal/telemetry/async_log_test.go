package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockingWriter is an output whose writes block until unblock is closed. If unblock is nil, they do not block.
type blockingWriter struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	unblock chan struct{}
}

func (r *blockingWriter) Write(line []byte) (int, error) {
	if r.unblock != nil {
		<-r.unblock
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(line)
}

// TestWriteNeverBlocks guards against a request that blocks while the log's output is blocked, against a queue that
// grows without bound, and against lines about failures that are dropped before those about successful requests.
func TestWriteNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &blockingWriter{unblock: make(chan struct{})}
	lines := NewAsyncWriter(output)
	start := time.Now()
	for range 2 * maxQueuedLines {
		if lines.AllowSuccess() {
			_, _ = lines.Write([]byte("well\n"))
		}
		_, _ = lines.Write([]byte("failed\n"))
	}
	is.True(time.Since(start) < time.Second)
	dropped, skipped := lines.Dropped()
	is.True(dropped > 0)
	is.True(skipped > maxQueuedLines)
	close(output.unblock)
	lines.Close(5 * time.Second)
	text := output.text.String()
	is.True(strings.Count(text, "\n") <= maxQueuedLines+1)
	is.True(strings.Count(text, "failed") > maxQueuedLines/2)
}

// TestWriteCopiesLine guards against a queued line that changes because the caller reuses its buffer.
func TestWriteCopiesLine(t *testing.T) {
	is := is.New(t)
	output := &blockingWriter{}
	lines := NewAsyncWriter(output)
	line := []byte("first\n")
	_, _ = lines.Write(line)
	copy(line, "other")
	lines.Close(time.Second)
	is.Equal(output.text.String(), "first\n")
}
