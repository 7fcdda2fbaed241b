package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// timeBuckets is the number of counts of a Tally. Bucket i holds times up to shortestTime times the square root of
	// 2^i, the last one all longer ones, from 5.8 s on.
	timeBuckets  = 28
	shortestTime = 500 * time.Microsecond
	// slowBuckets is the distance from the median of the former versions, in buckets, from which an answer is slow: it
	// took at least 2 times as long, and on average 2.4 times.
	slowBuckets = 3
	// condemnProbability is the probability below which the bad answers of a version are no chance, if it were as good as
	// the former ones. It is small because a roll-out is assessed some hundreds of times, and smaller for one instance's
	// own answers, because each of them assesses its own. doubtProbability is the same for a version that is not condemned
	// but not judged good either, deferProbability that for which the outcome waits.
	condemnProbability = 2e-5
	aloneProbability   = 1e-7
	doubtProbability   = 0.003
	deferProbability   = 0.05
	// minBadAnswers is the least number of bad answers that condemn a version.
	minBadAnswers = 4
	// priorAnswers is the number of good answers that a former version is credited with, and one bad one, so that a few
	// answers do not make it look perfect. usualFactor and usualShare widen the share of bad answers that is taken for
	// usual: versions differ a little, and the bad answers of one replica come in groups.
	priorAnswers = 20
	usualFactor  = 1.5
	usualShare   = 0.01
	// slowSpread is the time within which a stall of a replica ends and has been reported. Slow answers that all came
	// within it do not condemn a version, unless it answers so many requests that a stall of one replica is a small part:
	// manyAnswers, of which manySlow were slow, within the shortest window.
	slowSpread  = 800 * time.Millisecond
	manyAnswers = 24
	manySlow    = 9
)

// Tally counts the answers of the replicas of one or more versions.
type Tally struct {
	Failed uint32              `json:"failed,omitempty"`
	Times  [timeBuckets]uint32 `json:"times"`
}

// bucketOf returns the index in Tally.Times of a time.
func bucketOf(elapsed time.Duration) int {
	if elapsed <= shortestTime {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(elapsed)/float64(shortestTime)))), timeBuckets-1)
}

func (t *Tally) plus(other Tally) Tally {
	sum := Tally{Failed: t.Failed + other.Failed}
	for i := range sum.Times {
		sum.Times[i] = t.Times[i] + other.Times[i]
	}
	return sum
}

// minus returns the counts since an earlier tally. An instance that was restarted counts from 0 again, so that a count
// may have become lower.
func (t *Tally) minus(earlier Tally) Tally {
	since := Tally{Failed: t.Failed - min(t.Failed, earlier.Failed)}
	for i := range since.Times {
		since.Times[i] = t.Times[i] - min(t.Times[i], earlier.Times[i])
	}
	return since
}

// succeeded returns the number of answers that were no failures.
func (t *Tally) succeeded() (count int) {
	for _, n := range t.Times {
		count += int(n)
	}
	return count
}

func (t *Tally) answers() int { return int(t.Failed) + t.succeeded() }

// from returns the number of answers in the bucket and in those of longer times.
func (t *Tally) from(bucket int) (count int) {
	for _, n := range t.Times[min(bucket, timeBuckets):] {
		count += int(n)
	}
	return count
}

// median returns the bucket with the median time.
func (t *Tally) median() int {
	rest := (t.succeeded() + 1) / 2
	for i, n := range t.Times {
		if rest -= int(n); rest <= 0 {
			return i
		}
	}
	return timeBuckets - 1
}

// RouteTally counts the answers on one route.
type RouteTally struct {
	Former Tally `json:"former"`
	Target Tally `json:"target"`
}

// Evidence holds the answers on each route. Values are immutable once they are shared.
type Evidence map[string]RouteTally

// plus returns the sum.
func (e Evidence) plus(other Evidence) Evidence {
	sum := make(Evidence, len(e))
	for route, tally := range e {
		sum[route] = tally
	}
	for route, tally := range other {
		known := sum[route]
		sum[route] = RouteTally{known.Former.plus(tally.Former), known.Target.plus(tally.Target)}
	}
	return sum
}

// minus returns what was added since an earlier time.
func (e Evidence) minus(earlier Evidence) Evidence {
	since := make(Evidence, len(e))
	for route, tally := range e {
		known := earlier[route]
		since[route] = RouteTally{tally.Former.minus(known.Former), tally.Target.minus(known.Target)}
	}
	return since
}

