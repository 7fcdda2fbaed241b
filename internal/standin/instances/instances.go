// Package instances is a stand-in of the platform's instance list, with simulated lag and injected faults.
//
// A List keeps the listed instances and their history in memory, so that it can answer with a previous content. It is
// for tests and the demo only and never part of the product.
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

// maxHistory is the maximum number of contents that are kept for answers that lag.
const maxHistory = 1000

// Faults are the faults injected into the list. The zero value has none.
type Faults struct {
	// Down closes the connection of every request for the list without a response.
	Down bool `json:"down"`
	// SlowMillis is a delay before every answer.
	SlowMillis int64 `json:"slow-millis"`
	// LagMillis is the age of the content that answers show.
	LagMillis int64 `json:"lag-millis"`
}

// historyItem is the content of the list from a time on.
type historyItem struct {
	since time.Time
	list  []coordination.Instance
}

// List is an http.Handler with GET /v1/instances and a control endpoint under /control. It is safe for concurrent use.
type List struct {
	mutex sync.Mutex // guards the fields below, except mux
	// history holds the latest contents, oldest first, at least one.
	history []historyItem
	faults  Faults
	calls   map[string]uint64
	mux     *http.ServeMux
}

// New returns a list of these instances. They are visible at once, whatever the lag is.
func New(instances ...coordination.Instance) *List {
	l := &List{calls: make(map[string]uint64), mux: http.NewServeMux()}
	l.history = []historyItem{{list: slices.Clone(instances)}}
	l.mux.HandleFunc("GET /v1/instances", l.get)
	l.mux.HandleFunc("PUT /control/instances", func(w http.ResponseWriter, r *http.Request) {
		var list coordination.InstanceList
		if decodeJSON(w, r, &list) {
			l.Set(list.Instances...)
			writeJSON(w, list)
		}
	})
	l.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Faults()) })
	l.mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decodeJSON(w, r, &faults) {
			l.SetFaults(faults)
			writeJSON(w, faults)
		}
	})
	l.mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Calls()) })
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// Set replaces the listed instances.
func (l *List) Set(instances ...coordination.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.history = append(l.history, historyItem{time.Now(), slices.Clone(instances)})
	l.history = l.history[max(0, len(l.history)-maxHistory):]
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

// Calls returns the numbers of calls since the start: "instances" for all, "unchanged" for those answered with status
// 304.
func (l *List) Calls() map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.calls)
}

// get serves the list with an ETag, and status 304 if the client has this content already.
func (l *List) get(w http.ResponseWriter, r *http.Request) {
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
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
	}
	body, err := json.Marshal(coordination.InstanceList{Instances: l.visible()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		l.mutex.Lock()
		l.calls["unchanged"]++
		l.mutex.Unlock()
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // an error means that the client has disconnected
}

// visible returns the content that answers show: the latest that is at least as old as the lag, or the oldest one kept.
func (l *List) visible() []coordination.Instance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	asOf := time.Now().Add(-time.Duration(l.faults.LagMillis) * time.Millisecond)
	for _, item := range slices.Backward(l.history) {
		if !item.since.After(asOf) {
			return item.list
		}
	}
	return l.history[0].list
}

// decodeJSON decodes the JSON body of a request into target and rejects unknown fields. On an error it responds with
// status 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, 16<<20))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
