package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the tombstone of a deleted one.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_revision,omitempty"`
	LeaseID   uint64 `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// historyTime is history_s of the small deployments.
const historyTime = 20 * time.Second

type event struct {
	item
	at time.Time
}

// store is a sound metadata store as PROTOCOL.md describes it: linearizable, with leases, watches and a bounded history.
type store struct {
	mutex        sync.Mutex
	items        map[string]item
	events       []event
	historyStart uint64
	revision     uint64
	leases       map[uint64]*lease
	lastLease    uint64
	changed      chan struct{}
	address      string
	// lateWrite is asked for each transaction of an instance, by its key and lease. If it returns a delay above 0, the
	// transaction gets no answer and is executed after the delay, if its condition still holds: the disruption "answers of
	// the platform's store are lost", variant late.
	lateWrite func(key string, lease uint64) time.Duration
	// polled is when a watch of an instance was last answered, for those with an address of their own.
	polled map[string]time.Time
	mux    *http.ServeMux
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 100, historyStart: 100, leases: map[uint64]*lease{}, lastLease: 7000, changed: make(chan struct{}), polled: map[string]time.Time{}}
	listener := listen()
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.mux = mux
	go func() { fatal(http.Serve(listener, mux)) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// addressFor returns another address of the store, for one instance.
func (s *store) addressFor(name string) string {
	listener := listen()
	go func() {
		fatal(http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mux.ServeHTTP(w, r)
			if r.URL.Path == "/kv-watch" {
				s.mutex.Lock()
				s.polled[name] = time.Now()
				s.mutex.Unlock()
			}
		})))
	}()
	return listener.Addr().String()
}

func (s *store) lastPoll(name string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.polled[name]
}

func (s *store) expire(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	drop := 0
	for drop < len(s.events) && now.Sub(s.events[drop].at) > historyTime {
		s.historyStart = s.events[drop].Revision
		drop++
	}
	s.events = append([]event(nil), s.events[drop:]...)
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			record("store    lease %d ended, key %s removed", id, key)
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

func (s *store) write(it item) {
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, event{it, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or of a replica. The return is the confirmation.
func (s *store) put(key, value string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
	return time.Now()
}

func (s *store) has(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.items[key]
	return ok
}

func reply(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		if len(page) == 500 || size > 1_000_000 {
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mutex.Unlock()
	reply(w, 200, map[string]any{"items": page, "has_more": len(page) < len(keys), "at_revision": at})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !ok {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, it)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mutex.Lock()
		if after < s.historyStart {
			s.mutex.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		found, at := []item{}, s.revision
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if len(found) == 500 {
				at = found[len(found)-1].Revision
				break
			}
			found = append(found, e.item)
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(found) > 0 || done {
			reply(w, 200, map[string]any{"events": found, "at_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Puts    []item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	if s.lateWrite != nil && len(t.Puts) == 1 {
		if delay := s.lateWrite(t.Puts[0].Key, t.Puts[0].LeaseID); delay > 0 {
			record("store    write of %s under lease %d: no answer, done in %.1f s", t.Puts[0].Key, t.Puts[0].LeaseID, delay.Seconds())
			time.AfterFunc(delay, func() {
				status, _ := s.execute(&t)
				record("store    write of %s under lease %d done late: %d", t.Puts[0].Key, t.Puts[0].LeaseID, status)
			})
			// A connection on which a response is lost returns nothing further.
			if connection, _, err := w.(http.Hijacker).Hijack(); err == nil {
				time.AfterFunc(30*time.Second, func() { _ = connection.Close() })
			}
			return
		}
	}
	status, body := s.execute(&t)
	if len(t.Puts) == 1 {
		record("store    write of %s under lease %d: %d", t.Puts[0].Key, t.Puts[0].LeaseID, status)
	}
	reply(w, status, body)
}

func (s *store) execute(t *txn) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := []item{}
	conflict := false
	for _, row := range t.Expected {
		current = append(current, s.items[row.Key])
		conflict = conflict || s.items[row.Key].Revision != row.Revision
	}
	if conflict {
		return 412, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			return 404, map[string]any{}
		}
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, LeaseID: p.LeaseID})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mutex.Lock()
	s.lastLease++
	id := s.lastLease
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mutex.Unlock()
	record("store    lease %d granted for %.0f s", id, ttl.Seconds())
	reply(w, 200, map[string]any{"lease_id": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mutex.Unlock()
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	s.endLease(id)
	s.mutex.Unlock()
	reply(w, 200, map[string]any{})
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fatal(err)
	return listener
}
