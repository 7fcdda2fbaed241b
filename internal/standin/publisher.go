package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// IndexKey is the store's key of an application's index versions.
func (a Application) IndexKey() string { return "medlarlatch/index/" + a.Name }

type indexVersion struct {
	Version uint64            `json:"version"`
	Shards  map[string]string `json:"shards"`
}

// IndexDocument is what an index publisher writes to the store: the shard maps of the versions, the newest first.
func (a Application) IndexDocument(versions ...uint64) []byte {
	versions = slices.Clone(versions)
	slices.Sort(versions)
	slices.Reverse(versions)
	document := struct {
		Application string         `json:"application"`
		Versions    []indexVersion `json:"versions"`
	}{Application: a.Name}
	for _, version := range versions {
		document.Versions = append(document.Versions, indexVersion{version, a.Index(version)})
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return text
}

// Configuration is the catalogue of the applications as an operator writes it.
func Configuration(applications []Application) string {
	var text strings.Builder
	text.WriteString("[configuration]\nformat = 1\n")
	for _, a := range applications {
		for number := 1; number <= a.Services; number++ {
			fmt.Fprintf(&text, `
[service %s]
owner = %s
application = %s
class = %s
idempotent = %t
slots = %d
connections = %d
connect-cost = %dms
deadline = %dms
coverage-floor = 0.95
below-floor = %s
latency-objective = %dms
objective-percent = 99
`, a.Service(number), a.Owner, a.Name, a.Class, a.Idempotent, a.Slots, a.Connections, a.ConnectMillis,
				a.DeadlineMillis, a.BelowFloor, a.DeadlineMillis*5/7)
		}
	}
	return text.String()
}
