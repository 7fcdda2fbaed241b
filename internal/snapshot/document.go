package snapshot

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// shardsDocument is the JSON form of a version's shard map. A shard that is listed twice is an error, because JSON
// readers differ in which of two equal keys they use.
type shardsDocument map[ShardID]fleet.ServiceID

// UnmarshalJSON implements json.Unmarshaler. It finds duplicate keys by counting the strings in the text: each entry
// has two, a shard and a service.
func (s *shardsDocument) UnmarshalJSON(text []byte) error {
	shards := make(map[ShardID]fleet.ServiceID)
	if err := json.Unmarshal(text, &shards); err != nil {
		return err
	}
	*s = shards
	decoder := json.NewDecoder(bytes.NewReader(text))
	stringTokens := 0
	for {
		token, err := decoder.Token()
		if err != nil {
			break // the text was already decoded without an error, so this is its end
		}
		if _, ok := token.(string); ok {
			stringTokens++
		}
	}
	if stringTokens > 2*len(shards) {
		return fmt.Errorf("shards: %d entries for %d distinct shards, each shard may be listed once", stringTokens/2, len(shards))
	}
	return nil
}
