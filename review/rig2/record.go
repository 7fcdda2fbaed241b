// Package rig2 holds the stand-ins of the second review: the platform's store, replicas, requesters, and the entry
// instances as separate processes on loopback addresses.
package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what was sent, answered and run. It is written to a file and kept in memory. It is safe for concurrent use.
type Record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	runs    map[string][]Run
	// latest has the time of the last run at each service.
	latest map[string]time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file, runs: make(map[string][]Run), latest: make(map[string]time.Time)}, nil
}

// Line writes a line with the seconds since the start.
func (r *Record) Line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(format, arguments...)
}

func (r *Record) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Seconds returns a time as the seconds since the start.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }

func (r *Record) addRun(run Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[run.ID] = append(r.runs[run.ID], run)
	r.latest[run.Service] = run.At
	r.line("run %s at %s of %s", run.ID, run.Replica, run.Service)
}

// Runs returns the runs of a request.
func (r *Record) Runs(id string) []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Run(nil), r.runs[id]...)
}

// HasRunSince reports whether a request began to run at the service since the given time.
func (r *Record) HasRunSince(service string, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, found := r.latest[service]
	return found && at.After(since)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
