package standin

// A host runs many servers in one process, with one control endpoint for all of them.

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

// Ledger counts the effects of non-idempotent queries by application and key.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string]int
	tags  tags
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

func (l *Ledger) record(application, key string) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[application+" "+key]++
}

// Runs returns how often the query with the key took effect.
func (l *Ledger) Runs(application, key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[application+" "+key]
}

// Effects sums up a ledger.
type Effects struct {
	Keys       int      `json:"keys"`
	Duplicates []string `json:"duplicates"`
}

// Effects returns the number of keys that ran and those that ran more than once.
func (l *Ledger) Effects() Effects {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	effects := Effects{Keys: len(l.runs), Duplicates: []string{}}
	for key, runs := range l.runs {
		if runs > 1 {
			effects.Duplicates = append(effects.Duplicates, key)
		}
	}
	return effects
}

// HostOptions describe the servers of one process.
type HostOptions struct {
	Applications []Application
	Zones        []string
	Seed         uint64
	// IP is the address on which all servers listen.
	IP string
	// Control is the address of the control endpoint; empty for none.
	Control string
	Held    []uint64
}

// Host is a set of servers in one process.
type Host struct {
	servers map[string]*Server
	order   []*Server
	ledger  *Ledger
	control net.Listener
	http    *http.Server
	stall   atomic.Int64
	ended   chan struct{}
}

// NewHost starts the servers. The replicas of a service are spread over the zones, beginning with another zone
// for each service.
func NewHost(options HostOptions) (*Host, error) {
	h := &Host{servers: make(map[string]*Server), ledger: NewLedger(), ended: make(chan struct{})}
	go h.watchStalls()
	for _, application := range options.Applications {
		for number := 1; number <= application.Services; number++ {
			for replica := range application.Replicas {
				service := application.Service(number)
				id := fmt.Sprintf("%s-%c", service, 'a'+replica)
				server, err := Listen(ServerOptions{
					ID: id, Zone: options.Zones[(number+replica)%len(options.Zones)], Service: service,
					Application: application, Seed: mix(options.Seed, uint64(len(h.order))),
					Address: net.JoinHostPort(options.IP, "0"), Held: options.Held, Ledger: h.ledger,
				})
				if err != nil {
					h.Close()
					return nil, err
				}
				h.servers[id] = server
				h.order = append(h.order, server)
			}
		}
	}
	if options.Control != "" {
		listening, err := net.Listen("tcp", options.Control)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.control = listening
		h.http = &http.Server{Handler: h.Handler(), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = h.http.Serve(listening) }()
	}
	return h, nil
}

// ControlAddress is the address of the control endpoint.
func (h *Host) ControlAddress() string { return h.control.Addr().String() }

// Servers returns the servers in the order of their start.
func (h *Host) Servers() []*Server { return h.order }

// Server returns a server by its name, nil if there is none.
func (h *Host) Server(id string) *Server { return h.servers[id] }

// Ledger returns the record of effects.
func (h *Host) Ledger() *Ledger { return h.ledger }

// Close ends all servers.
func (h *Host) Close() {
	close(h.ended)
	if h.http != nil {
		_ = h.http.Close()
	}
	for _, server := range h.order {
		server.Close()
	}
}

// watchStalls measures how late this process is.
func (h *Host) watchStalls() {
	const period = 10 * time.Millisecond
	for {
		begun := time.Now()
		select {
		case <-h.ended:
			return
		case <-time.After(period):
		}
		if late := (time.Since(begun) - period).Milliseconds(); late > h.stall.Load() {
			h.stall.Store(late)
		}
	}
}

// Report is what the control endpoint tells of all servers.
type Report struct {
	Servers map[string]Observations `json:"servers"`
	Effects Effects                 `json:"effects"`
	// StallMillis is the longest time since the last reset by which this process was late to do anything. A server
	// of it can then be late to read a request or to notice its end.
	StallMillis int64 `json:"stall-millis"`
}

// Handler serves the control endpoint: GET /control, POST /control/reset and POST /control/SERVER with faults.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		report := Report{Servers: make(map[string]Observations, len(h.order)), Effects: h.ledger.Effects(), StallMillis: h.stall.Load()}
		for _, server := range h.order {
			report.Servers[server.options.ID] = server.Observed()
		}
		writeJSON(w, http.StatusOK, report)
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.ledger.All())
	})
	mux.HandleFunc("POST /control/reset", func(w http.ResponseWriter, _ *http.Request) {
		h.stall.Store(0)
		for _, server := range h.order {
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
			err = server.Change(change)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, json.RawMessage("{}"))
	})
	return mux
}
