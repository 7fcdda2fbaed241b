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
	// mostLines bounds the lines that wait for the reader of the output, about 1 MB.
	mostLines = 4096
	// reserve is the part of the queue that only lines of failures and changes of state may use.
	reserve = mostLines / 2
	// reportInterval is how often the number of dropped lines is reported.
	reportInterval = time.Second
)

// Lines writes log lines on a goroutine of its own. Write never blocks: a line that finds the queue full is dropped and
// counted. It is safe for concurrent use.
type Lines struct {
	output  io.Writer
	queue   chan []byte
	dropped atomic.Int64
	skipped atomic.Int64
	ended   sync.WaitGroup
}

// NewLines returns a queue before the output.
func NewLines(output io.Writer) *Lines {
	l := &Lines{output: output, queue: make(chan []byte, mostLines)}
	l.ended.Go(l.run)
	return l
}

// Write implements io.Writer.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Roomy tells whether a line about a request that went well may be written, and counts those that may not.
func (l *Lines) Roomy() bool {
	if len(l.queue) < mostLines-reserve {
		return true
	}
	l.skipped.Add(1)
	return false
}

// Dropped returns how many lines found the queue full, and how many of requests that went well were left out before.
func (l *Lines) Dropped() (dropped, skipped int64) { return l.dropped.Load(), l.skipped.Load() }

func (l *Lines) run() {
	var reported int64
	var at time.Time
	for line := range l.queue {
		// An error has no other place to go to than the output that failed.
		_, _ = l.output.Write(line)
		dropped, skipped := l.Dropped()
		if total := dropped + skipped; total > reported && time.Since(at) > reportInterval {
			klog.InfoS("Log lines dropped", "dropped", dropped, "skipped-successes", skipped)
			reported, at = total, time.Now()
		}
	}
}

// Close writes what is queued, for at most the given time. No line may be written afterwards.
func (l *Lines) Close(limit time.Duration) {
	close(l.queue)
	done := make(chan struct{})
	go func() {
		l.ended.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// SetUpLines sends the log to the writer in place of standard error. It is called once, before the first line.
func SetUpLines(output io.Writer) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return eris.Wrap(err, "log flags")
		}
	}
	klog.SetOutput(output)
	return nil
}
