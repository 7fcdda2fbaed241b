// Package store is a stand-in of the platform's key-value store, with its protocol and its faults.
//
// A Store owns its keys in memory, with every revision of each, and its faults, which can be changed
// while it runs. It is for tests and demonstrations only and never part of the system.
package store

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

const (
	// maxValueBytes is the largest value that the store takes.
	maxValueBytes = 1_000_000
	// maxWatchBytes bounds the answer to a watch; the rest follows in the next answer.
	maxWatchBytes = 4_000_000
	// maxWait bounds the time that a watch waits.
	maxWait = time.Minute
)

// Faults are the failures that the store shows. The zero value has none.
type Faults struct {
	// Down aborts every call without an answer, and watches that wait.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int64 `json:"slow-millis"`
	// SlowWriteMillis delays writes by that much more.
	SlowWriteMillis int64 `json:"slow-write-millis"`
	// LoseReplies is the number of next writes that take effect and get no answer.
	LoseReplies int `json:"lose-replies"`
	// DropWrites is the number of next writes that get no answer and do not take effect.
	DropWrites int `json:"drop-writes"`
	// Behind is the number of revisions by which reads and watches are behind.
	Behind uint64 `json:"behind"`
}

// Store is an http.Handler with the store's protocol under /v1 and a control endpoint under /control.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	history  map[string][]coordination.Entry
	faults   Faults
	calls    map[string]uint64
	changed  chan struct{}
	mux      *http.ServeMux
}

// New returns an empty store without faults.
func New() *Store {
	s := &Store{
		history: make(map[string][]coordination.Entry), calls: make(map[string]uint64), changed: make(chan struct{}),
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.counted("get", s.get))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.counted("put", s.put))
	s.mux.HandleFunc("GET /v1/watch", s.counted("watch", s.watch))
	s.mux.HandleFunc("POST /v1/lease", s.counted("lease", func(reply http.ResponseWriter, _ *http.Request) {
		http.Error(reply, "leases are not part of the stand-in", http.StatusNotImplemented)
	}))
	s.mux.HandleFunc("GET /control/faults", func(reply http.ResponseWriter, _ *http.Request) { write(reply, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("PUT /control/faults", s.putFaults)
	s.mux.HandleFunc("GET /control/calls", func(reply http.ResponseWriter, _ *http.Request) { write(reply, http.StatusOK, s.Calls()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(reply http.ResponseWriter, request *http.Request) {
	s.mux.ServeHTTP(reply, request)
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults; waiting watches see the change.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// Calls returns the calls by kind since the start; a waiting watch is one call.
func (s *Store) Calls() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key whatever its revision is, and returns the new revision; for set-up.
func (s *Store) Put(key, value string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.append(key, value)
}

// Entry returns the current value of a key, whatever the faults; its revision is 0 if there is none.
func (s *Store) Entry(key string) coordination.Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.at(key, s.revision)
}

func (s *Store) putFaults(reply http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(request.Body, 1<<16))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(reply, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	write(reply, http.StatusOK, faults)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) append(key, value string) uint64 {
	s.revision++
	s.history[key] = append(s.history[key], coordination.Entry{Key: key, Value: value, Revision: s.revision})
	s.wake()
	return s.revision
}

// at returns a key as it was at a revision of the store.
func (s *Store) at(key string, revision uint64) coordination.Entry {
	for _, entry := range slices.Backward(s.history[key]) {
		if entry.Revision <= revision {
			return entry
		}
	}
	return coordination.Entry{Key: key}
}

// visible is the revision from which reads are answered.
func (s *Store) visible() uint64 {
	return s.revision - min(s.revision, s.faults.Behind)
}

func (s *Store) counted(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(reply http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		s.calls[kind]++
		faults := s.faults
		s.mutex.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		ctx, delay := request.Context(), faults.SlowMillis
		if kind == "put" {
			// A slow write takes effect also when its caller has given up.
			ctx, delay = context.WithoutCancel(ctx), delay+faults.SlowWriteMillis
		}
		if delay > 0 && !pause(ctx, time.Duration(delay)*time.Millisecond) {
			return
		}
		next(reply, request)
	}
}

func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Store) get(reply http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	entry := s.at(request.PathValue("key"), s.visible())
	s.mutex.Unlock()
	if entry.Revision == 0 {
		http.Error(reply, "no such key", http.StatusNotFound)
		return
	}
	write(reply, http.StatusOK, entry)
}

func (s *Store) put(reply http.ResponseWriter, request *http.Request) {
	key := request.PathValue("key")
	base, err := strconv.ParseUint(request.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(reply, "revision is not a whole number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(request.Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes {
		http.Error(reply, "the value cannot be read or has more than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	revision, swapped, answered := s.compareAndSwap(key, string(value), base)
	switch {
	case !answered:
		panic(http.ErrAbortHandler)
	case !swapped:
		write(reply, http.StatusConflict, coordination.Written{Revision: revision})
	default:
		write(reply, http.StatusOK, coordination.Written{Revision: revision})
	}
}

func (s *Store) compareAndSwap(key, value string, base uint64) (revision uint64, swapped, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return 0, false, false
	}
	answered = true
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		answered = false
	}
	if current := s.at(key, s.revision); current.Revision != base {
		return current.Revision, false, answered
	}
	return s.append(key, value), true, answered
}

func (s *Store) watch(reply http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, waitErr := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	if err != nil || waitErr != nil || waitMillis < 0 {
		http.Error(reply, "after and wait-millis are not whole numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxWait))
	defer timer.Stop()
	for last := waitMillis == 0; ; {
		s.mutex.Lock()
		entries, changed, down := s.above(query.Get("prefix"), after), s.changed, s.faults.Down
		s.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(entries) > 0 || last {
			write(reply, http.StatusOK, coordination.Changes{Entries: entries})
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			last = true
		}
	}
}

// above returns the keys with the prefix that changed after a revision, in the order of revisions.
func (s *Store) above(prefix string, after uint64) []coordination.Entry {
	entries := []coordination.Entry{}
	for key := range s.history {
		if entry := s.at(key, s.visible()); strings.HasPrefix(key, prefix) && entry.Revision > after {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b coordination.Entry) int { return int(a.Revision) - int(b.Revision) })
	size := 0
	for i, entry := range entries {
		if size += len(entry.Value); size > maxWatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func write(reply http.ResponseWriter, status int, body any) {
	reply.Header().Set("Content-Type", "application/json")
	reply.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(reply).Encode(body)
}