// Finding is what the evidence shows of a version. Probability is that of so many bad answers if the version were as
// good as the former ones, of which a share Usual was bad at the same time.
type Finding struct {
	Route        string // empty for all routes together
	Kind         string
	Bad, Answers int
	Usual        float64
	Probability  float64
}

func (f Finding) String() string {
	route := f.Route
	if route == "" {
		route = "all routes"
	}
	return fmt.Sprintf("%s: %d of %d answers %s, usual share %.3f", route, f.Bad, f.Answers, f.Kind, f.Usual)
}

// below reports whether so many bad answers are less probable than the bound.
func (f Finding) below(bound float64) bool { return f.Probability < bound && f.Bad >= minBadAnswers }

// The kinds of bad answers that are compared. A version may fail part of the requests and be slow for others.
const (
	kindFailed = "failed"
	kindSlow   = "slow"
	kindBad    = "failed or slow"
)

// comparison sums up the answers of the ordered version on a route, and how many of them would have been bad if each had
// been as good as the answers of the former versions around the same time. Both versions suffer from what befalls the
// service, and the ordered version gets its requests unevenly over time.
type comparison struct {
	answers, failed, slow        int
	expectedFailed, expectedSlow float64
}

func (c comparison) plus(other comparison) comparison {
	return comparison{
		c.answers + other.answers, c.failed + other.failed, c.slow + other.slow,
		c.expectedFailed + other.expectedFailed, c.expectedSlow + other.expectedSlow,
	}
}

func (c comparison) minus(earlier comparison) comparison {
	return comparison{
		c.answers - earlier.answers, c.failed - earlier.failed, c.slow - earlier.slow,
		c.expectedFailed - earlier.expectedFailed, c.expectedSlow - earlier.expectedSlow,
	}
}

// worst returns the finding with the lowest probability of the kinds of bad answers.
func (c comparison) worst(route string, withSlow bool) Finding {
	worst := Finding{Route: route, Kind: kindFailed, Answers: c.answers, Probability: 1}
	consider := func(kind string, bad int, expected float64) {
		if bad == 0 {
			return
		}
		f := Finding{Route: route, Kind: kind, Bad: bad, Answers: c.answers, Usual: min(1, expected/float64(c.answers))}
		f.Probability = binomialTail(bad, c.answers, usualFactor*f.Usual+usualShare)
		if f.Probability < worst.Probability {
			worst = f
		}
	}
	consider(kindFailed, c.failed, c.expectedFailed)
	if withSlow {
		consider(kindSlow, c.slow, c.expectedSlow)
		consider(kindBad, c.failed+c.slow, c.expectedFailed+c.expectedSlow)
	}
	return worst
}

// history compares the versions over time. It is fed with the totals of the evidence.
type history struct {
	points []historyPoint
	// compared is the evidence of the ordered version that has been compared.
	compared Evidence
}

// historyPoint holds the totals at a time and the comparison of each route up to then.
type historyPoint struct {
	at       time.Time
	evidence Evidence
	routes   map[string]comparison
}

// windows are the latest times that are assessed beside the whole one, for versions that turn bad late.
var windows = []time.Duration{1500 * time.Millisecond, 4 * time.Second}

// referenceTimes are the times over which the former versions are looked at: the first one in which they gave
// minReference answers.
var referenceTimes = []time.Duration{time.Second, 4 * time.Second}

const minReference = 12

// add compares what was added up to the given time ago. With a lag, answers of the former versions that came later are
// considered as well: a fault of the service that has just begun may have met the ordered version first.
func (h *history) add(now time.Time, evidence Evidence, lag time.Duration) {
	if last := len(h.points) - 1; last >= 0 && now.Sub(h.points[last].at) > freshTime {
		*h = history{} // what was added meanwhile may be of other instances
	}
	settled := evidence
	if lag > 0 {
		earlier, _ := h.before(now, lag)
		settled = earlier.evidence
	}
	point := historyPoint{now, evidence, make(map[string]comparison, len(evidence))}
	var previous historyPoint
	if len(h.points) > 0 {
		previous = h.points[len(h.points)-1]
	}
	added := settled.minus(h.compared)
	h.compared = settled
	for route, total := range evidence {
		tally := added[route]
		former := h.reference(route, total.Former, now)
		slowFrom := timeBuckets
		if former.succeeded() > 0 {
			slowFrom = former.median() + slowBuckets
		}
		c := comparison{answers: tally.Target.answers(), failed: int(tally.Target.Failed), slow: tally.Target.from(slowFrom)}
		c.expectedFailed = float64(c.answers) * usualShareOf(int(former.Failed), former.answers())
		c.expectedSlow = float64(c.answers) * usualShareOf(former.from(slowFrom), former.answers())
		point.routes[route] = previous.routes[route].plus(c)
	}
	h.points = append(h.points, point)
	oldest := now.Add(-windows[len(windows)-1] - time.Second)
	h.points = slices.DeleteFunc(h.points, func(p historyPoint) bool { return p.at.Before(oldest) })
}

