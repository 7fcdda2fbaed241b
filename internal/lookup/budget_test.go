package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var allowed = Allowance{Window: 10 * time.Second, Ratio: 0.2, Extra: 56}

// TestBudgetHoldsInEveryWindow guards against extra sends of several instances that together exceed the allowance in some
// window, wherever it begins.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		share := allowed.share(instances)
		budgets := make([]budget, instances)
		start := time.Now()
		var requests, extra []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.request(start.Add(at), share)
			requests = append(requests, at)
			for range rapid.IntRange(0, 4).Draw(t, "tries") {
				if b.take(start.Add(at), share) {
					extra = append(extra, at)
				}
			}
		}
		for _, first := range extra {
			end := first + allowed.Window
			took := within(extra, first, end)
			most := allowed.Extra + allowed.Ratio*float64(max(within(requests, first, end),
				within(requests, first-allowed.Window, end-allowed.Window), within(requests, first-allowed.Window/2, end-allowed.Window/2)))
			if float64(took) > most {
				t.Fatalf("%d extra sends in the window from %v, allowed are %.1f", took, first, most)
			}
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// TestBudgetRefund guards against sends that never left and use the allowance up.
func TestBudgetRefund(t *testing.T) {
	is := is.New(t)
	var b budget
	share := Allowance{Window: 10 * time.Second, Extra: 1}
	now := time.Now()
	is.True(b.take(now, share))
	is.True(!b.take(now, share))
	b.refund()
	is.True(b.take(now, share))
	is.True(!b.take(now.Add(9*time.Second), share))
	is.True(b.take(now.Add(11*time.Second), share))
}
