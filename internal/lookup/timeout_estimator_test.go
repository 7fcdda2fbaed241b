package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestWaitBeforeSend guards against an estimate for a caller that has not waited: before other requests were seen,
// after a repeated request, when callers use different timeouts, and after all callers have changed to a shorter
// timeout.
func TestWaitBeforeSend(t *testing.T) {
	const objective = 100 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	repeat := func(n, remaining int) []int {
		var all []int
		for range n {
			all = append(all, remaining)
		}
		return all
	}
	cases := map[string]struct {
		before    []int // remaining times of earlier requests
		remaining int
		want      int
	}{
		"first request":      {nil, 992, 0},
		"new connection":     {[]int{1000, 992}, 992, 8},
		"kept connection":    {[]int{992, 1000}, 1000, 0},
		"without a time":     {[]int{1000}, 0, 0},
		"repeated request":   {[]int{1000}, 700, 0},
		"other kind":         {[]int{4000, 1000}, 1000, 0},
		"less than formerly": {append([]int{1000}, repeat(2*timeoutWindowSize, 990)...), 985, 5},
		"not forgotten yet":  {append([]int{1000}, repeat(timeoutWindowSize/2, 990)...), 985, 15},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var estimator timeoutEstimator
			for _, remaining := range test.before {
				_, _ = estimator.waitBeforeSend(ms(remaining), objective)
			}
			waited, _ := estimator.waitBeforeSend(ms(test.remaining), objective)
			is.New(t).Equal(waited, ms(test.want))
		})
	}
}

// TestWaitIsReliable guards against an estimate that counts as reliable before the callers' timeout is known.
func TestWaitIsReliable(t *testing.T) {
	is := is.New(t)
	var estimator timeoutEstimator
	for n := range timeoutWindowSize + minTimeoutSamples/2 {
		_, reliable := estimator.waitBeforeSend(time.Second, time.Second)
		is.Equal(reliable, n+1 >= minTimeoutSamples)
	}
	_, reliable := estimator.waitBeforeSend(0, time.Second)
	is.True(!reliable)
}

// TestAnswerCountsCallerWait guards against an answer that is in time for a caller with an open connection but late for
// one that had to open it. One shard is silent, and the answer must leave earlier by as much as the caller waited
// before its request.
func TestAnswerCountsCallerWait(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = id == "s3-a" || id == "s3-b"
			return behaviour
		})
		took := func(remaining time.Duration) time.Duration {
			began := time.Now()
			result := s.engine.Run(t.Context(), &Request{Route: s.fanoutRoute, ArrivedAt: began, RemainingTime: remaining, Deadline: began.Add(remaining)})
			is.True(result.Failure == nil)
			is.Equal(result.MissingShards, 1)
			return time.Since(began)
		}
		kept := took(timeout)
		is.Equal(kept, objective-defaultRoundTrip-answerMargin)
		is.Equal(took(timeout-12*time.Millisecond), kept-12*time.Millisecond)
	})
}
