package replica

import "time"

const (
	// hedgeWindow is the time over which hedges are counted against requests.
	hedgeWindow = 60
	// hedgeDivisor makes hedges less than one in twenty requests.
	hedgeDivisor = 20
	// hedgeCost is the number of requests that earn one hedge, and hedgeCredit the most that are kept. The
	// counts of the last minute alone would let a minute that begins after a busy time exceed the
	// share, because hedges earned before it fall into it; the credit bounds that to 2 hedges.
	hedgeCost   = 22
	hedgeCredit = 2 * hedgeCost
)

// budget counts requests and hedges of the last minute in one bucket per second.
type budget struct {
	requests, hedges       [hedgeWindow]uint32
	allRequests, allHedges uint32
	second                 int64
	credit                 uint32
	start                  time.Time
}

// advance empties the buckets that have left the window.
func (b *budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	second := int64(now.Sub(b.start) / time.Second)
	for gone := 0; b.second < second && gone < hedgeWindow; gone++ {
		b.second++
		at := b.second % hedgeWindow
		b.allRequests -= b.requests[at]
		b.allHedges -= b.hedges[at]
		b.requests[at], b.hedges[at] = 0, 0
	}
	b.second = max(b.second, second)
	return int(b.second % hedgeWindow)
}

// mayHedge tells whether hedges stay under the budget with one more.
func (b *budget) mayHedge(now time.Time) bool {
	b.advance(now)
	return b.credit >= hedgeCost && (b.allHedges+1)*hedgeDivisor < b.allRequests+1
}

// count records a request that was admitted.
func (b *budget) count(now time.Time, hedge bool) {
	at := b.advance(now)
	b.requests[at]++
	b.allRequests++
	if hedge {
		b.hedges[at]++
		b.allHedges++
		b.credit -= hedgeCost
		return
	}
	b.credit = min(b.credit+1, hedgeCredit)
}

// share returns hedges over requests in the last minute.
func (b *budget) share(now time.Time) float64 {
	b.advance(now)
	if b.allRequests == 0 {
		return 0
	}
	return float64(b.allHedges) / float64(b.allRequests)
}
