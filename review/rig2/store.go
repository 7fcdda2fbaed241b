package rig2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItems is the largest number of items or events in one answer of the store.
const maxItems = 500

// item is one key of the store.
type item struct {
	Key             string `json:"key"`
	Value           string `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created_revision,omitempty"`
	LeaseID         uint64 `json:"lease_id"`
	Tombstone       bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the platform's metadata store. It answers at once, loses nothing and keeps its whole history.
type Store struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	lastID   uint64
	handler  http.Handler
	door     *door
}

// door is an address at which the store answers.
type door struct {
	listener net.Listener
	server   *http.Server
}

// NewStore starts a store at a free port of the address.
func NewStore(ip string) (*Store, error) {
	s := &Store{changed: make(chan struct{}), revision: 5, items: make(map[string]item), leases: make(map[uint64]*lease)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.answerKey)
	mux.HandleFunc("GET /kv-range", s.answerRange)
	mux.HandleFunc("GET /kv-watch", s.answerWatch)
	mux.HandleFunc("POST /kv-txn", s.answerTransaction)
	mux.HandleFunc("POST /kv-lease", s.answerLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.answerKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.answerLeaseEnd)
	s.handler = mux
	if _, err := s.Move(ip); err != nil {
		return nil, err
	}
	go s.expireLeases()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.door.listener.Addr().String() }

// Move opens the store at another free port of the address, which is its address from now on. It answers at the former
// one as well until closeFormer is called.
func (s *Store) Move(ip string) (closeFormer func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	former := s.door
	s.door = &door{listener, &http.Server{Handler: s.handler}}
	server := s.door.server
	go func() { _ = server.Serve(listener) }()
	return func() {
		if former != nil {
			_ = former.server.Close()
		}
	}, nil
}

// Put writes a key as the operator or a replica does, and returns the time of the store's confirmation.
func (s *Store) Put(key, value string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
	return time.Now()
}

// Delete removes a key.
func (s *Store) Delete(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.items[key]; found {
		s.write(item{Key: key, Tombstone: true})
	}
	return time.Now()
}

// Count returns the number of keys with the prefix.
func (s *Store) Count(prefix string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// write applies one change; the caller holds the mutex.
func (s *Store) write(it item) {
	s.revision++
	it.Revision = s.revision
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		it.CreatedRevision = it.Revision
		if before, found := s.items[it.Key]; found {
			it.CreatedRevision = before.CreatedRevision
		}
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mutex.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// endLease ends a lease and removes its keys; the caller holds the mutex.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) answerKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *Store) answerRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxItems
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), maxItems)], "has_more": more, "at_revision": at})
}

func (s *Store) answerWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mutex.Lock()
		at, changed, found := s.revision, s.changed, []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("path_prefix")) {
				if len(found) == maxItems {
					at = found[maxItems-1].Revision
					break
				}
				found = append(found, event)
			}
		}
		s.mutex.Unlock()
		if done || len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "at_revision": at})
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

type transaction struct {
	ExpectedRevision []item   `json:"expected_revision"`
	Puts             []item   `json:"puts"`
	Deletes          []string `json:"deletes"`
}

func (s *Store) answerTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.ExpectedRevision)+len(t.Puts)+len(t.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, failed := []item{}, false
	for _, expected := range t.ExpectedRevision {
		it, found := s.items[expected.Key]
		if found {
			current = append(current, it)
		}
		failed = failed || it.Revision != expected.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range t.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if put.LeaseID != 0 && s.leases[put.LeaseID] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, put := range t.Puts {
		s.write(item{Key: put.Key, Value: put.Value, LeaseID: put.LeaseID})
	}
	for _, key := range t.Deletes {
		if _, found := s.items[key]; found {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) answerLease(w http.ResponseWriter, r *http.Request) {
	var wanted struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&wanted) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ttl := min(max(time.Duration(wanted.TTL)*time.Millisecond, time.Second), 10*time.Minute)
	s.lastID++
	s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease_id": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) answerKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) answerLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
