package entry

import (
	"testing"

	"github.com/matryer/is"
)

// TestCollectorPace guards against an idle instance that keeps the memory of its last load, and against a large
// live heap that doubles and more under load.
func TestCollectorPace(t *testing.T) {
	check := is.New(t)
	const live = 3 << 20
	c := collector{percent: defaultPercent, quiet: quietIntervals}
	at := func(allocated, live uint64) int {
		percent, _ := c.next(allocated, live)
		return percent
	}
	check.Equal(at(busyBytes/4, live), defaultPercent) // idle
	check.Equal(at(8<<20, live), defaultPercent)       // a start
	check.Equal(at(8<<20, live), mostPercent)
	for range quietIntervals - 1 {
		check.Equal(at(0, live), mostPercent) // a pause between two bursts
	}
	check.Equal(at(0, live), defaultPercent)
	check.Equal(at(8<<20, 12<<20), defaultPercent)
	check.Equal(at(8<<20, 12<<20), 200)
	check.Equal(at(8<<20, 1<<30), defaultPercent)
}
