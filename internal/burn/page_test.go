package burn

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestPage guards against a page that loads external resources, does not escape names, draws a curve through a period
// without queries, or states that no gap is known while the counts of an instance are missing.
func TestPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, r := is.New(t), newTestRecorder("one")
		time.Sleep(time.Hour)
		for range 2 {
			r.Record(Outcome{Application: "search", Parts: []Part{
				{Service: "one", Shard: "<script>", Server: "one-a", Zone: "zone-a", Reason: verdict.NoReplica},
			}})
			time.Sleep(time.Hour)
		}
		now := time.Now()
		write := func(gaps ...Gap) string {
			var page bytes.Buffer
			is.NoErr(WritePage(&page, Merge(now, []Snapshot{r.Snapshot()}, gaps)))
			return page.String()
		}
		page := write(Gap{"entry-2", "zone-b", now.Add(-6 * time.Hour), now, "no counts: status 503"})
		for _, reference := range []string{"http", "src=", "href=", "url(", "@import", "<script"} {
			is.True(!strings.Contains(page, reference)) // the page must not refer to external resources
		}
		is.True(strings.Contains(page, "&lt;script&gt;"))
		is.Equal(strings.Count(page, "<path "), 2)
		is.Equal(strings.Count(page, "<rect "), 2) // the gap before the start of entry-1, and that of entry-2
		is.True(strings.Contains(page, "Data is missing") && strings.Contains(page, "entry-2 (zone-b)"))
		time.Sleep(6 * time.Hour)
		now = time.Now()
		is.True(strings.Contains(write(), "No gap is known"))
	})
}
