package entry

import (
	"testing"

	"github.com/matryer/is"
)

// TestGCTuner guards against an idle instance that keeps the memory of its last load, and against a raised
// percentage with a large live heap, which would then more than double under load.
func TestGCTuner(t *testing.T) {
	check := is.New(t)
	const live = 3 << 20
	c := gcTuner{percent: defaultGCPercent, quiet: maxQuietIntervals}
	at := func(allocated, live uint64) int {
		percent, _ := c.next(allocated, live)
		return percent
	}
	check.Equal(at(minBusyBytes/4, live), defaultGCPercent) // idle
	check.Equal(at(8<<20, live), defaultGCPercent)          // allocation of the start
	check.Equal(at(8<<20, live), maxGCPercent)
	for range maxQuietIntervals - 1 {
		check.Equal(at(0, live), maxGCPercent) // a pause between two bursts
	}
	check.Equal(at(0, live), defaultGCPercent)
	check.Equal(at(8<<20, 12<<20), defaultGCPercent)
	check.Equal(at(8<<20, 12<<20), 200)
	check.Equal(at(8<<20, 1<<30), defaultGCPercent)
}
