package lookup

import "sync/atomic"

const (
	// The body of a part is limited to partSizeFactor times the largest one seen on its route, but never to less than
	// minPartLimit. Parts of one index are of similar size, so a body far beyond the largest one is not a valid answer.
	minPartLimit   = 64 << 10
	partSizeFactor = 16
	// minPartSamples is the number of parts after which the largest one seen is representative.
	minPartSamples = 1000
)

// partSizes tracks the body sizes of the parts of one route. It is safe for concurrent use; of two simultaneous updates
// one may be lost, which does no harm.
type partSizes struct {
	largest, seen atomic.Int64
}

func (s *partSizes) observe(bytes int) {
	s.seen.Add(1)
	if int64(bytes) > s.largest.Load() {
		s.largest.Store(int64(bytes))
	}
}

// limit returns the maximum body length of a part in bytes; 0 while too few parts were seen.
func (s *partSizes) limit() int64 {
	if s.seen.Load() < minPartSamples {
		return 0
	}
	return max(minPartLimit, partSizeFactor*s.largest.Load())
}
