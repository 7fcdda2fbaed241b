package standin

// Paddlemark's data: raft race bibs. A bib belongs to a paddler, a crew and a waiver, and lives in the shard
// that its number gives. Every row carries the time of the last crossing, which differs between versions.

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	bibs  = 4000
	crews = 500
)

var (
	firstNames = []string{"Alba", "Birk", "Cleo", "Dario", "Edda", "Fenn", "Greta", "Hugo", "Ines", "Jorin", "Kaya", "Luca"}
	lastNames  = []string{"Amsel", "Brook", "Cray", "Dunmore", "Elder", "Fjord", "Grove", "Hazel", "Isler", "Jarrow", "Keel"}
	crewNames  = []string{"Otters", "Herons", "Pikes", "Newts", "Coots", "Eels", "Grebes"}
)

// Paddlemark returns the applications of the Paddlemark deployment.
func Paddlemark(seed uint64) []Application {
	data := bibData{seed: seed}
	return []Application{
		sized(Application{Name: "marshal-search", Replicas: 2, ServiceMillis: 3, Shard: "bibs", Data: data}),
		sized(Application{Name: "printing", Replicas: 2, ServiceMillis: 6, Shard: "sheets", Data: data}),
		sized(Application{Name: "club-entries", Replicas: 25, ServiceMillis: 4, Shard: "entries", Data: data}),
		sized(Application{Name: "waiver-intake", Replicas: 13, ServiceMillis: 5, Shard: "waivers", Data: intakeData{kind: "waiver", seed: seed}}),
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

// Query asks for a bib or, every fourth time, for a whole crew, whose bibs are spread over the shards.
func (d bibData) Query(n uint64) json.RawMessage {
	if n%4 == 3 {
		return json.RawMessage(fmt.Sprintf(`{"crew":%d}`, mix(d.seed, n, 2)%crews))
	}
	return json.RawMessage(fmt.Sprintf(`{"bib":%d}`, mix(d.seed, n, 3)%bibs+1))
}

// Rows looks a bib or a crew up among the shard's bibs.
func (d bibData) Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error) {
	number, count, err := partition(shard)
	if err != nil {
		return nil, err
	}
	var asked bibQuery
	if err := json.Unmarshal(query, &asked); err != nil {
		return nil, err
	}
	rows := []bibRow{}
	switch {
	case asked.Bib != nil:
		if *asked.Bib >= 1 && *asked.Bib <= bibs && *asked.Bib%count == number {
			rows = append(rows, d.row(*asked.Bib, version))
		}
	case asked.Crew != nil:
		// A crew has the bibs that leave the same remainder, so that no table is needed to find them.
		for bib := *asked.Crew + 1; *asked.Crew < crews && bib <= bibs; bib += crews {
			if bib%count == number {
				rows = append(rows, d.row(bib, version))
			}
		}
	default:
		return nil, errors.New("query needs bib or crew")
	}
	return encode(rows)
}

func (d bibData) row(bib, version uint64) bibRow {
	draw := mix(d.seed, bib, 5)
	crew := (bib - 1) % crews
	return bibRow{
		Bib: bib, Paddler: pick(firstNames, draw) + " " + pick(lastNames, draw>>8), Crew: crew,
		CrewName: fmt.Sprintf("%s %d", pick(crewNames, crew), crew), Waiver: fmt.Sprintf("w-%06x", draw>>40),
		Signed: draw>>16%10 != 0, Crossing: mix(d.seed, bib, version, 7) % 3_600_000,
	}
}

// intakeData answers requests that take effect: they name a key, and each key may run once.
type intakeData struct {
	kind string
	seed uint64
}

type intakeQuery struct {
	Key string `json:"key"`
}

type intakeRow struct {
	Key     string `json:"key"`
	Kind    string `json:"kind"`
	Receipt string `json:"receipt"`
}

// Query returns a request with a key of its own.
func (d intakeData) Query(n uint64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"key":"%s-%d"}`, d.kind, n))
}

// Rows returns the receipt of the key.
func (d intakeData) Rows(_ string, _ uint64, query json.RawMessage) (json.RawMessage, error) {
	key, err := intakeKey(query)
	if err != nil {
		return nil, err
	}
	state := d.seed
	for _, letter := range []byte(key) {
		state = mix(state, uint64(letter))
	}
	return encode([]intakeRow{{Key: key, Kind: d.kind, Receipt: fmt.Sprintf("%016x", state)}})
}

func intakeKey(query json.RawMessage) (string, error) {
	var asked intakeQuery
	if err := json.Unmarshal(query, &asked); err != nil {
		return "", err
	}
	if asked.Key == "" {
		return "", errors.New("query needs a key")
	}
	return asked.Key, nil
}
