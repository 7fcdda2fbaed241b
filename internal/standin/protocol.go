package standin

// The HTTP handlers of a server.

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

type queryMessage struct {
	RequestID      string          `json:"request-id"`
	Service        string          `json:"service"`
	Shard          string          `json:"shard"`
	Version        uint64          `json:"version"`
	DeadlineMillis int64           `json:"deadline-millis"`
	Query          json.RawMessage `json:"query"`
}

type answerMessage struct {
	RequestID string          `json:"request-id"`
	Service   string          `json:"service"`
	Shard     string          `json:"shard"`
	Version   uint64          `json:"version"`
	Rows      json.RawMessage `json:"rows"`
	stateMessage
}

type stateMessage struct {
	StartMark string   `json:"start-mark"`
	Held      []uint64 `json:"held"`
	Leaving   bool     `json:"leaving"`
}

type refusalMessage struct {
	RequestID string `json:"request-id"`
	NotRun    bool   `json:"not-run"`
	Reason    string `json:"reason"`
	stateMessage
}

// query runs one shard query.
func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	faults := s.thawed(r.Context())
	if r.Context().Err() != nil {
		return // The caller gave up while the server was frozen.
	}
	var asked queryMessage
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err == nil {
		err = json.Unmarshal(body, &asked)
	}
	if err != nil || asked.RequestID == "" || asked.Service != s.options.Service {
		s.refuse(w, http.StatusBadRequest, asked.RequestID, true, "invalid-request")
		return
	}
	if !slices.Contains(faults.Held, asked.Version) {
		s.refuse(w, http.StatusConflict, asked.RequestID, true, "version-not-held")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(asked.DeadlineMillis)*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	refusal, crash := s.begin(faults, asked.RequestID, deadline, cancel)
	if crash {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if refusal != "" {
		s.refuse(w, http.StatusServiceUnavailable, asked.RequestID, true, refusal)
		return
	}
	s.run(ctx, w, faults, &asked)
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, faults *Faults, asked *queryMessage) {
	delay := s.delay(faults)
	s.dueAfter(asked.RequestID, delay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		s.end(asked.RequestID, false)
		reason := "cancelled"
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = "deadline-passed"
		}
		s.refuse(w, http.StatusServiceUnavailable, asked.RequestID, s.options.Application.Idempotent, reason)
		return
	}
	rows, err := s.options.Application.Data.Rows(asked.Shard, asked.Version, asked.Query)
	if err == nil && !s.options.Application.Idempotent {
		key, _ := intakeKey(asked.Query)
		s.options.Ledger.record(s.options.Application.Name, key)
	} else if err == nil && s.options.Ledger != nil {
		s.options.Ledger.tags.record(asked.Shard, asked.Query)
	}
	s.end(asked.RequestID, true)
	faults = s.thawed(ctx)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, asked.RequestID, true, "invalid-request")
		return
	}
	answer := answerMessage{
		RequestID: asked.RequestID, Service: asked.Service, Shard: asked.Shard, Version: asked.Version,
		Rows: rows, stateMessage: s.stateOf(faults),
	}
	if faults.Answer != "" && s.spoils(faults) {
		spoil(w, faults.Answer, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) spoils(faults *Faults) bool {
	s.drawing.Lock()
	defer s.drawing.Unlock()
	return faults.AnswerShare == 0 || s.random.Float64() < faults.AnswerShare
}

// spoil sends an answer that an entry instance must not accept.
func spoil(w http.ResponseWriter, kind string, answer answerMessage) {
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
	default: // cut
		whole, _ := json.Marshal(answer)
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		_, _ = w.Write(whole[:len(whole)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// thawed waits while the server is frozen and returns the faults then in force.
func (s *Server) thawed(ctx context.Context) *Faults {
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

func (s *Server) cancelQuery(w http.ResponseWriter, r *http.Request) {
	s.thawed(r.Context())
	var asked queryMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&asked); err != nil {
		s.refuse(w, http.StatusBadRequest, "", true, "invalid-request")
		return
	}
	s.mutex.Lock()
	found := s.running[asked.RequestID]
	if found != nil {
		found.cancelled = true
	}
	s.mutex.Unlock()
	if found != nil {
		found.cancel()
	}
	writeJSON(w, http.StatusOK, map[string]bool{"cancelled": found != nil})
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.stateOf(s.thawed(r.Context())))
}

func (s *Server) stateOf(faults *Faults) stateMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return stateMessage{StartMark: s.mark, Held: faults.Held, Leaving: faults.Leaving}
}

func (s *Server) refuse(w http.ResponseWriter, status int, id string, notRun bool, reason string) {
	writeJSON(w, status, refusalMessage{
		RequestID: id, NotRun: notRun, Reason: reason, stateMessage: s.stateOf(s.faults.Load()),
	})
}

// crash ends all connections and refuses new ones for a while, as a process that is started again does.
func (s *Server) crash() {
	s.restart()
	s.listener.setDown(true)
	time.AfterFunc(300*time.Millisecond, func() {
		if !s.faults.Load().Down {
			s.listener.setDown(false)
		}
	})
}

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
