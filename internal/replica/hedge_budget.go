package replica

import "time"

const (
	// hedgeWindowSeconds is the window over which hedges are counted against requests.
	hedgeWindowSeconds = 60
	// hedgeDivisor keeps hedges below one in twenty requests.
	hedgeDivisor = 20
	// requestsPerHedge is the number of requests that earn one hedge, and maxHedgeCredit is the largest credit, in
	// requests, that is kept. The counts of the last minute alone do not suffice: hedges earned in a busy period could
	// be spent after it, and a minute that begins then would exceed the ratio. The credit bounds this excess to 2
	// hedges.
	requestsPerHedge = 22
	maxHedgeCredit   = 2 * requestsPerHedge
)

// hedgeBudget limits hedges to a fraction of the requests. It counts both over the last minute, in one bucket per
// second.
type hedgeBudget struct {
	requests, hedges           [hedgeWindowSeconds]uint32
	totalRequests, totalHedges uint32
	currentSecond              int64
	credit                     uint32
	start                      time.Time
}

// advance clears the buckets that have left the window and returns the index of the current bucket.
func (b *hedgeBudget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	second := int64(now.Sub(b.start) / time.Second)
	for cleared := 0; b.currentSecond < second && cleared < hedgeWindowSeconds; cleared++ {
		b.currentSecond++
		bucket := b.currentSecond % hedgeWindowSeconds
		b.totalRequests -= b.requests[bucket]
		b.totalHedges -= b.hedges[bucket]
		b.requests[bucket], b.hedges[bucket] = 0, 0
	}
	b.currentSecond = max(b.currentSecond, second)
	return int(b.currentSecond % hedgeWindowSeconds)
}

// allowsHedge reports whether one more hedge stays within the budget.
func (b *hedgeBudget) allowsHedge(now time.Time) bool {
	b.advance(now)
	return b.credit >= requestsPerHedge && (b.totalHedges+1)*hedgeDivisor < b.totalRequests+1
}

// countRequest records an admitted request. A hedge spends credit; any other request earns it.
func (b *hedgeBudget) countRequest(now time.Time, hedge bool) {
	bucket := b.advance(now)
	b.requests[bucket]++
	b.totalRequests++
	if hedge {
		b.hedges[bucket]++
		b.totalHedges++
		b.credit -= requestsPerHedge
		return
	}
	b.credit = min(b.credit+1, maxHedgeCredit)
}

// hedgeRatio returns the ratio of hedges to requests in the last minute.
func (b *hedgeBudget) hedgeRatio(now time.Time) float64 {
	b.advance(now)
	if b.totalRequests == 0 {
		return 0
	}
	return float64(b.totalHedges) / float64(b.totalRequests)
}
