package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestOutcomesOfEarlierEpochAreIgnored guards against calls that were in flight when a failure signal arrived: their
// outcomes must neither raise the limit of the recovered server nor lower it a second time.
func TestOutcomesOfEarlierEpochAreIgnored(t *testing.T) {
	const slots = 3
	now := time.Unix(1000, 0)
	warm := func() ramp {
		r := newRamp(now)
		for range 4 * answersPerRampStep {
			r.recordSuccess(now, r.epoch, time.Millisecond, Answer{}, slots)
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
			r.recordFailure(now, before, time.Millisecond, reason, false)
			limit := r.limit
			is.True(limit < slots)
			for range 4 * answersPerRampStep {
				r.recordSuccess(now, before, time.Millisecond, Answer{}, slots)
			}
			is.Equal(r.limit, limit)
			is.True(r.state != Warm)
			afterFirstFailure := r
			r.recordFailure(now, before, time.Millisecond, reason, false)
			is.Equal(r, afterFirstFailure)
		})
	}
}
