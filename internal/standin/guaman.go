package standin

// Guamán's data: donkey ride tokens. A family's tokens are spread over the ledgers of all corrals, and each
// shard is one corral's ledger.

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	families        = 3000
	tokensPerFamily = 4
)

var donkeys = []string{"Abril", "Canelo", "Chaski", "Inti", "Killa", "Nube", "Pancho", "Sumaq", "Wayra"}

// Guaman returns the applications of the Guamán deployment.
func Guaman(seed uint64) []Application {
	data := tokenData{seed: seed}
	return []Application{
		sized(Application{Name: "handheld-tokens", Replicas: 2, ServiceMillis: 3, Shard: "corral", Data: data}),
		sized(Application{Name: "feed-ordering", Replicas: 2, ServiceMillis: 6, Shard: "feed", Data: data}),
		sized(Application{Name: "corral-ledger", Replicas: 9, ServiceMillis: 8, Shard: "ledger", Data: intakeData{kind: "settlement", seed: seed}}),
		sized(Application{Name: "guide-scheduling", Replicas: 4, ServiceMillis: 8, Shard: "guides", Data: data}),
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

// Query asks for a family's tokens.
func (d tokenData) Query(n uint64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"family":%d}`, mix(d.seed, n, 11)%families))
}

// Rows returns the family's tokens in the corral's ledger.
func (d tokenData) Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error) {
	number, count, err := partition(shard)
	if err != nil {
		return nil, err
	}
	var asked tokenQuery
	if err := json.Unmarshal(query, &asked); err != nil {
		return nil, err
	}
	if asked.Family == nil {
		return nil, errors.New("query needs a family")
	}
	rows := []tokenRow{}
	for ride := uint64(0); ride < tokensPerFamily && *asked.Family < families; ride++ {
		draw := mix(d.seed, *asked.Family, ride, 13)
		if draw%count != number {
			continue
		}
		rows = append(rows, tokenRow{
			Token: fmt.Sprintf("t-%08x", draw>>32), Family: *asked.Family, Corral: number + 1,
			Donkey: pick(donkeys, draw>>8), Cents: mix(draw, version) % 5000,
		})
	}
	return encode(rows)
}
