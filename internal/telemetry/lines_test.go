package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reader is an output whose reader may stop reading.
type reader struct {
	mutex sync.Mutex
	text  bytes.Buffer
	stop  chan struct{}
}

func (r *reader) Write(line []byte) (int, error) {
	if r.stop != nil {
		<-r.stop
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(line)
}

// TestLinesNeverBlock guards against a request that waits for the reader of the log, against a log that grows without
// bound, and against lines of failures that are dropped before those of requests that went well.
func TestLinesNeverBlock(t *testing.T) {
	is := is.New(t)
	output := &reader{stop: make(chan struct{})}
	lines := NewLines(output)
	began := time.Now()
	for range 2 * mostLines {
		if lines.Roomy() {
			_, _ = lines.Write([]byte("well\n"))
		}
		_, _ = lines.Write([]byte("failed\n"))
	}
	is.True(time.Since(began) < time.Second)
	dropped, skipped := lines.Dropped()
	is.True(dropped > 0)
	is.True(skipped > mostLines)
	close(output.stop)
	lines.Close(5 * time.Second)
	text := output.text.String()
	is.True(strings.Count(text, "\n") <= mostLines+1)
	is.True(strings.Count(text, "failed") > mostLines/2)
}

// TestLinesAreWhole guards against a line that changes after it was written, because its buffer is used again.
func TestLinesAreWhole(t *testing.T) {
	is := is.New(t)
	output := &reader{}
	lines := NewLines(output)
	line := []byte("first\n")
	_, _ = lines.Write(line)
	copy(line, "other")
	lines.Close(time.Second)
	is.Equal(output.text.String(), "first\n")
}
