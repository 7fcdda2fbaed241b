package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// spenderSlots times spenderSpan covers the history. A longer span would keep spenders of faults that ended
	// long before; a shorter one takes more memory.
	spenderSlots = 7
	spenderSpan  = time.Hour
	// topSpenders bounds the spenders of one span and those of a report line. An application has the servers of all
	// its services to tell apart.
	topSpenders            = 16
	topApplicationSpenders = 64
)

// Spender is something that spent an error budget.
type Spender struct {
	// Shard, Server and Zone are empty where a query was refused before it was split; Zone is then the entry
	// instance's.
	Shard  string `json:"shard,omitempty"`
	Server string `json:"server,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Reason is why the part is missing. With Late set it is why the first attempt failed; none means that it was
	// slow.
	Reason verdict.Reason `json:"reason"`
	// Late is set where the answer came after the latency objective.
	Late bool `json:"late,omitempty"`
	// Count is the number of parts, or of refused queries.
	Count int64 `json:"count"`
	// Excess is how much of Count may belong to spenders that fell out of the bounded list.
	Excess int64 `json:"excess,omitempty"`
}

func boundOf(key Key) int {
	if key.Service == "" {
		return topApplicationSpenders
	}
	return topSpenders
}

func (s Spender) identity() Spender {
	s.Count, s.Excess = 0, 0
	return s
}

type bucket struct {
	minute    int64
	good, bad uint32
}

// series holds the counts of one objective.
type series struct {
	mutex     sync.Mutex
	objective Objective
	// bound is the length of a list of spenders.
	bound int
	// since is when the objective last changed, or the start.
	since    time.Time
	buckets  [Minutes]bucket
	spenders [spenderSlots]span
}

type span struct {
	number int64
	top    []Spender
}

func (s *series) change(objective Objective, now time.Time) {
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
	b := &s.buckets[minute%Minutes]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	if good {
		b.good++
		return
	}
	b.bad++
	number := now.Unix() / int64(spenderSpan/time.Second)
	current := &s.spenders[number%spenderSlots]
	if current.number != number {
		*current = span{number: number, top: make([]Spender, 0, s.bound)}
	}
	for _, spender := range spenders {
		current.top = count(current.top, spender, s.bound)
	}
}

// count adds to a bounded list by the space-saving method: a new spender takes the place of the smallest one and
// inherits its count as Excess. No spender with more than 1/bound of the total is ever missing.
func count(top []Spender, spender Spender, bound int) []Spender {
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
	if len(top) < bound {
		return append(top, spender)
	}
	spender.Excess += top[smallest].Count
	spender.Count += top[smallest].Count
	top[smallest] = spender
	return top
}

// snapshot copies the counts of the history that ends now.
func (s *series) snapshot(key Key, now time.Time) Series {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := now.Unix() / 60
	out := Series{
		Key: key, LatencyMillis: float64(s.objective.Latency) / float64(time.Millisecond), Percent: s.objective.Percent, Since: s.since,
	}
	for _, b := range s.buckets {
		if b.minute > last-Minutes && b.minute <= last {
			out.Buckets = append(out.Buckets, Bucket{Minute: b.minute, Good: int64(b.good), Bad: int64(b.bad)})
		}
	}
	slices.SortFunc(out.Buckets, func(a, b Bucket) int { return cmp.Compare(a.Minute, b.Minute) })
	oldest := now.Add(-Minutes*time.Minute).Unix() / int64(spenderSpan/time.Second)
	var lists [][]Spender
	for _, span := range s.spenders {
		if span.number >= oldest {
			lists = append(lists, span.top)
		}
	}
	out.Spenders = mergeSpenders(s.bound, lists...)
	return out
}

// mergeSpenders sums lists and keeps the largest spenders.
func mergeSpenders(bound int, lists ...[]Spender) []Spender {
	sums := make(map[Spender]Spender)
	for _, list := range lists {
		for _, spender := range list {
			sum := sums[spender.identity()]
			spender.Count += sum.Count
			spender.Excess += sum.Excess
			sums[spender.identity()] = spender
		}
	}
	all := make([]Spender, 0, len(sums))
	for _, spender := range sums {
		all = append(all, spender)
	}
	slices.SortFunc(all, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Server, b.Server),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return all[:min(len(all), bound)]
}
