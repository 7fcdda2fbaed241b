package rig2

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Heartbeat is the time between two writes of a replica's entry.
const Heartbeat = 1200 * time.Millisecond

// silenceUntilGone is the silence after which the store has no entry of a replica any more.
const silenceUntilGone = 3 * Heartbeat

// Run is one request that a replica began to work on.
type Run struct {
	ID, Service, Replica string
	At                   time.Time
}

// Service describes the replicas of a service.
type Service struct {
	Name           string
	Slots, Queue   int
	MinWork, Extra time.Duration
}

// replicaCount gives each lifetime of a replica its id.
var replicaCount atomic.Int64

// Replica is one lifetime of a replica. It follows the pages: it runs what names it, rejects what it has no room for, and
// drops a request whose connection closes.
type Replica struct {
	ID, Zone, Address string
	service           Service
	store             *Store
	record            *Record
	server            *http.Server
	room, slots       chan struct{}
	born              time.Time
	sequence          int
	receipts          atomic.Int64
	mutex             sync.Mutex
	draining          bool
	ended             chan struct{}
	once              sync.Once
}

// StartReplica starts a replica at a free port of the address and registers it.
func StartReplica(ip, zone string, service Service, store *Store, record *Record) (*Replica, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: fmt.Sprintf("i-%06x", 0x7f3a00+replicaCount.Add(1)), Zone: zone, Address: listener.Addr().String(), service: service, store: store, record: record,
		room: make(chan struct{}, service.Slots+service.Queue), slots: make(chan struct{}, service.Slots), born: time.Now(), ended: make(chan struct{}),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go r.run()
	record.Line("replica %s of %s starts in %s at %s", r.ID, service.Name, zone, r.Address)
	return r, nil
}

// run writes the entry at each heartbeat until the replica ends. The store drops the entry of one that fell silent.
func (r *Replica) run() {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
			r.beat()
			last = time.Now()
		case <-r.ended:
			time.Sleep(time.Until(last.Add(silenceUntilGone)))
			r.store.Delete("servers/" + r.ID)
			return
		}
	}
}

func (r *Replica) beat() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.store.Put("servers/"+r.ID, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","max_concurrent":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		r.service.Name, r.Address, r.Zone, r.service.Slots, state, r.sequence, r.born.UnixMilli()))
}

// Drain reports that the replica is leaving and returns when the store has accepted that.
func (r *Replica) Drain() time.Time {
	r.mutex.Lock()
	r.draining = true
	r.mutex.Unlock()
	r.beat()
	r.record.Line("replica %s of %s drains", r.ID, r.service.Name)
	return time.Now()
}

// Crash ends the replica: its port has no listener and its connections are closed.
func (r *Replica) Crash() {
	r.once.Do(func() {
		_ = r.server.Close()
		close(r.ended)
		r.record.Line("replica %s of %s ends", r.ID, r.service.Name)
	})
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		w.Header().Set("X-Medlarlatch-Instance-Id", r.ID)
		return
	}
	id := request.Header.Get("X-Medlarlatch-Request-Id")
	if wanted := request.Header.Get("X-Medlarlatch-Target-Instance"); wanted != "" && wanted != r.ID {
		w.Header().Set("X-Medlarlatch-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Medlarlatch-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Medlarlatch-Request-Id", id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	select {
	case r.room <- struct{}{}:
		defer func() { <-r.room }()
	default:
		w.Header().Set("X-Medlarlatch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-request.Context().Done():
		return
	case <-r.ended:
		return
	}
	r.record.addRun(Run{ID: id, Service: r.service.Name, Replica: r.ID, At: time.Now()})
	work := r.service.MinWork + time.Duration(rand.Int64N(int64(r.service.Extra)+1))
	if !sleep(request.Context(), r.ended, work) {
		return
	}
	w.Header().Set("X-Medlarlatch-Server-Seal", fmt.Sprintf("%s.%d", r.ID, r.receipts.Add(1)))
	_, _ = fmt.Fprintf(w, "settled by %s of %s\n", r.ID, r.service.Name)
}

// sleep waits and reports whether nothing ended the wait.
func sleep(ctx context.Context, ended <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-ended:
	}
	return false
}
