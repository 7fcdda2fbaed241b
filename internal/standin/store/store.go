// Package store is a stand-in of the platform's key-value store, with its protocol and injected faults.
//
// A Store keeps every revision of its keys in memory; its faults can be changed while it runs. It is for tests and the
// demo only and never part of the product.
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
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1_000_000
	// maxWatchBytes is the maximum total size of the values in an answer to a watch, unless the first alone is larger.
	// The next answer has the rest.
	maxWatchBytes = 4_000_000
	// maxWait is the maximum time that a watch waits for a change.
	maxWait = time.Minute
)

// Faults are the faults injected into the store. The zero value has none.
type Faults struct {
	// Down closes the connection of every call, also of waiting watches, without an answer.
	Down bool `json:"down"`
	// SlowMillis is a delay before the execution of every call.
	SlowMillis int64 `json:"slow-millis"`
	// SlowWriteMillis is an additional delay of writes.
	SlowWriteMillis int64 `json:"slow-write-millis"`
	// LoseResponses is the number of writes, from the next on, that are executed but get no response. A write that
	// conflicts counts, too.
	LoseResponses int `json:"lose-replies"`
	// DropWrites is the number of writes, from the next on, that are not executed and get no answer.
	DropWrites int `json:"drop-writes"`
	// Behind is the number of latest revisions that reads and watches do not see.
	Behind uint64 `json:"behind"`
}

// Store is an http.Handler with the protocol of the store under /v1 and a control endpoint under /control. It is safe
// for concurrent use.
type Store struct {
	mutex sync.Mutex // guards the fields below, except mux
	// revision is the number of writes so far.
	revision uint64
	// history holds all revisions of each key, oldest first.
	history map[string][]coordination.KeyValue
	faults  Faults
	calls   map[string]uint64
	// changed is closed and replaced after every change of keys or faults.
	changed chan struct{}
	mux     *http.ServeMux
}

// New returns an empty store without faults.
func New() *Store {
	s := &Store{
		history: make(map[string][]coordination.KeyValue), calls: make(map[string]uint64), changed: make(chan struct{}),
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.withFaults("get", s.get))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.withFaults("put", s.put))
	s.mux.HandleFunc("GET /v1/watch", s.withFaults("watch", s.watch))
	s.mux.HandleFunc("POST /v1/lease", s.withFaults("lease", func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "leases are not supported by the stand-in", http.StatusNotImplemented)
	}))
	s.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("PUT /control/faults", s.putFaults)
	s.mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Calls()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults. Waiting watches are woken and apply the new faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// Calls returns the numbers of calls since the start by kind: "get", "put", "watch" and "lease".
func (s *Store) Calls() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key without a check of its revision and without faults, and returns the new revision. It is for the
// set-up of tests.
func (s *Store) Put(key, value string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appendRevision(key, value)
}

// Entry returns the current value of a key without faults. The revision is 0 if the key does not exist.
func (s *Store) Entry(key string) coordination.KeyValue {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entryAt(key, s.revision)
}

// putFaults handles a request that replaces the faults. Fields that it leaves out are reset.
func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// notifyWatches wakes the waiting watches. The mutex must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendRevision adds a new revision of a key and wakes the waiting watches. The mutex must be held.
func (s *Store) appendRevision(key, value string) uint64 {
	s.revision++
	s.history[key] = append(s.history[key], coordination.KeyValue{Key: key, Value: value, Revision: s.revision})
	s.notifyWatches()
	return s.revision
}

// entryAt returns the entry of a key as of a revision of the store; its revision is 0 if the key did not exist then.
// The mutex must be held.
func (s *Store) entryAt(key string, revision uint64) coordination.KeyValue {
	for _, entry := range slices.Backward(s.history[key]) {
		if entry.Revision <= revision {
			return entry
		}
	}
	return coordination.KeyValue{Key: key}
}

// visible returns the latest revision that reads and watches see. The mutex must be held.
func (s *Store) visible() uint64 {
	return s.revision - min(s.revision, s.faults.Behind)
}

// withFaults returns a handler that counts the calls of a kind and applies the faults Down and the delays before next.
func (s *Store) withFaults(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls[kind]++
		faults := s.faults
		s.mutex.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		ctx, delay := r.Context(), faults.SlowMillis
		if kind == "put" {
			// A delayed write takes effect even if the client has disconnected by then.
			ctx, delay = context.WithoutCancel(ctx), delay+faults.SlowWriteMillis
		}
		if delay > 0 && !sleep(ctx, time.Duration(delay)*time.Millisecond) {
			return
		}
		next(w, r)
	}
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// get handles a read of one key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	entry := s.entryAt(r.PathValue("key"), s.visible())
	s.mutex.Unlock()
	if entry.Revision == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

// put handles a write, which takes effect only if the revision in the request is the current revision of the key.
func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	expected, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a whole number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes {
		http.Error(w, "the value cannot be read or has more than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	revision, swapped, answered := s.compareAndSwap(key, string(value), expected)
	switch {
	case !answered:
		panic(http.ErrAbortHandler)
	case !swapped:
		writeJSON(w, http.StatusConflict, coordination.WriteResponse{Revision: revision})
	default:
		writeJSON(w, http.StatusOK, coordination.WriteResponse{Revision: revision})
	}
}

// compareAndSwap writes a key if expected is its current revision, and returns the revision of the key after the call.
// The faults LoseResponses and DropWrites make answered false: the call then gets no response.
func (s *Store) compareAndSwap(key, value string, expected uint64) (revision uint64, swapped, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return 0, false, false
	}
	answered = true
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		answered = false
	}
	if current := s.entryAt(key, s.revision); current.Revision != expected {
		return current.Revision, false, answered
	}
	return s.appendRevision(key, value), true, answered
}

// watch handles a long poll: it answers as soon as keys with the prefix have changed after a revision, or with an empty
// list when the time is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, waitErr := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	if err != nil || waitErr != nil || waitMillis < 0 {
		http.Error(w, "after and wait-millis are not whole numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxWait))
	defer timer.Stop()
	for timedOut := waitMillis == 0; ; {
		s.mutex.Lock()
		entries, changed, down := s.changedAfter(query.Get("prefix"), after), s.changed, s.faults.Down
		s.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(entries) > 0 || timedOut {
			writeJSON(w, http.StatusOK, coordination.WatchResponse{Entries: entries})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
	}
}

// changedAfter returns the latest visible entries of the keys with the prefix that changed after a revision, in order
// of revision and up to maxWatchBytes. The mutex must be held.
func (s *Store) changedAfter(prefix string, after uint64) []coordination.KeyValue {
	entries := []coordination.KeyValue{}
	for key := range s.history {
		if entry := s.entryAt(key, s.visible()); strings.HasPrefix(key, prefix) && entry.Revision > after {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b coordination.KeyValue) int { return int(a.Revision) - int(b.Revision) })
	size := 0
	for i, entry := range entries {
		if size += len(entry.Value); size > maxWatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
