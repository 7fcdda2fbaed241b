package standin

// Record of executions, which a test compares with the verdicts that callers received.

import (
	"encoding/json"
	"maps"
	"sync"
)

// Executions holds numbers of executions: in Effects those of non-idempotent queries by application and key, in Tagged
// those of tagged idempotent queries by tag and shard. The two parts of a key are separated by a space.
type Executions struct {
	Effects map[string]int `json:"effects"`
	Tagged  map[string]int `json:"tagged"`
}

// tagLedger counts the executions of idempotent queries that carry a tag. The zero value is ready for use.
type tagLedger struct {
	mutex sync.Mutex
	runs  map[string]int
}

// record counts an execution if the query has a non-empty field "tag".
func (t *tagLedger) record(shard string, query json.RawMessage) {
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

// Counts returns a copy of all counts of executions so far.
func (l *Ledger) Counts() Executions {
	l.mutex.Lock()
	effects := maps.Clone(l.effects)
	l.mutex.Unlock()
	l.tagged.mutex.Lock()
	defer l.tagged.mutex.Unlock()
	return Executions{Effects: effects, Tagged: maps.Clone(l.tagged.runs)}
}
