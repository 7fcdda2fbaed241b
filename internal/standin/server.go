package standin

// One simulated backend server. It implements the protocol of docs/design.md, executes at most as many queries at a
// time as it has slots and counts the requests that it receives, so that a test can check that entry instances keep
// within the server's limits.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ServerOptions configure one server.
type ServerOptions struct {
	ID          string
	Zone        string
	Service     string
	Application Application
	Seed        uint64
	// Address is the IP:port to listen on; port 0 selects a free port.
	Address string
	// HeldVersions lists the index versions that the server holds at the start.
	HeldVersions []uint64
	// Ledger records the executions of all servers of a process. Nil records nothing.
	Ledger *Ledger
}

// leavingGracePeriod is the time from the announcement of leaving after which a server must receive no new queries.
const leavingGracePeriod = 3 * time.Second

// Server simulates one backend server. It is safe for concurrent use.
type Server struct {
	options     ServerOptions
	address     string
	faults      atomic.Pointer[Faults]
	changeMutex sync.Mutex // serialises changes to faults
	random      *rand.Rand
	randomMutex sync.Mutex // guards random
	listener    *listener
	http        *http.Server

	mutex sync.Mutex // guards the fields below
	// startMark identifies one run of the simulated process; a restart changes it.
	startMark string
	// warmupCount is the number of queries executed since the last restart or overload of the cold server.
	warmupCount int
	shedUntil   time.Time
	// leavingSince is the time at which the server last began to announce that it is leaving.
	leavingSince time.Time
	// awaitingFirstAnswer is set when the fault Down ends, which closed all connections, and cleared when the first
	// query has run.
	awaitingFirstAnswer bool
	// running holds the queries in progress by request ID.
	running      map[string]*execution
	observations Observations
}

// execution is a query in progress. It counts as in flight until its service time or its deadline has passed
// (expectedEnd) or it is cancelled, even if this process has not noticed that yet. Otherwise a busy machine would make
// the server look overloaded.
type execution struct {
	cancel               context.CancelFunc
	started, expectedEnd time.Time
	cancelled            bool
}

// maxOverSlotsDetails is the maximum number of descriptions in Observations of requests above the slots.
const maxOverSlotsDetails = 3

// Observations count the requests and connections that a server received.
type Observations struct {
	Queries  int64 `json:"queries"`
	Executed int64 `json:"executed"`
	// Cancelled counts queries that were cancelled or passed their deadline before the end of their service time.
	Cancelled int64 `json:"cancelled"`
	Shed      int64 `json:"shed"`
	// OverSlots counts queries that arrived when all slots were taken. They are shed.
	OverSlots int64 `json:"over-slots"`
	// ColdOverloads counts the times that the server was overloaded while cold.
	ColdOverloads      int64 `json:"fell-over"`
	PeakInFlight       int   `json:"peak-in-flight"`
	PeakConnections    int   `json:"peak-connections"`
	Connections        int   `json:"connections"`
	RefusedConnections int64 `json:"refused-connections"`
	// AfterLeaving counts queries that arrived more than 3 s after the server began to announce that it is leaving.
	AfterLeaving int64 `json:"after-leaving"`
	// PeakUnanswered is the maximum number of requests in flight between a restart that closed all connections and the
	// first query executed after it.
	PeakUnanswered int `json:"peak-unanswered"`
	// OverSlotsDetails describes, for the first requests above the slots, the requests then in progress and their ages.
	OverSlotsDetails []string `json:"over,omitempty"`
	// Slots and ConnectionLimit are the server's limits on requests in flight and on connections, for comparison with
	// the peaks.
	Slots           int `json:"slots"`
	ConnectionLimit int `json:"connection-limit"`
}

// Listen starts a server. Close stops it.
func Listen(options ServerOptions) (*Server, error) {
	raw, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: options, address: raw.Addr().String(), running: make(map[string]*execution),
		random: rand.New(rand.NewPCG(options.Seed, hash64(options.Seed, uint64(len(options.ID))))),
	}
	s.startMark = s.newStartMark()
	s.faults.Store(&Faults{HeldVersions: options.HeldVersions})
	s.listener = newListener(raw, options.Application.Connections, time.Duration(options.Application.ConnectMillis)*time.Millisecond)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/shard-query", s.query)
	mux.HandleFunc("POST /v1/cancel", s.cancelQuery)
	mux.HandleFunc("GET /v1/state", s.state)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Options returns the options that the server was started with.
