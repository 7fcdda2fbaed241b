package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

func (f *fixture) writeFile(name string, text []byte) error {
	f.files[name] = string(text)
	return nil
}

// withBurn adds GET /v1/burn to the handler of an entry instance. Its counts have 100 queries of the last minute for
// the application and each of two services; two of the queries are bad in zone-b, for the application and one of the
// services. Instances that are stuck answer with status 503, and entry-4 started an hour ago.
func (f *fixture) withBurn(id, zone string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/burn" {
			next.ServeHTTP(w, request)
			return
		}
		if f.stuck[id] {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		now := time.Now()
		counts := burn.Snapshot{Instance: id, Zone: zone, Started: now.Add(-24 * time.Hour), Taken: now}
		if id == "entry-4" {
			counts.Started = now.Add(-time.Hour)
		}
		for _, service := range []string{"", "bib-index-01", "bib-index-02"} {
			series := burn.Series{
				Key: burn.Key{Application: "marshal-search", Service: service}, LatencyMillis: 100, Percent: 99, Since: counts.Started,
				Buckets: []burn.Bucket{{Minute: now.Unix() / 60, Good: 100}}, Spenders: []burn.Spender{},
			}
			if service != "bib-index-02" {
				series.Buckets[0] = burn.Bucket{Minute: now.Unix() / 60, Good: 98, Bad: 2}
				series.Spenders = []burn.Spender{
					{Shard: "bibs-1", Server: "bib-index-01-b", Zone: "zone-b", Reason: verdict.Overloaded, Count: 1},
					{Shard: "bibs-1", Server: "bib-index-01-b", Zone: "zone-b", Late: true, Count: 1},
				}
			}
			counts.Series = append(counts.Series, series)
		}
		_ = json.NewEncoder(w).Encode(counts)
	})
}

// addStatusDetails extends the status of three entry instances: entry-1 owns a shedding and a warm server, entry-2
// reports the shedding server as owned by entry-1, a server that is out, refusals and an unreachable peer, and entry-4
// is not ready.
func addStatusDetails(report map[string]any, id string) {
	server := func(name, owner, state, reason string, slots int) map[string]any {
		return map[string]any{
			"server": name, "zone": "zone-a", "owner": owner, "state": state, "reason": reason, "slots-share": slots,
			"connections-share": 10 * slots, "since": "2000-01-01T00:00:00Z",
		}
	}
	switch id {
	case "entry-1":
		report["servers"] = []any{server("one-a", id, "shedding", "shedding", 3), server("one-b", id, "warm", "none", 3)}
	case "entry-2":
		report["servers"] = []any{server("one-a", "entry-1", "elsewhere", "none", 0), server("one-c", "", "out", "zone-out", 0)}
		report["refusals"] = map[string]int{"overloaded": 2, "coverage-below-floor": 1}
		report["peers"] = []any{map[string]any{"instance": "entry-3", "reachable": false, "leaving": true}}
	case "entry-4":
		report["ready"], report["reason"] = false, "not-ready"
	}
}
