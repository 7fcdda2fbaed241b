package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Snapshot is a copy of the counts of one entry instance.
type Snapshot struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Started is when the recorder started. Taken is when the snapshot was made.
	Started time.Time `json:"started"`
	Taken   time.Time `json:"taken"`
	Series  []Series  `json:"objectives"`
	// Untracked is the number of outcomes that were not counted because the recorder already had the maximum number of
	// objectives.
	Untracked int64 `json:"untracked,omitempty"`
}

// Series is an objective with its counts. Minutes without a query have no bucket.
type Series struct {
	Key
	LatencyMillis float64 `json:"latency-objective-millis"`
	Percent       float64 `json:"objective-percent"`
	// Since is when the objective last changed, or when the recorder started. Earlier queries were counted under the
	// objective that was current at that time.
	Since    time.Time `json:"since"`
	Buckets  []Bucket  `json:"buckets"`
	Spenders []Spender `json:"spenders"`
}

// Bucket holds the counts of one minute since the Unix epoch.
type Bucket struct {
	Minute int64 `json:"minute"`
	Good   int64 `json:"good"`
	Bad    int64 `json:"bad"`
}

// Gap is a period for which the counts of an instance are missing.
type Gap struct {
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Cause    string    `json:"cause"`
}

// Report is the combination of the snapshots of all instances that answered.
type Report struct {
	Taken     time.Time `json:"taken"`
	Instances []string  `json:"instances"`
	// Complete is set if Gaps is empty.
	Complete   bool              `json:"complete"`
	Gaps       []Gap             `json:"gaps"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is one objective in a report.
type ObjectiveReport struct {
	Series
	// ObjectivesDiffer is set if the instances had different objectives. The series then has the lowest latency and the
	// highest percentage.
	ObjectivesDiffer bool   `json:"differs,omitempty"`
	BurnRates        []Rate `json:"burn"`
	// Alert is "page" if both windows of a pair are above its threshold, and "ok" otherwise.
	Alert string `json:"alert"`
}

// Snapshot returns a copy of the counts of all objectives with a query.
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

// Merge combines snapshots into a report on the six hours before now. fetchGaps are the gaps of instances whose
// snapshot could not be fetched. Merge adds the gaps of instances that started within the six hours, and of outcomes
// that were not tracked.
func Merge(now time.Time, snapshots []Snapshot, fetchGaps []Gap) Report {
	report := Report{Taken: now, Instances: []string{}, Gaps: slices.Clone(fetchGaps), Objectives: []ObjectiveReport{}}
	historyStart := now.Add(-HistoryMinutes * time.Minute)
	lines := make(map[Key]*ObjectiveReport)
	for _, s := range snapshots {
		report.Instances = append(report.Instances, s.Instance)
		if s.Started.After(historyStart) {
			report.Gaps = append(report.Gaps, Gap{s.Instance, s.Zone, historyStart, s.Started, "the instance started later; counts of an earlier process are lost"})
		}
		if s.Untracked > 0 {
			report.Gaps = append(report.Gaps, Gap{s.Instance, s.Zone, s.Started, s.Taken, fmt.Sprintf("%d outcomes of objectives beyond the bound were not counted", s.Untracked)})
		}
		for _, series := range s.Series {
			if line, known := lines[series.Key]; known {
				line.merge(series)
			} else {
				lines[series.Key] = &ObjectiveReport{Series: series}
			}
		}
	}
	for _, line := range lines {
		line.BurnRates = windowRates(line.Series, now)
		line.Alert = alertState(line.BurnRates)
		report.Objectives = append(report.Objectives, *line)
	}
	slices.SortFunc(report.Objectives, func(a, b ObjectiveReport) int { return a.Key.compare(b.Key) })
	slices.Sort(report.Instances)
	slices.SortFunc(report.Gaps, func(a, b Gap) int { return cmp.Compare(a.Instance, b.Instance) })
	if report.Gaps == nil {
		report.Gaps = []Gap{}
	}
	report.Complete = len(report.Gaps) == 0
	return report
}

func (l *ObjectiveReport) merge(other Series) {
	l.ObjectivesDiffer = l.ObjectivesDiffer || l.LatencyMillis != other.LatencyMillis || l.Percent != other.Percent
	l.LatencyMillis, l.Percent = min(l.LatencyMillis, other.LatencyMillis), max(l.Percent, other.Percent)
	if other.Since.After(l.Since) {
		l.Since = other.Since
	}
	l.Spenders = mergeSpenders(maxSpendersOf(l.Key), l.Spenders, other.Spenders)
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
