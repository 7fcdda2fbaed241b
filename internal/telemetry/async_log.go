package telemetry

import (
	"flag"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written, about 1 MB.
	maxQueuedLines = 4096
	// reservedLines is the part of the queue that is reserved for lines about failures and changes of state.
	reservedLines = maxQueuedLines / 2
	// reportInterval is the minimum time between two log lines that report the number of dropped lines.
	reportInterval = time.Second
)

// Lines is an io.Writer that writes log lines asynchronously from a queue. Write never blocks: if the queue is full,
// the line is dropped and counted. It is safe for concurrent use.
type Lines struct {
	output           io.Writer
	queue            chan []byte
	dropped          atomic.Int64
	skippedSuccesses atomic.Int64
	done             sync.WaitGroup
}

// NewLines returns a writer that writes to the output from a goroutine, which runs until Close.
func NewLines(output io.Writer) *Lines {
	l := &Lines{output: output, queue: make(chan []byte, maxQueuedLines)}
	l.done.Go(l.run)
	return l
}

// Write implements io.Writer. It copies the line and reports success even if the line is dropped.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Roomy reports whether the queue has room for a line about a successful request. A line that has no room is counted as
// skipped.
func (l *Lines) Roomy() bool {
	if len(l.queue) < maxQueuedLines-reservedLines {
		return true
	}
	l.skippedSuccesses.Add(1)
	return false
}

// Dropped returns the number of lines that were dropped because the queue was full, and the number of lines about
// successful requests that were skipped.
func (l *Lines) Dropped() (dropped, skipped int64) {
	return l.dropped.Load(), l.skippedSuccesses.Load()
}

// run writes the queued lines and logs the number of dropped ones, until the queue is closed and empty.
func (l *Lines) run() {
	var reported int64
	var reportedAt time.Time
	for line := range l.queue {
		// An error is ignored: the only place to report it is the output that failed.
		_, _ = l.output.Write(line)
		dropped, skipped := l.Dropped()
		if total := dropped + skipped; total > reported && time.Since(reportedAt) > reportInterval {
			klog.InfoS("Log lines dropped", "dropped", dropped, "skipped-successes", skipped)
			reported, reportedAt = total, time.Now()
		}
	}
}

// Close writes the queued lines, for at most the given time. Write must not be called afterwards.
func (l *Lines) Close(limit time.Duration) {
	close(l.queue)
	done := make(chan struct{})
	go func() {
		l.done.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// SetUpLines directs the log to the writer instead of standard error. It must be called once, before the first line is
// logged.
func SetUpLines(output io.Writer) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return eris.Wrap(err, "set log flag "+name)
		}
	}
	klog.SetOutput(output)
	return nil
}
