package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestWaitsForServerPastDeadline guards against returning from a call whose deadline has passed while the server still
// works on it, after which its slot would be used again too early. The server stops later than the sender, because it
// counts the remaining time from the arrival of the request.
func TestWaitsForServerPastDeadline(t *testing.T) {
	check := is.New(t)
	const remaining, late = 30 * time.Millisecond, 40 * time.Millisecond
	var working atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "shard-query") {
			time.Sleep(late) // The cancellation is late, too.
			return
		}
		working.Add(1)
		time.Sleep(remaining + late)
		working.Add(-1)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"request-id":"one","not-run":true,"reason":"deadline-passed"}`))
	}))
	defer server.Close()
	f := newFixture(t, true, 30)
	call := f.call("one", remaining)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	_, err := f.transport.Do(ctx, fleet.Server{ID: "late", Address: server.Listener.Addr().String()}, call)
	check.Equal(working.Load(), int64(0)) // The server has stopped.
	check.Equal(verdict.Of(err), verdict.NotRun)
}
