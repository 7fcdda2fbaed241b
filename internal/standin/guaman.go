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
		{
			Name: "handheld-tokens", Owner: "rides", Class: "interactive", Idempotent: true, Services: 20, Replicas: 2,
			Slots: 2, Connections: 25, ConnectMillis: 6, ServiceMillis: 3, DeadlineMillis: 140, BelowFloor: "partial",
			Shard: "corral", Data: data,
		},
		{
			Name: "feed-ordering", Owner: "stables", Class: "batch", Idempotent: true, Services: 30, Replicas: 2,
			Slots: 2, Connections: 25, ConnectMillis: 6, ServiceMillis: 6, DeadlineMillis: 1000, BelowFloor: "partial",
			Shard: "feed", Data: data,
		},
		{
			Name: "corral-ledger", Owner: "treasury", Class: "settlement", Idempotent: false, Services: 1, Replicas: 9,
			Slots: 4, Connections: 45, ConnectMillis: 1, ServiceMillis: 8, DeadlineMillis: 500, BelowFloor: "refuse",
			Shard: "ledger", Data: intakeData{kind: "settlement", seed: seed},
		},
		{
			Name: "guide-scheduling", Owner: "rides", Class: "interactive", Idempotent: true, Services: 1, Replicas: 4,
			Slots: 4, Connections: 45, ConnectMillis: 1, ServiceMillis: 8, DeadlineMillis: 500, BelowFloor: "refuse",
			Shard: "guides", Data: data,
		},
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
