package telemetry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// scrape returns the lines of the metrics that begin with the name.
func scrape(t *testing.T, metrics *Telemetry, name string) []string {
	t.Helper()
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	is.New(t).Equal(recorder.Code, 200)
	var found []string
	for _, line := range strings.Split(recorder.Body.String(), "\n") {
		if strings.HasPrefix(line, name) {
			found = append(found, line)
		}
	}
	return found
}

// TestQueries guards against a count under another route, class, answer or reason than that of the query, and against
// failures in the histogram of answers.
func TestQueries(t *testing.T) {
	is := is.New(t)
	metrics, err := New("e1", "z1")
	is.NoErr(err)
	metrics.RecordQuery(Query{Route: "fan", Class: "0", Elapsed: 30 * time.Millisecond})
	metrics.RecordQuery(Query{Route: "fan", Class: "0", Partial: true, Elapsed: 90 * time.Millisecond})
	metrics.RecordQuery(Query{Route: "fan", Class: "0", Reason: verdict.Overloaded})
	metrics.RecordQuery(Query{Route: "fan", Class: "0", Reason: verdict.Overloaded})
	is.Equal(scrape(t, metrics, "medlarlatch_queries_total"), []string{
		`medlarlatch_queries_total{answer="none",class="0",instance="e1",reason="overloaded",route="fan",zone="z1"} 2`,
		`medlarlatch_queries_total{answer="partial",class="0",instance="e1",reason="none",route="fan",zone="z1"} 1`,
		`medlarlatch_queries_total{answer="whole",class="0",instance="e1",reason="none",route="fan",zone="z1"} 1`,
	})
	is.Equal(scrape(t, metrics, "medlarlatch_query_duration_seconds_count"), []string{
		`medlarlatch_query_duration_seconds_count{answer="partial",class="0",instance="e1",route="fan",zone="z1"} 1`,
		`medlarlatch_query_duration_seconds_count{answer="whole",class="0",instance="e1",route="fan",zone="z1"} 1`,
	})
	is.Equal(metrics.Refusals(), map[string]int64{"overloaded": 2})
}

// TestLabelsAreBounded guards against memory that grows with each name that operators have ever used, and against a
// count that is lost because its name was first used after the limit had been reached.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	metrics, err := New("e1", "z1")
	is.NoErr(err)
	const names = 3 * maxLabelSets
	for range 2 {
		for i := range names {
			metrics.RecordSend(fleet.ServiceID(fmt.Sprint("s", i)), "z1", verdict.ServerError, time.Millisecond)
		}
	}
	lines := scrape(t, metrics, "medlarlatch_sends_failed_total")
	is.Equal(len(lines), maxLabelSets+1)
	is.True(strings.Contains(strings.Join(lines, "\n"), `medlarlatch_sends_failed_total{reason="server-error",service="other"} 4000`))
	is.Equal(scrape(t, metrics, "medlarlatch_send_duration_seconds_count"),
		[]string{fmt.Sprintf(`medlarlatch_send_duration_seconds_count{reason="server-error",server_zone="z1"} %d`, 2*names)})
}
