package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestWaited guards against a time that the caller has not waited: before others were seen, after a repeated request, where
// callers give different times, and after all of them give less than before.
func TestWaited(t *testing.T) {
	const objective = 100 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	repeat := func(n, left int) []int {
		var all []int
		for range n {
			all = append(all, left)
		}
		return all
	}
	cases := map[string]struct {
		before []int // times left of earlier requests
		left   int
		want   int
	}{
		"first request":      {nil, 992, 0},
		"new connection":     {[]int{1000, 992}, 992, 8},
		"kept connection":    {[]int{992, 1000}, 1000, 0},
		"without a time":     {[]int{1000}, 0, 0},
		"repeated request":   {[]int{1000}, 700, 0},
		"other kind":         {[]int{4000, 1000}, 1000, 0},
		"less than formerly": {append([]int{1000}, repeat(2*givenWindow, 990)...), 985, 5},
		"not forgotten yet":  {append([]int{1000}, repeat(givenWindow/2, 990)...), 985, 15},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var g givenTimes
			for _, left := range test.before {
				_, _ = g.waited(ms(left), objective)
			}
			waited, _ := g.waited(ms(test.left), objective)
			is.New(t).Equal(waited, ms(test.want))
		})
	}
}

// TestGivenTimeIsKnown guards against a wait that counts as sure before the time that callers give is known.
func TestGivenTimeIsKnown(t *testing.T) {
	is := is.New(t)
	var g givenTimes
	for n := range givenWindow + enoughGiven/2 {
		_, sure := g.waited(time.Second, time.Second)
		is.Equal(sure, n+1 >= enoughGiven)
	}
	_, sure := g.waited(0, time.Second)
	is.True(!sure)
}

// TestAnswerCountsTheCallersWait guards against an answer in time for a caller that did not have to open a connection, and late
// for one that did: one shard is silent, and the answer must leave as much earlier as the caller came later.
func TestAnswerCountsTheCallersWait(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = id == "s3-a" || id == "s3-b"
			return how
		})
		took := func(left time.Duration) time.Duration {
			began := time.Now()
			result := s.engine.Run(t.Context(), &Request{Route: s.fan, Arrived: began, Left: left, Deadline: began.Add(left)})
			is.True(result.Failure == nil)
			is.Equal(result.Missing, 1)
			return time.Since(began)
		}
		kept := took(timeout)
		is.Equal(kept, objective-usualRoundTrip-answerMargin)
		is.Equal(took(timeout-12*time.Millisecond), kept-12*time.Millisecond)
	})
}
