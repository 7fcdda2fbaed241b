package standin

// Data of the example deployment Guamán: tokens for donkey rides. The tokens of a family are distributed over all
// corrals, and each shard holds the tokens of one corral.

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	familyCount     = 3000
	tokensPerFamily = 4
)

var donkeys = []string{"Abril", "Canelo", "Chaski", "Inti", "Killa", "Nube", "Pancho", "Sumaq", "Wayra"}

// Guaman returns the applications of the example deployment Guamán.
func Guaman(seed uint64) []Application {
	data := tokenData{seed: seed}
	return []Application{
		withCatalogueLimits(Application{Name: "handheld-tokens", Replicas: 2, ServiceMillis: 3, ShardPrefix: "corral", Data: data}),
		withCatalogueLimits(Application{Name: "feed-ordering", Replicas: 2, ServiceMillis: 6, ShardPrefix: "feed", Data: data}),
		withCatalogueLimits(Application{Name: "corral-ledger", Replicas: 9, ServiceMillis: 8, ShardPrefix: "ledger", Data: keyedData{kind: "settlement", seed: seed}}),
		withCatalogueLimits(Application{Name: "guide-scheduling", Replicas: 4, ServiceMillis: 8, ShardPrefix: "guides", Data: data}),
	}
}

type tokenQuery struct {
	Family *uint64 `json:"family"`
}

type tokenRow struct {
	Token  string `json:"token"`
	Family uint64 `json:"family"`
	Corral uint64 `json:"corral"`
	Donkey string `json:"donkey"`
	Cents  uint64 `json:"cents"`
}

type tokenData struct {
	seed uint64
}

// Query returns a query for the tokens of a family.
func (d tokenData) Query(n uint64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"family":%d}`, hash64(d.seed, n, 11)%familyCount))
}

// Rows returns the tokens of the family that are in the corral of the shard.
func (d tokenData) Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error) {
	index, count, err := parseShardName(shard)
	if err != nil {
		return nil, err
	}
	var parsed tokenQuery
	if err := json.Unmarshal(query, &parsed); err != nil {
		return nil, err
	}
	if parsed.Family == nil {
		return nil, errors.New(`query lacks the field "family"`)
	}
	rows := []tokenRow{}
	for ride := uint64(0); ride < tokensPerFamily && *parsed.Family < familyCount; ride++ {
		hash := hash64(d.seed, *parsed.Family, ride, 13)
		if hash%count != index {
			continue
		}
		rows = append(rows, tokenRow{
			Token: fmt.Sprintf("t-%08x", hash>>32), Family: *parsed.Family, Corral: index + 1,
			Donkey: pick(donkeys, hash>>8), Cents: hash64(hash, version) % 5000,
		})
	}
	return encode(rows)
}
