package standin

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"
)

// Faults are the faults injected into one server. The zero value has none and holds no index version. They are changed
// at run time through the control endpoint; a change replaces only the fields that it names.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Cold makes the server slower and limits it to one request in flight until it has warmed up. A second request in
	// flight overloads it: it refuses all queries for 300 ms and its warm-up starts again.
	Cold bool `json:"cold"`
	// ColdCrash makes a cold server crash when it is overloaded; without it, the server sheds all queries for 300 ms.
	ColdCrash bool `json:"cold-crash"`
	// Shedding makes the server refuse every query with status 503 and not-run.
	Shedding bool `json:"shedding"`
	// Leaving makes the server announce in answers, refusals and its state that it is leaving.
	Leaving bool `json:"leaving"`
	// SilentConnections is the number of open connections that stop sending data for the rest of their lives. It
	// applies once, to the change that names it.
	SilentConnections int `json:"silent-connections"`
	// InvalidAnswer is the kind of invalid answers: "cut" (truncated), "long" (9 MiB), "crossed" (with the ID of
	// another request), "not-json", or empty for valid answers.
	InvalidAnswer string `json:"answer"`
	// InvalidAnswerShare is the share of answers that are invalid, 0 to 1; 0 means all if InvalidAnswer is set.
	InvalidAnswerShare float64 `json:"answer-share"`
	// HeldVersions lists the index versions that the server holds; it refuses queries for others.
	HeldVersions []uint64 `json:"held"`
	// Frozen suspends all responses until it is unset; connections stay open.
	Frozen bool `json:"frozen"`
	// Down closes all connections and refuses new ones until it is unset; the server then counts as restarted.
	Down bool `json:"down"`
}

// withChange returns the faults after a change, a JSON object with some of the fields.
func (f Faults) withChange(change []byte) (Faults, error) {
	f.SilentConnections = 0
	// Copy the list: decoding into the old one would change it under an answer that is being encoded.
	f.HeldVersions = append([]uint64(nil), f.HeldVersions...)
	err := json.Unmarshal(change, &f)
	return f, err
}

// queriesUntilWarm is the number of queries, executed one at a time, after which a cold server is warm.
const queriesUntilWarm = 20

// coldSlowFactor is the factor of the service time of a cold server.
const coldSlowFactor = 3

// serviceTime draws a service time from a log-normal distribution with median medianMillis times factor. With the sigma
// of 0.4, the 99th percentile is about 2.5 times the median.
func serviceTime(random *rand.Rand, medianMillis, factor float64) time.Duration {
	return time.Duration(medianMillis * factor * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
}