// usualShareOf returns the share of bad answers of the former versions.
func usualShareOf(bad, answers int) float64 {
	return max(float64(bad)/float64(max(answers, 1)), float64(bad+1)/float64(answers+priorAnswers))
}

// reference returns the answers of the former versions to compare with.
func (h *history) reference(route string, total Tally, now time.Time) Tally {
	for _, length := range referenceTimes {
		if before, found := h.before(now, length); found {
			earlier := before.evidence[route]
			if recent := total.minus(earlier.Former); recent.answers() >= minReference {
				return recent
			}
		}
	}
	return total
}

// before returns the latest point that is at least the given time ago.
func (h *history) before(now time.Time, ago time.Duration) (historyPoint, bool) {
	for _, p := range slices.Backward(h.points) {
		if now.Sub(p.at) >= ago {
			return p, true
		}
	}
	return historyPoint{}, false
}

// assess returns the worst finding on each route and on all routes together, over the whole time and over each of the
// windows. The suspicion may keep a version from being judged good: for that, slow answers count also if they may be due
// to a stall.
func (h *history) assess(now time.Time) (finding, suspicion Finding) {
	finding = h.worst(now, false)
	suspicion = finding
	if withSlow := h.worst(now, true); withSlow.Probability < finding.Probability {
		suspicion = withSlow
	}
	if h.slowSpread(now) {
		finding = suspicion
	}
	return finding, suspicion
}

func (h *history) worst(now time.Time, withSlow bool) Finding {
	worst := Finding{Probability: 1}
	if len(h.points) == 0 {
		return worst
	}
	latest := h.points[len(h.points)-1]
	consider := func(f Finding) {
		if f.Probability < worst.Probability || worst.Answers == 0 {
			worst = f
		}
	}
	starts := []historyPoint{{}}
	for _, window := range windows {
		if start, found := h.before(now, window); found {
			starts = append(starts, start)
		}
	}
	for _, start := range starts {
		var all comparison
		for route, c := range latest.routes {
			part := c.minus(start.routes[route])
			all = all.plus(part)
			consider(part.worst(route, withSlow))
		}
		consider(all.worst("", withSlow))
	}
	return worst
}

// targetAnswers returns the number of answers of the ordered version that were compared.
func (h *history) targetAnswers() (count int) {
	if len(h.points) > 0 {
		for _, c := range h.points[len(h.points)-1].routes {
			count += c.answers
		}
	}
	return count
}

// slowSpread reports whether slow answers of the ordered version came both before and after slowSpread ago, or are too
// many for a stall.
func (h *history) slowSpread(now time.Time) bool {
	start, found := h.before(now, slowSpread)
	if !found {
		return false
	}
	latest := h.points[len(h.points)-1]
	var recent comparison
	window, _ := h.before(now, windows[0])
	for route, c := range latest.routes {
		recent = recent.plus(c.minus(window.routes[route]))
	}
	if recent.answers >= manyAnswers && recent.slow >= manySlow {
		return true
	}
	before, since := 0, 0
	for route, c := range latest.routes {
		before += start.routes[route].slow
		since += c.slow - start.routes[route].slow
	}
	return before > 0 && since > 0
}

// binomialTail returns the probability of at least the given number of bad answers among all, if each is bad with the
// probability share.
func binomialTail(bad, all int, share float64) float64 {
	if bad <= 0 || share >= 1 {
		return 1
	}
	total := 0.0
	for i := bad; i <= all; i++ {
		total += math.Exp(logChoose(all, i) + float64(i)*math.Log(share) + float64(all-i)*math.Log1p(-share))
	}
	return min(total, 1)
}

func logChoose(n, k int) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - rest
}
