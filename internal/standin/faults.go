package standin

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"
)

// Faults are the settings of one server's misbehaviour. They change at run time through the control endpoint;
// a change replaces only the fields that it names.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Cold makes the server fall over under more than one request in flight until it has served some alone.
	Cold bool `json:"cold"`
	// ColdCrash makes a cold server that falls over crash; otherwise it sheds everything for a while.
	ColdCrash bool `json:"cold-crash"`
	// Shedding answers every query with 503 and not-run.
	Shedding bool `json:"shedding"`
	// Leaving is said in answers and in the state.
	Leaving bool `json:"leaving"`
	// Silent makes this many of the open connections silent for ever, once.
	Silent int `json:"silent-connections"`
	// Answer spoils answers: "cut", "long", "crossed", "not-json" or empty.
	Answer string `json:"answer"`
	// AnswerShare is the share of answers to spoil, 0 to 1; 0 with Answer set means all.
	AnswerShare float64 `json:"answer-share"`
	// Held lists the index versions that the server holds.
	Held []uint64 `json:"held"`
	// Frozen stops all answers until it is unset.
	Frozen bool `json:"frozen"`
	// Down refuses connections and closes the open ones until it is unset.
	Down bool `json:"down"`
}

func (f Faults) merged(change []byte) (Faults, error) {
	f.Silent = 0
	// The list is replaced, not written into: the old value may still be in use by an answer.
	f.Held = append([]uint64(nil), f.Held...)
	err := json.Unmarshal(change, &f)
	return f, err
}

// coldRuns is the number of queries served alone after which a cold server is warm.
const coldRuns = 20

// coldSlowdown multiplies the service time of a cold server.
const coldSlowdown = 3

// serviceTime draws from a log-normal distribution around the median: its p99 is about 2.5 times the median.
func serviceTime(random *rand.Rand, medianMillis, factor float64) time.Duration {
	return time.Duration(medianMillis * factor * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
}
