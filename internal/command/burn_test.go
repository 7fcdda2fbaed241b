package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

func (s *stage) writeFile(name string, text []byte) error {
	s.files[name] = string(text)
	return nil
}

// withBurn answers GET /v1/burn with 100 queries of the last minute, two of them bad in zone-b. Instances that are
// stuck answer nothing, and entry-4 started an hour ago.
func (s *stage) withBurn(id, zone string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(reply http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/burn" {
			next.ServeHTTP(reply, request)
			return
		}
		if s.stuck[id] {
			reply.WriteHeader(http.StatusServiceUnavailable)
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
		_ = json.NewEncoder(reply).Encode(counts)
	})
}
