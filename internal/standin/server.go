package standin

// One backend server: it answers the protocol of docs/design.md, runs at most its slots at a time and counts
// what reached it, so that a test can hold an entry instance to its promises.

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

// ServerOptions describe one server.
type ServerOptions struct {
	ID          string
	Zone        string
	Service     string
	Application Application
	Seed        uint64
	// Address is where it listens; port 0 picks a free one.
	Address string
	Held    []uint64
	// Ledger records the effects of non-idempotent queries over all servers of a process.
	Ledger *Ledger
}

// leavingGrace is the time after which a leaving server must get no new work.
const leavingGrace = 3 * time.Second

// Server is one stand-in of a backend server.
type Server struct {
	options  ServerOptions
	address  string
	faults   atomic.Pointer[Faults]
	changed  sync.Mutex // serialises changes of faults
	random   *rand.Rand
	drawing  sync.Mutex // guards random
	listener *listener
	http     *http.Server

	mutex    sync.Mutex // guards what follows
	mark     string
	coldRuns int
	shedTill time.Time
	// leavingSince is when the server last began to say that it leaves.
	leavingSince time.Time
	// unanswered is set from a restart after which connections were lost until the first answer.
	unanswered bool
	running    map[string]*execution
	seen       Observations
}

// execution is a query in progress. It ends when its service time or its deadline is over or when it is cancelled, also
// where this process is late to notice, so that a busy machine does not make a server look overloaded.
type execution struct {
	cancel     context.CancelFunc
	begun, due time.Time
	cancelled  bool
}

// keptOver bounds the lines of Observations.Over.
const keptOver = 3

// Observations count what reached a server.
type Observations struct {
	Queries         int64 `json:"queries"`
	Executed        int64 `json:"executed"`
	Cancelled       int64 `json:"cancelled"`
	Shed            int64 `json:"shed"`
	OverSlots       int64 `json:"over-slots"`
	FellOver        int64 `json:"fell-over"`
	PeakInFlight    int   `json:"peak-in-flight"`
	PeakConnections int   `json:"peak-connections"`
	Connections     int   `json:"connections"`
	Refused         int64 `json:"refused-connections"`
	// AfterLeaving counts queries that came more than 3 s after the server began to say that it leaves.
	AfterLeaving int64 `json:"after-leaving"`
	// PeakUnanswered is the most requests in flight between a restart after which connections were lost and the
	// first answer.
	PeakUnanswered int `json:"peak-unanswered"`
	// Over says of the first requests above the slots what was in flight, with the age of each.
	Over []string `json:"over,omitempty"`
	// Slots and Limit repeat the server's limits beside the peaks.
	Slots int `json:"slots"`
	Limit int `json:"connection-limit"`
}

// Listen starts a server.
func Listen(options ServerOptions) (*Server, error) {
	raw, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: options, address: raw.Addr().String(), running: make(map[string]*execution),
		random: rand.New(rand.NewPCG(options.Seed, mix(options.Seed, uint64(len(options.ID))))),
	}
	s.mark = s.newMark()
	s.faults.Store(&Faults{Held: options.Held})
	s.listener = newListener(raw, options.Application.Connections, time.Duration(options.Application.ConnectMillis)*time.Millisecond)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/shard-query", s.query)
	mux.HandleFunc("POST /v1/cancel", s.cancelQuery)
	mux.HandleFunc("GET /v1/state", s.state)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

// Address is the IP:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Options returns what the server was made with.
func (s *Server) Options() ServerOptions { return s.options }

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// Change applies a JSON object with some of the fields of Faults.
func (s *Server) Change(change []byte) error {
	s.changed.Lock()
	defer s.changed.Unlock()
	before := *s.faults.Load()
	after, err := before.merged(change)
	if err != nil {
		return fmt.Errorf("faults of %s: %w", s.options.ID, err)
	}
	if after.Silent > 0 {
		s.listener.silence(after.Silent)
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
		s.unanswered = true
		s.mutex.Unlock()
	}
	s.faults.Store(&after)
	if !after.Down && before.Down {
		s.listener.setDown(false)
	}
	return nil
}

// restart gives the server a new start mark and an empty history of warm-up.
func (s *Server) restart() {
	mark := s.newMark()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mark, s.coldRuns = mark, 0
}

func (s *Server) newMark() string {
	s.drawing.Lock()
	defer s.drawing.Unlock()
	return fmt.Sprintf("%016x", s.random.Uint64())
}

// Observed returns the counts since the start or the last reset.
func (s *Server) Observed() Observations {
	s.mutex.Lock()
	seen := s.seen
	s.mutex.Unlock()
	seen.Connections, seen.PeakConnections, seen.Refused = s.listener.counts()
	seen.Slots, seen.Limit = s.options.Application.Slots, s.options.Application.Connections
	return seen
}

// ResetObserved sets the counts to zero.
func (s *Server) ResetObserved() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seen = Observations{PeakInFlight: s.inFlight()}
}

// begin takes a slot for a query, or tells why it is refused.
func (s *Server) begin(faults *Faults, id string, deadline time.Time, cancel context.CancelFunc) (refusal string, crash bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	inFlight := s.inFlight()
	s.seen.Queries++
	s.seen.PeakInFlight = max(s.seen.PeakInFlight, inFlight+1)
	if s.unanswered {
		s.seen.PeakUnanswered = max(s.seen.PeakUnanswered, inFlight+1)
	}
	if faults.Leaving && time.Since(s.leavingSince) > leavingGrace {
		s.seen.AfterLeaving++
	}
	switch {
	case faults.Shedding || time.Now().Before(s.shedTill):
		s.seen.Shed++
		return "shedding", false
	case faults.Cold && s.coldRuns < coldRuns && inFlight >= 1:
		s.seen.FellOver++
		s.coldRuns = 0
		s.shedTill = time.Now().Add(300 * time.Millisecond)
		return "shedding", faults.ColdCrash
	case inFlight >= s.options.Application.Slots:
		s.seen.OverSlots++
		s.seen.Shed++
		s.noteOver(id)
		return "shedding", false
	}
	s.running[id] = &execution{cancel: cancel, begun: time.Now(), due: deadline}
	return "", false
}

// inFlight counts the executions that have not ended.
func (s *Server) inFlight() int {
	now, count := time.Now(), 0
	for _, running := range s.running {
		if !running.cancelled && now.Before(running.due) {
			count++
		}
	}
	return count
}

// noteOver tells in which order the requests came and how old they were; request ids name the owner.
func (s *Server) noteOver(id string) {
	if len(s.seen.Over) == keptOver {
		return
	}
	line := id + " came to"
	for other, running := range s.running {
		line += fmt.Sprintf(" %s of %s", other, time.Since(running.begun))
	}
	s.seen.Over = append(s.seen.Over, line)
}

func (s *Server) end(id string, ran bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, id)
	if ran {
		s.unanswered = false
		s.seen.Executed++
		s.coldRuns++
	} else {
		s.seen.Cancelled++
	}
}

// dueAfter notes when an execution ends by itself.
func (s *Server) dueAfter(id string, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if running := s.running[id]; running != nil {
		if due := running.begun.Add(delay); due.Before(running.due) {
			running.due = due
		}
	}
}

func (s *Server) delay(faults *Faults) time.Duration {
	factor := max(faults.SlowFactor, 1)
	s.mutex.Lock()
	if faults.Cold && s.coldRuns < coldRuns {
		factor *= coldSlowdown
	}
	s.mutex.Unlock()
	s.drawing.Lock()
	defer s.drawing.Unlock()
	return serviceTime(s.random, s.options.Application.ServiceMillis, factor)
}
