package standin

// HTTP handlers of a simulated backend server: shard queries, cancellation and state.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// queryMessage is the body of a shard query; a cancellation sets only the request ID.
type queryMessage struct {
	RequestID      string          `json:"request-id"`
	Service        string          `json:"service"`
	Shard          string          `json:"shard"`
	Version        uint64          `json:"version"`
	DeadlineMillis int64           `json:"deadline-millis"`
	Query          json.RawMessage `json:"query"`
}

// answerMessage is the response to a shard query that was executed.
type answerMessage struct {
	RequestID string          `json:"request-id"`
	Service   string          `json:"service"`
	Shard     string          `json:"shard"`
	Version   uint64          `json:"version"`
	Rows      json.RawMessage `json:"rows"`
	stateMessage
}

// stateMessage is the state of a server, which every answer and refusal repeats.
type stateMessage struct {
	StartMark    string   `json:"start-mark"`
	HeldVersions []uint64 `json:"held"`
	Leaving      bool     `json:"leaving"`
}

// refusalMessage is the response to a request without an answer. NotRun tells the entry instance that the query took no
// effect.
type refusalMessage struct {
	RequestID string `json:"request-id"`
	NotRun    bool   `json:"not-run"`
	Reason    string `json:"reason"`
	stateMessage
}

// query handles one shard query. It refuses a malformed one, one for an index version that the server does not hold and
// one that gets no slot, each with not-run set.
func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	faults := s.waitUnfrozen(r.Context())
	if r.Context().Err() != nil {
		return // The client disconnected while the server was frozen.
	}
	var request queryMessage
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || request.RequestID == "" || request.Service != s.options.Service {
		s.refuse(w, http.StatusBadRequest, request.RequestID, true, "invalid-request")
		return
	}
	if !slices.Contains(faults.HeldVersions, request.Version) {
		s.refuse(w, http.StatusConflict, request.RequestID, true, "version-not-held")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(request.DeadlineMillis)*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	refusal, crash := s.admit(faults, request.RequestID, deadline, cancel)
	if crash {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if refusal != "" {
		s.refuse(w, http.StatusServiceUnavailable, request.RequestID, true, refusal)
		return
	}
	s.execute(ctx, w, faults, &request)
}

// execute waits for the service time, reads the rows and writes the answer. When the query is cancelled or its deadline
// passes during the wait, it refuses; the refusal of a non-idempotent query then does not set not-run.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, faults *Faults, request *queryMessage) {
	delay := s.drawServiceTime(faults)
	s.setExpectedEnd(request.RequestID, delay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		s.finish(request.RequestID, false)
		reason := "cancelled"
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = "deadline-passed"
		}
		s.refuse(w, http.StatusServiceUnavailable, request.RequestID, s.options.Application.Idempotent, reason)
		return
	}
	rows, err := s.options.Application.Data.Rows(request.Shard, request.Version, request.Query)
	if err == nil && !s.options.Application.Idempotent {
		key, _ := queryKey(request.Query)
		s.options.Ledger.record(s.options.Application.Name, key)
	} else if err == nil && s.options.Ledger != nil {
		s.options.Ledger.tagged.record(request.Shard, request.Query)
	}
	s.finish(request.RequestID, true)
	faults = s.waitUnfrozen(ctx)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, request.RequestID, true, "invalid-request")
		return
	}
	answer := answerMessage{
		RequestID: request.RequestID, Service: request.Service, Shard: request.Shard, Version: request.Version,
		Rows: rows, stateMessage: s.stateOf(faults),
	}
	if faults.InvalidAnswer != "" && s.answersInvalidly(faults) {
		writeInvalidAnswer(w, faults.InvalidAnswer, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// answersInvalidly reports whether the fault InvalidAnswer applies to this answer.
func (s *Server) answersInvalidly(faults *Faults) bool {
	s.randomMutex.Lock()
	defer s.randomMutex.Unlock()
	return faults.InvalidAnswerShare == 0 || s.random.Float64() < faults.InvalidAnswerShare
}

// writeInvalidAnswer writes an answer of the given kind of the fault InvalidAnswer, which an entry instance must
// reject.
func writeInvalidAnswer(w http.ResponseWriter, kind string, answer answerMessage) {
	switch kind {
	case "crossed":
		answer.RequestID += "-other"
		writeJSON(w, http.StatusOK, answer)
	case "not-json":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"request-id": <html>`)
	case "long":
		w.Header().Set("Content-Length", strconv.Itoa(9<<20))
		_, _ = io.WriteString(w, strings.Repeat(" ", 9<<20))
	default: // "cut"
		encoded, _ := json.Marshal(answer)
		w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// waitUnfrozen waits until the server is not frozen or ctx ends, and returns the faults that apply at that time.
func (s *Server) waitUnfrozen(ctx context.Context) *Faults {
	for {
		faults := s.faults.Load()
		if !faults.Frozen || ctx.Err() != nil {
			return faults
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// cancelQuery handles the cancellation of a query and reports whether the query was running.
func (s *Server) cancelQuery(w http.ResponseWriter, r *http.Request) {
	s.waitUnfrozen(r.Context())
	var request queryMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&request); err != nil {
		s.refuse(w, http.StatusBadRequest, "", true, "invalid-request")
		return
	}
	s.mutex.Lock()
	found := s.running[request.RequestID]
	if found != nil {
		found.cancelled = true
	}
	s.mutex.Unlock()
	if found != nil {
		found.cancel()
	}
	writeJSON(w, http.StatusOK, map[string]bool{"cancelled": found != nil})
}

// state handles a request for the state of the server.
func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.stateOf(s.waitUnfrozen(r.Context())))
}

func (s *Server) stateOf(faults *Faults) stateMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return stateMessage{StartMark: s.startMark, HeldVersions: faults.HeldVersions, Leaving: faults.Leaving}
}

// refuse writes a refusal with the present state of the server.
func (s *Server) refuse(w http.ResponseWriter, status int, id string, notRun bool, reason string) {
	writeJSON(w, status, refusalMessage{
		RequestID: id, NotRun: notRun, Reason: reason, stateMessage: s.stateOf(s.faults.Load()),
	})
}

// crash closes all connections and refuses new ones for 300 ms, as a process that crashes and is restarted does.
func (s *Server) crash() {
	s.restart()
	s.listener.setDown(true)
	time.AfterFunc(300*time.Millisecond, func() {
		if !s.faults.Load().Down {
			s.listener.setDown(false)
		}
	})
}

// writeJSON writes a JSON response with its length.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
