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

// TestCallOutlastsItsDeadline guards against a slot that is used again while the server still works on a call that
// timed out: the server counts the deadline from the arrival of the request, so it stops later than the sender.
func TestCallOutlastsItsDeadline(t *testing.T) {
	check := is.New(t)
	const left, late = 30 * time.Millisecond, 40 * time.Millisecond
	var working atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "shard-query") {
			time.Sleep(late) // late with the cancellation too
			return
		}
		working.Add(1)
		time.Sleep(left + late)
		working.Add(-1)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"request-id":"one","not-run":true,"reason":"deadline-passed"}`))
	}))
	defer server.Close()
	f := newFixture(t, true, 30)
	call := f.call("one", left)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	_, err := f.transport.Do(ctx, fleet.Server{ID: "late", Address: server.Listener.Addr().String()}, call)
	check.Equal(working.Load(), int64(0)) // the server has stopped
	check.Equal(verdict.Of(err), verdict.NotRun)
}
