// Package instances is a stand-in of the platform's instance list, with its lag and its faults.
//
// A List owns its lines in memory and the time of every change, so that it can answer as it was a
// while ago. It is for tests and demonstrations only and never part of the system.
package instances

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

// keptStates is the number of former states that are kept for answers that lag.
const keptStates = 1000

// Faults are the failures that the list shows. The zero value has none.
type Faults struct {
	// Down aborts every call without an answer.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int64 `json:"slow-millis"`
	// LagMillis is the time by which the answer is behind.
	LagMillis int64 `json:"lag-millis"`
}

type state struct {
	since time.Time
	list  []coordination.Instance
}

// List is an http.Handler with GET /v1/instances and a control endpoint under /control.
type List struct {
	mutex  sync.Mutex
	states []state
	faults Faults
	calls  map[string]uint64
	mux    *http.ServeMux
}

// New returns a list with these lines, which it shows at once whatever the lag is.
func New(lines ...coordination.Instance) *List {
	l := &List{calls: make(map[string]uint64), mux: http.NewServeMux()}
	l.states = []state{{list: slices.Clone(lines)}}
	l.mux.HandleFunc("GET /v1/instances", l.get)
	l.mux.HandleFunc("PUT /control/instances", func(reply http.ResponseWriter, request *http.Request) {
		var list coordination.InstanceList
		if decode(reply, request, &list) {
			l.Set(list.Instances...)
			write(reply, list)
		}
	})
	l.mux.HandleFunc("GET /control/faults", func(reply http.ResponseWriter, _ *http.Request) { write(reply, l.Faults()) })
	l.mux.HandleFunc("PUT /control/faults", func(reply http.ResponseWriter, request *http.Request) {
		var faults Faults
		if decode(reply, request, &faults) {
			l.SetFaults(faults)
			write(reply, faults)
		}
	})
	l.mux.HandleFunc("GET /control/calls", func(reply http.ResponseWriter, _ *http.Request) { write(reply, l.Calls()) })
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(reply http.ResponseWriter, request *http.Request) {
	l.mux.ServeHTTP(reply, request)
}

// Set replaces the lines.
func (l *List) Set(lines ...coordination.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.states = append(l.states, state{time.Now(), slices.Clone(lines)})
	l.states = l.states[max(0, len(l.states)-keptStates):]
}

// Faults returns the current faults.
func (l *List) Faults() Faults {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faults
}

// SetFaults replaces the faults.
func (l *List) SetFaults(faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Calls returns the calls by kind since the start.
func (l *List) Calls() map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.calls)
}

func (l *List) get(reply http.ResponseWriter, request *http.Request) {
	l.mutex.Lock()
	l.calls["instances"]++
	faults := l.faults
	l.mutex.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if faults.SlowMillis > 0 {
		timer := time.NewTimer(time.Duration(faults.SlowMillis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-request.Context().Done():
			return
		case <-timer.C:
		}
	}
	body, err := json.Marshal(coordination.InstanceList{Instances: l.visible()})
	if err != nil {
		http.Error(reply, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	reply.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		l.mutex.Lock()
		l.calls["unchanged"]++
		l.mutex.Unlock()
		reply.WriteHeader(http.StatusNotModified)
		return
	}
	reply.Header().Set("Content-Type", "application/json")
	_, _ = reply.Write(body) // the caller may have gone
}

func (l *List) visible() []coordination.Instance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	until := time.Now().Add(-time.Duration(l.faults.LagMillis) * time.Millisecond)
	for _, known := range slices.Backward(l.states) {
		if !known.since.After(until) {
			return known.list
		}
	}
	return l.states[0].list
}

func decode(reply http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(request.Body, 16<<20))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(reply, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(reply http.ResponseWriter, body any) {
	reply.Header().Set("Content-Type", "application/json")
	// The caller may have gone.
	_ = json.NewEncoder(reply).Encode(body)
}