func (s *Server) Options() ServerOptions { return s.options }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// ChangeFaults applies a JSON object with some of the fields of Faults; the other fields keep their values. The server
// restarts when it becomes cold and when Down ends.
func (s *Server) ChangeFaults(change []byte) error {
	s.changeMutex.Lock()
	defer s.changeMutex.Unlock()
	before := *s.faults.Load()
	after, err := before.withChange(change)
	if err != nil {
		return fmt.Errorf("faults of %s: %w", s.options.ID, err)
	}
	if after.SilentConnections > 0 {
		s.listener.silence(after.SilentConnections)
	}
	if after.Down && !before.Down {
		s.listener.setDown(true)
	}
	if after.Leaving && !before.Leaving {
		s.mutex.Lock()
		s.leavingSince = time.Now()
		s.mutex.Unlock()
	}
	if after.Cold && !before.Cold || before.Down && !after.Down {
		s.restart()
	}
	if before.Down && !after.Down {
		s.mutex.Lock()
		s.awaitingFirstAnswer = true
		s.mutex.Unlock()
	}
	s.faults.Store(&after)
	if !after.Down && before.Down {
		s.listener.setDown(false)
	}
	return nil
}

// restart gives the server a new start mark and resets the progress of its warm-up.
func (s *Server) restart() {
	mark := s.newStartMark()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startMark, s.warmupCount = mark, 0
}

// newStartMark returns a random start mark, reproducible from the seed.
func (s *Server) newStartMark() string {
	s.randomMutex.Lock()
	defer s.randomMutex.Unlock()
	return fmt.Sprintf("%016x", s.random.Uint64())
}

// Observed returns the counts since the start or the last reset. The counts of connections are not reset.
func (s *Server) Observed() Observations {
	s.mutex.Lock()
	seen := s.observations
	s.mutex.Unlock()
	seen.Connections, seen.PeakConnections, seen.RefusedConnections = s.listener.counts()
	seen.Slots, seen.ConnectionLimit = s.options.Application.Slots, s.options.Application.Connections
	return seen
}

// ResetObserved sets the counts of requests to zero; the peak of requests in flight starts at the present number. It
// does not reset the counts of connections.
func (s *Server) ResetObserved() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observations = Observations{PeakInFlight: s.inFlight()}
}

// admit takes a slot for a query. If there is none for it, admit returns the reason of the refusal, and whether the
// server must crash.
func (s *Server) admit(faults *Faults, id string, deadline time.Time, cancel context.CancelFunc) (refusal string, crash bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	inFlight := s.inFlight()
	s.observations.Queries++
	s.observations.PeakInFlight = max(s.observations.PeakInFlight, inFlight+1)
	if s.awaitingFirstAnswer {
		s.observations.PeakUnanswered = max(s.observations.PeakUnanswered, inFlight+1)
	}
	if faults.Leaving && time.Since(s.leavingSince) > leavingGracePeriod {
		s.observations.AfterLeaving++
	}
	switch {
	case faults.Shedding || time.Now().Before(s.shedUntil):
		s.observations.Shed++
		return "shedding", false
	case faults.Cold && s.warmupCount < queriesUntilWarm && inFlight >= 1:
		s.observations.ColdOverloads++
		s.warmupCount = 0
		s.shedUntil = time.Now().Add(300 * time.Millisecond)
		return "shedding", faults.ColdCrash
	case inFlight >= s.options.Application.Slots:
		s.observations.OverSlots++
		s.observations.Shed++
		s.recordOverSlots(id)
		return "shedding", false
	}
	s.running[id] = &execution{cancel: cancel, started: time.Now(), expectedEnd: deadline}
	return "", false
}

// inFlight returns the number of executions that are neither cancelled nor past their end. The mutex must be held.
func (s *Server) inFlight() int {
	now, count := time.Now(), 0
	for _, running := range s.running {
		if !running.cancelled && now.Before(running.expectedEnd) {
			count++
		}
	}
	return count
}

// recordOverSlots describes a request above the slots and those in progress with their ages. The request IDs name the
// entry instances that own the slots, and the ages give the order of arrival. The mutex must be held.
func (s *Server) recordOverSlots(id string) {
	if len(s.observations.OverSlotsDetails) == maxOverSlotsDetails {
		return
	}
	line := id + " arrived while in flight:"
	for other, running := range s.running {
		line += fmt.Sprintf(" %s (age %s)", other, time.Since(running.started))
	}
	s.observations.OverSlotsDetails = append(s.observations.OverSlotsDetails, line)
}

// finish releases the slot of a query; ran reports whether its service time passed.
func (s *Server) finish(id string, ran bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, id)
	if ran {
		s.awaitingFirstAnswer = false
		s.observations.Executed++
		s.warmupCount++
	} else {
		s.observations.Cancelled++
	}
}

// setExpectedEnd moves the expected end of an execution to the end of its service time if this is before its deadline.
func (s *Server) setExpectedEnd(id string, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if running := s.running[id]; running != nil {
		if due := running.started.Add(delay); due.Before(running.expectedEnd) {
			running.expectedEnd = due
		}
	}
}

// drawServiceTime draws a service time, with the factors of the faults.
func (s *Server) drawServiceTime(faults *Faults) time.Duration {
	factor := max(faults.SlowFactor, 1)
	s.mutex.Lock()
	if faults.Cold && s.warmupCount < queriesUntilWarm {
		factor *= coldSlowFactor
	}
	s.mutex.Unlock()
	s.randomMutex.Lock()
	defer s.randomMutex.Unlock()
	return serviceTime(s.random, s.options.Application.ServiceMillis, factor)
}
