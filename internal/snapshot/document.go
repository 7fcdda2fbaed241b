package snapshot

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// shardsDocument is the shard map of a version as the index document has it. JSON readers differ in which of two equal
// keys counts, so a shard that is named twice is a fault.
type shardsDocument map[ShardID]fleet.ServiceID

// UnmarshalJSON implements json.Unmarshaler.
func (s *shardsDocument) UnmarshalJSON(text []byte) error {
	plain := make(map[ShardID]fleet.ServiceID)
	if err := json.Unmarshal(text, &plain); err != nil {
		return err
	}
	*s = plain
	decoder := json.NewDecoder(bytes.NewReader(text))
	names := 0
	for {
		token, err := decoder.Token()
		if err != nil {
			break // the text was decoded before, so this is its end
		}
		if _, ok := token.(string); ok {
			names++
		}
	}
	if names > 2*len(plain) {
		return fmt.Errorf("shards: %d names for %d shards, each may be named once", names/2, len(plain))
	}
	return nil
}
