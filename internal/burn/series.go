package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// Spenders are kept by intervals of spenderInterval. The history of six hours overlaps at most spenderIntervals of
	// them. Longer intervals would report spenders of faults that ended long ago; shorter ones take more memory.
	spenderIntervals = 7
	spenderInterval  = time.Hour
	// maxServiceSpenders and maxApplicationSpenders are the maximum numbers of spenders of an objective in one interval
	// and in a report. That of an application is higher because it covers the servers of all its services.
	maxServiceSpenders     = 16
	maxApplicationSpenders = 64
)

// Spender identifies what consumed error budget: a missing or late part of a query, or a query that missed its
// objective although none of its parts did, such as one that was refused before it was split into parts.
type Spender struct {
	// Shard and Server are empty if the spender is a query and not a part. Zone is then that of the entry instance.
	Shard  string `json:"shard,omitempty"`
	Server string `json:"server,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Reason is why the part is missing. If Late is set, it is why the first attempt failed, and None means that the
	// first attempt was slow.
	Reason verdict.Reason `json:"reason"`
	// Late is set if the answer took longer than the objective allows.
	Late bool `json:"late,omitempty"`
	// Count is the number of such parts or queries.
	Count int64 `json:"count"`
	// Excess is the part of Count that may belong to other spenders, which were removed from the bounded list.
	Excess int64 `json:"excess,omitempty"`
}

// maxSpendersOf returns the maximum number of spenders of an objective.
func maxSpendersOf(key Key) int {
	if key.Service == "" {
		return maxApplicationSpenders
	}
	return maxServiceSpenders
}

// identity returns the spender without its counts, for use as a key.
func (s Spender) identity() Spender {
	s.Count, s.Excess = 0, 0
	return s
}

// bucket holds the counts of one minute since the Unix epoch.
type bucket struct {
	minute    int64
	good, bad uint32
}

// series holds the counts of one objective. It is safe for concurrent use.
type series struct {
	mutex     sync.Mutex
	objective Objective
	// maxSpenders is the maximum number of spenders of an interval.
	maxSpenders int
	// since is when the objective last changed, or when the recorder started.
	since    time.Time
	buckets  [HistoryMinutes]bucket
	spenders [spenderIntervals]intervalSpenders
}

// intervalSpenders holds the spenders of one interval, which is numbered from the Unix epoch.
type intervalSpenders struct {
	interval int64
	top      []Spender
}

func (s *series) setObjective(objective Objective, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objective != objective {
		s.objective, s.since = objective, now
	}
}

func (s *series) add(now time.Time, good bool, spenders []Spender) {
	minute := now.Unix() / 60
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := &s.buckets[minute%HistoryMinutes]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	if good {
		b.good++
		return
	}
	b.bad++
	interval := now.Unix() / int64(spenderInterval/time.Second)
	current := &s.spenders[interval%spenderIntervals]
	if current.interval != interval {
		*current = intervalSpenders{interval: interval, top: make([]Spender, 0, s.maxSpenders)}
	}
	for _, spender := range spenders {
		current.top = addSpender(current.top, spender, s.maxSpenders)
	}
}

// addSpender adds a spender to a list of at most limit elements by the Space-Saving algorithm: if the list is full, a
// new spender replaces the one with the smallest count and takes over that count as Excess. Every spender with more
// than 1/limit of the total count is in the list.
func addSpender(top []Spender, spender Spender, limit int) []Spender {
	identity := spender.identity()
	smallest := 0
	for i := range top {
		if top[i].identity() == identity {
			top[i].Count += spender.Count
			top[i].Excess += spender.Excess
			return top
		}
		if top[i].Count < top[smallest].Count {
			smallest = i
		}
	}
	if len(top) < limit {
		return append(top, spender)
	}
	spender.Excess += top[smallest].Count
	spender.Count += top[smallest].Count
	top[smallest] = spender
	return top
}

// snapshot returns a copy of the counts of the history that ends now.
func (s *series) snapshot(key Key, now time.Time) Series {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	currentMinute := now.Unix() / 60
	out := Series{
		Key: key, LatencyMillis: float64(s.objective.MaxLatency) / float64(time.Millisecond), Percent: s.objective.Percent, Since: s.since,
	}
	for _, b := range s.buckets {
		if b.minute > currentMinute-HistoryMinutes && b.minute <= currentMinute {
			out.Buckets = append(out.Buckets, Bucket{Minute: b.minute, Good: int64(b.good), Bad: int64(b.bad)})
		}
	}
	slices.SortFunc(out.Buckets, func(a, b Bucket) int { return cmp.Compare(a.Minute, b.Minute) })
	oldestInterval := now.Add(-HistoryMinutes*time.Minute).Unix() / int64(spenderInterval/time.Second)
	var lists [][]Spender
	for _, list := range s.spenders {
		if list.interval >= oldestInterval {
			lists = append(lists, list.top)
		}
	}
	out.Spenders = mergeSpenders(s.maxSpenders, lists...)
	return out
}

// mergeSpenders sums the counts of equal spenders and returns those with the highest counts, at most limit.
func mergeSpenders(limit int, lists ...[]Spender) []Spender {
	sums := make(map[Spender]Spender)
	for _, list := range lists {
		for _, spender := range list {
			sum := sums[spender.identity()]
			spender.Count += sum.Count
			spender.Excess += sum.Excess
			sums[spender.identity()] = spender
		}
	}
	merged := make([]Spender, 0, len(sums))
	for _, spender := range sums {
		merged = append(merged, spender)
	}
	slices.SortFunc(merged, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Server, b.Server),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return merged[:min(len(merged), limit)]
}
