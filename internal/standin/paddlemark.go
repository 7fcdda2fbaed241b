package standin

// Data of the example deployment Paddlemark: bibs (start numbers) of a raft race. A bib has a paddler, a crew and a
// waiver; its number determines its shard. Every row carries the time of the last crossing, which depends on the index
// version, so that rows of two versions differ.

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	bibCount  = 4000
	crewCount = 500
)

var (
	firstNames = []string{"Alba", "Birk", "Cleo", "Dario", "Edda", "Fenn", "Greta", "Hugo", "Ines", "Jorin", "Kaya", "Luca"}
	lastNames  = []string{"Amsel", "Brook", "Cray", "Dunmore", "Elder", "Fjord", "Grove", "Hazel", "Isler", "Jarrow", "Keel"}
	crewNames  = []string{"Otters", "Herons", "Pikes", "Newts", "Coots", "Eels", "Grebes"}
)

// Paddlemark returns the applications of the example deployment Paddlemark.
func Paddlemark(seed uint64) []Application {
	data := bibData{seed: seed}
	return []Application{
		withCatalogueLimits(Application{Name: "marshal-search", Replicas: 2, ServiceMillis: 3, ShardPrefix: "bibs", Data: data}),
		withCatalogueLimits(Application{Name: "printing", Replicas: 2, ServiceMillis: 6, ShardPrefix: "sheets", Data: data}),
		withCatalogueLimits(Application{Name: "club-entries", Replicas: 25, ServiceMillis: 4, ShardPrefix: "entries", Data: data}),
		withCatalogueLimits(Application{Name: "waiver-intake", Replicas: 13, ServiceMillis: 5, ShardPrefix: "waivers", Data: keyedData{kind: "waiver", seed: seed}}),
	}
}

type bibQuery struct {
	Bib  *uint64 `json:"bib"`
	Crew *uint64 `json:"crew"`
}

type bibRow struct {
	Bib      uint64 `json:"bib"`
	Paddler  string `json:"paddler"`
	Crew     uint64 `json:"crew"`
	CrewName string `json:"crew-name"`
	Waiver   string `json:"waiver"`
	Signed   bool   `json:"signed"`
	Crossing uint64 `json:"crossing-millis"`
}

type bibData struct {
	seed uint64
}

// Query returns a query for one bib or, every fourth time, for all bibs of a crew, which are distributed over the
// shards.
func (d bibData) Query(n uint64) json.RawMessage {
	if n%4 == 3 {
		return json.RawMessage(fmt.Sprintf(`{"crew":%d}`, hash64(d.seed, n, 2)%crewCount))
	}
	return json.RawMessage(fmt.Sprintf(`{"bib":%d}`, hash64(d.seed, n, 3)%bibCount+1))
}

// Rows returns the bib, or the bibs of the crew, that are in the shard.
func (d bibData) Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error) {
	index, count, err := parseShardName(shard)
	if err != nil {
		return nil, err
	}
	var parsed bibQuery
	if err := json.Unmarshal(query, &parsed); err != nil {
		return nil, err
	}
	rows := []bibRow{}
	switch {
	case parsed.Bib != nil:
		if *parsed.Bib >= 1 && *parsed.Bib <= bibCount && *parsed.Bib%count == index {
			rows = append(rows, d.row(*parsed.Bib, version))
		}
	case parsed.Crew != nil:
		// The bibs of a crew are congruent modulo the number of crews, so that they can be enumerated without a table.
		for bib := *parsed.Crew + 1; *parsed.Crew < crewCount && bib <= bibCount; bib += crewCount {
			if bib%count == index {
				rows = append(rows, d.row(bib, version))
			}
		}
	default:
		return nil, errors.New(`query has neither the field "bib" nor "crew"`)
	}
	return encode(rows)
}

func (d bibData) row(bib, version uint64) bibRow {
	hash := hash64(d.seed, bib, 5)
	crew := (bib - 1) % crewCount
	return bibRow{
		Bib: bib, Paddler: pick(firstNames, hash) + " " + pick(lastNames, hash>>8), Crew: crew,
		CrewName: fmt.Sprintf("%s %d", pick(crewNames, crew), crew), Waiver: fmt.Sprintf("w-%06x", hash>>40),
		Signed: hash>>16%10 != 0, Crossing: hash64(d.seed, bib, version, 7) % 3_600_000,
	}
}

// keyedData answers non-idempotent queries. Each names a key, and a key must be executed at most once.
type keyedData struct {
	kind string
	seed uint64
}

type keyedQuery struct {
	Key string `json:"key"`
}

type keyedRow struct {
	Key     string `json:"key"`
	Kind    string `json:"kind"`
	Receipt string `json:"receipt"`
}

// Query returns a query with a key that is unique to n.
func (d keyedData) Query(n uint64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"key":"%s-%d"}`, d.kind, n))
}

// Rows returns the receipt for the key, which depends only on the seed and the key.
func (d keyedData) Rows(_ string, _ uint64, query json.RawMessage) (json.RawMessage, error) {
	key, err := queryKey(query)
	if err != nil {
		return nil, err
	}
	state := d.seed
	for _, char := range []byte(key) {
		state = hash64(state, uint64(char))
	}
	return encode([]keyedRow{{Key: key, Kind: d.kind, Receipt: fmt.Sprintf("%016x", state)}})
}

// queryKey returns the key of a non-idempotent query.
func queryKey(query json.RawMessage) (string, error) {
	var parsed keyedQuery
	if err := json.Unmarshal(query, &parsed); err != nil {
		return "", err
	}
	if parsed.Key == "" {
		return "", errors.New(`query lacks the field "key"`)
	}
	return parsed.Key, nil
}
