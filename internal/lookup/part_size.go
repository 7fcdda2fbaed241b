package lookup

import "sync/atomic"

const (
	// leastPartBound and partFactor bound a part by the largest one seen on its route: parts of one index are alike, and one that
	// grows far beyond is no answer.
	leastPartBound = 64 << 10
	partFactor     = 16
	// partsForBound is the number of parts from which the largest one says enough.
	partsForBound = 1000
)

// partSizes are the sizes of the parts of one route. It is safe for concurrent use; a lost update of two at once does no harm.
type partSizes struct {
	largest, seen atomic.Int64
}

func (s *partSizes) observe(bytes int) {
	s.seen.Add(1)
	if int64(bytes) > s.largest.Load() {
		s.largest.Store(int64(bytes))
	}
}

// bound returns the longest body of a part, in bytes; 0 while too few were seen.
func (s *partSizes) bound() int64 {
	if s.seen.Load() < partsForBound {
		return 0
	}
	return max(leastPartBound, partFactor*s.largest.Load())
}
