package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Snapshot is what one entry instance counted.
type Snapshot struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Started is when the counts begin; Taken is when the snapshot was made.
	Started time.Time `json:"started"`
	Taken   time.Time `json:"taken"`
	Series  []Series  `json:"objectives"`
	// Untracked counts outcomes of objectives beyond the number that an instance follows.
	Untracked int64 `json:"untracked,omitempty"`
}

// Series is one objective with its counts. Minutes without a query have no bucket.
type Series struct {
	Key
	LatencyMillis float64 `json:"latency-objective-millis"`
	Percent       float64 `json:"objective-percent"`
	// Since is when the objective last changed, or when the counts begin. Earlier queries were judged by the
	// objective of their time.
	Since    time.Time `json:"since"`
	Buckets  []Bucket  `json:"buckets"`
	Spenders []Spender `json:"spenders"`
}

// Bucket holds the queries of one minute, which is counted from the Unix epoch.
type Bucket struct {
	Minute int64 `json:"minute"`
	Good   int64 `json:"good"`
	Bad    int64 `json:"bad"`
}

// Gap is a time for which an instance's counts are missing.
type Gap struct {
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Cause    string    `json:"cause"`
}

// Report is the merge of the snapshots of all instances that answered.
type Report struct {
	Taken     time.Time `json:"taken"`
	Instances []string  `json:"instances"`
	// Complete is set if no gap is known.
	Complete   bool   `json:"complete"`
	Gaps       []Gap  `json:"gaps"`
	Objectives []Line `json:"objectives"`
}

// Line is one objective in a report.
type Line struct {
	Series
	// Differs is set where instances had different objectives; the line has the strictest.
	Differs bool   `json:"differs,omitempty"`
	Burn    []Rate `json:"burn"`
	// Alert is page if both windows of a pair burn above its threshold, else ok.
	Alert string `json:"alert"`
}

// Snapshot copies the counts of all objectives that saw a query.
func (r *Recorder) Snapshot() Snapshot {
	now := time.Now()
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	s := Snapshot{Instance: r.instance, Zone: r.zone, Started: r.started, Taken: now, Untracked: r.untracked, Series: []Series{}}
	for key, counts := range r.series {
		s.Series = append(s.Series, counts.snapshot(key, now))
	}
	slices.SortFunc(s.Series, func(a, b Series) int { return a.Key.compare(b.Key) })
	return s
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Application, other.Application), cmp.Compare(k.Service, other.Service))
}

// Merge sums snapshots into a report of the six hours before now. Gaps of instances that could not be asked are
// passed in; those of instances that started within the six hours are added here.
func Merge(now time.Time, snapshots []Snapshot, unasked []Gap) Report {
	report := Report{Taken: now, Instances: []string{}, Gaps: slices.Clone(unasked), Objectives: []Line{}}
	begin := now.Add(-Minutes * time.Minute)
	lines := make(map[Key]*Line)
	for _, s := range snapshots {
		report.Instances = append(report.Instances, s.Instance)
		if s.Started.After(begin) {
			report.Gaps = append(report.Gaps, Gap{s.Instance, s.Zone, begin, s.Started, "the instance started later; counts of an earlier process are lost"})
		}
		if s.Untracked > 0 {
			report.Gaps = append(report.Gaps, Gap{s.Instance, s.Zone, s.Started, s.Taken, fmt.Sprintf("%d outcomes of objectives beyond the bound were not counted", s.Untracked)})
		}
		for _, series := range s.Series {
			if line, known := lines[series.Key]; known {
				line.merge(series)
			} else {
				lines[series.Key] = &Line{Series: series}
			}
		}
	}
	for _, line := range lines {
		line.Burn = rates(line.Series, now)
		line.Alert = alert(line.Burn)
		report.Objectives = append(report.Objectives, *line)
	}
	slices.SortFunc(report.Objectives, func(a, b Line) int { return a.Key.compare(b.Key) })
	slices.Sort(report.Instances)
	slices.SortFunc(report.Gaps, func(a, b Gap) int { return cmp.Compare(a.Instance, b.Instance) })
	if report.Gaps == nil {
		report.Gaps = []Gap{}
	}
	report.Complete = len(report.Gaps) == 0
	return report
}

func (l *Line) merge(other Series) {
	l.Differs = l.Differs || l.LatencyMillis != other.LatencyMillis || l.Percent != other.Percent
	l.LatencyMillis, l.Percent = min(l.LatencyMillis, other.LatencyMillis), max(l.Percent, other.Percent)
	if other.Since.After(l.Since) {
		l.Since = other.Since
	}
	l.Spenders = mergeSpenders(boundOf(l.Key), l.Spenders, other.Spenders)
	sums := make(map[int64]Bucket, len(l.Buckets))
	for _, b := range slices.Concat(l.Buckets, other.Buckets) {
		sum := sums[b.Minute]
		sums[b.Minute] = Bucket{b.Minute, sum.Good + b.Good, sum.Bad + b.Bad}
	}
	l.Buckets = make([]Bucket, 0, len(sums))
	for _, b := range sums {
		l.Buckets = append(l.Buckets, b)
	}
	slices.SortFunc(l.Buckets, func(a, b Bucket) int { return cmp.Compare(a.Minute, b.Minute) })
}
