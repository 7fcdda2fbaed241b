package standin

// Host, which runs many servers in one process with a control endpoint, and the ledger of their executions.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts the executions of non-idempotent queries by application and key, and those of tagged idempotent queries
// by tag and shard. It is safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	effects map[string]int
	tagged  tagLedger
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{effects: make(map[string]int)} }

// record counts an execution of a non-idempotent query. On a nil ledger it does nothing.
func (l *Ledger) record(application, key string) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.effects[application+" "+key]++
}

// EffectCount returns the number of executions of the non-idempotent query with the key.
func (l *Ledger) EffectCount(application, key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.effects[application+" "+key]
}

// Effects summarises the non-idempotent queries in a ledger: the number of distinct keys that were executed, and the
// keys that were executed more than once.
type Effects struct {
	Keys       int      `json:"keys"`
	Duplicates []string `json:"duplicates"`
}

// Effects returns the summary of the non-idempotent queries executed so far.
func (l *Ledger) Effects() Effects {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	effects := Effects{Keys: len(l.effects), Duplicates: []string{}}
	for key, runs := range l.effects {
		if runs > 1 {
			effects.Duplicates = append(effects.Duplicates, key)
		}
	}
	return effects
}

// HostOptions configure the servers of one process.
type HostOptions struct {
	Applications []Application
	Zones        []string
	Seed         uint64
	// IP is the address on which all servers listen, each on a free port.
	IP string
	// Control is the address of the control endpoint; empty for none.
	Control string
	// HeldVersions lists the index versions that every server holds at the start.
	HeldVersions []uint64
}

// Host is a set of servers in one process with a common ledger and control endpoint.
type Host struct {
	servers        map[string]*Server
	started        []*Server
	ledger         *Ledger
	control        net.Listener
	http           *http.Server
	maxStallMillis atomic.Int64
	closed         chan struct{}
}

// NewHost starts the servers. The replicas of a service are distributed over the zones round robin, with the first zone
// shifted by one from service to service.
func NewHost(options HostOptions) (*Host, error) {
	h := &Host{servers: make(map[string]*Server), ledger: NewLedger(), closed: make(chan struct{})}
	go h.measureStalls()
	for _, application := range options.Applications {
		for number := 1; number <= application.Services; number++ {
			for replica := range application.Replicas {
				service := application.Service(number)
				id := fmt.Sprintf("%s-%c", service, 'a'+replica)
				server, err := Listen(ServerOptions{
					ID: id, Zone: options.Zones[(number+replica)%len(options.Zones)], Service: service,
					Application: application, Seed: hash64(options.Seed, uint64(len(h.started))),
					Address: net.JoinHostPort(options.IP, "0"), HeldVersions: options.HeldVersions, Ledger: h.ledger,
				})
				if err != nil {
					h.Close()
					return nil, err
				}
				h.servers[id] = server
				h.started = append(h.started, server)
			}
		}
	}
	if options.Control != "" {
		controlListener, err := net.Listen("tcp", options.Control)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.control = controlListener
		h.http = &http.Server{Handler: h.Handler(), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = h.http.Serve(controlListener) }()
	}
	return h, nil
}

// ControlAddress returns the address of the control endpoint. The host must have one.
func (h *Host) ControlAddress() string { return h.control.Addr().String() }

// Servers returns the servers in the order in which they were started.
func (h *Host) Servers() []*Server { return h.started }

// Server returns the server with the ID, or nil if there is none.
func (h *Host) Server(id string) *Server { return h.servers[id] }

// Ledger returns the ledger of all servers.
func (h *Host) Ledger() *Ledger { return h.ledger }

// Close stops all servers and the control endpoint.
func (h *Host) Close() {
	close(h.closed)
	if h.http != nil {
		_ = h.http.Close()
	}
	for _, server := range h.started {
		server.Close()
	}
}

// measureStalls measures by how much timers of this process fire late, and keeps the maximum in milliseconds.
func (h *Host) measureStalls() {
	const period = 10 * time.Millisecond
	for {
		start := time.Now()
		select {
		case <-h.closed:
			return
		case <-time.After(period):
		}
		if delay := (time.Since(start) - period).Milliseconds(); delay > h.maxStallMillis.Load() {
			h.maxStallMillis.Store(delay)
		}
	}
}

// Report is the response of the control endpoint about all servers.
type Report struct {
	Servers map[string]Observations `json:"servers"`
	Effects Effects                 `json:"effects"`
	// MaxStallMillis is the longest delay of a timer of this process since the last reset, as when the process gets no
	// CPU time. Its servers can be late by as much to read a request or to notice the end of one.
	MaxStallMillis int64 `json:"stall-millis"`
}

// Handler serves the control endpoint: GET /control returns a Report, GET /control/runs the executions,
// POST /control/reset resets the counts, and POST /control/SERVER changes the faults of a server.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		report := Report{Servers: make(map[string]Observations, len(h.started)), Effects: h.ledger.Effects(), MaxStallMillis: h.maxStallMillis.Load()}
		for _, server := range h.started {
			report.Servers[server.options.ID] = server.Observed()
		}
		writeJSON(w, http.StatusOK, report)
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.ledger.Counts())
	})
	mux.HandleFunc("POST /control/reset", func(w http.ResponseWriter, _ *http.Request) {
		h.maxStallMillis.Store(0)
		for _, server := range h.started {
			server.ResetObserved()
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST /control/{server}", func(w http.ResponseWriter, r *http.Request) {
		server := h.servers[r.PathValue("server")]
		if server == nil {
			http.NotFound(w, r)
			return
		}
		change, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err == nil {
			err = server.ChangeFaults(change)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, json.RawMessage("{}"))
	})
	return mux
}
