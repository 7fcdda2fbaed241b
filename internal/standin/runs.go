package standin

// The execution record, against which a test holds what callers were told.

import (
	"encoding/json"
	"maps"
	"sync"
)

// Runs counts executions: Effects by application and key, Tagged by tag and shard.
type Runs struct {
	Effects map[string]int `json:"effects"`
	Tagged  map[string]int `json:"tagged"`
}

// tags counts the executions of idempotent queries that carry a tag.
type tags struct {
	mutex sync.Mutex
	runs  map[string]int
}

// record counts an execution if the query has a field "tag".
func (t *tags) record(shard string, query json.RawMessage) {
	var tagged struct {
		Tag string `json:"tag"`
	}
	if json.Unmarshal(query, &tagged) != nil || tagged.Tag == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.runs == nil {
		t.runs = make(map[string]int)
	}
	t.runs[tagged.Tag+" "+shard]++
}

// All returns what was executed so far.
func (l *Ledger) All() Runs {
	l.mutex.Lock()
	effects := maps.Clone(l.runs)
	l.mutex.Unlock()
	l.tags.mutex.Lock()
	defer l.tags.mutex.Unlock()
	return Runs{Effects: effects, Tagged: maps.Clone(l.tags.runs)}
}
