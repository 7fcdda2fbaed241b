package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestCallsFromBeforeDistress guards against calls that were in flight at a sign of distress and widen the ramp of the
// server that came back, or narrow it a second time.
func TestCallsFromBeforeDistress(t *testing.T) {
	const slots = 3
	now := time.Unix(1000, 0)
	warm := func() ramp {
		r := newRamp(now)
		for range 4 * rampStep {
			r.succeeded(now, r.epoch, time.Millisecond, Reply{}, slots)
		}
		return r
	}
	for name, reason := range map[string]verdict.Reason{
		"connection lost": verdict.ConnectionLost, "connection refused": verdict.ConnectFailed, "load refused": verdict.Shedding,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := warm()
			is.Equal(r.state, Warm)
			before := r.epoch
			r.failed(now, before, time.Millisecond, reason, false)
			limit := r.limit
			is.True(limit < slots)
			for range 4 * rampStep {
				r.succeeded(now, before, time.Millisecond, Reply{}, slots)
			}
			is.Equal(r.limit, limit)
			is.True(r.state != Warm)
			narrowed := r
			r.failed(now, before, time.Millisecond, reason, false)
			is.Equal(r, narrowed)
		})
	}
}
