package burn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// testCatalogue returns a catalogue whose services belong to the application search and have the same objective.
func testCatalogue(latency time.Duration, percent float64, services ...string) catalogue.Catalogue {
	var all []catalogue.Service
	for _, id := range services {
		all = append(all, catalogue.Service{
			ID: fleet.ServiceID(id), Application: "search", LatencyObjective: latency, ObjectivePercent: percent,
		})
	}
	return catalogue.New(all)
}

func newTestRecorder(services ...string) *Recorder {
	r := New("entry-1", "zone-a")
	r.Update(testCatalogue(100*time.Millisecond, 99, services...))
	return r
}

// goodPart returns an answered part within the latency objective.
func goodPart(service string) Part {
	return Part{Service: service, Shard: "s-" + service, Server: service + "-a", Zone: "zone-a", Answered: true, Latency: time.Millisecond}
}

func reportByKey(r *Recorder) map[Key]ObjectiveReport {
	lines := make(map[Key]ObjectiveReport)
	for _, line := range Merge(time.Now(), []Snapshot{r.Snapshot()}, nil).Objectives {
		lines[line.Key] = line
	}
	return lines
}

// TestRecord guards against counting a query for the wrong service, and against consuming error budget for a failure
// that the system did not cause.
func TestRecord(t *testing.T) {
	late := goodPart("one")
	late.Latency = 101 * time.Millisecond
	missing := Part{Service: "one", Shard: "s-one", Server: "one-a", Zone: "zone-b", Reason: verdict.Overloaded}
	cancelled := Part{Service: "two", Shard: "s-two", Reason: verdict.Cancelled}
	for name, c := range map[string]struct {
		outcome           Outcome
		overall, one, two [2]int64
		spender           Spender
	}{
		"complete": {Outcome{Parts: []Part{goodPart("one"), goodPart("two")}}, [2]int64{1, 0}, [2]int64{1, 0}, [2]int64{1, 0}, Spender{}},
		"late": {
			Outcome{Latency: 101 * time.Millisecond, Parts: []Part{late, goodPart("two")}},
			[2]int64{0, 1},
			[2]int64{0, 1},
			[2]int64{1, 0},
			Spender{Shard: "s-one", Server: "one-a", Zone: "zone-a", Late: true, Count: 1},
		},
		"partial": {
			Outcome{Parts: []Part{missing, goodPart("two")}},
			[2]int64{0, 1},
			[2]int64{0, 1},
			[2]int64{1, 0},
			Spender{Shard: "s-one", Server: "one-a", Zone: "zone-b", Reason: verdict.Overloaded, Count: 1},
		},
		"refused below the coverage floor": {
			Outcome{RefusalReason: verdict.CoverageBelowFloor, Parts: []Part{missing, cancelled}},
			[2]int64{0, 1},
			[2]int64{0, 1},
			[2]int64{},
			Spender{Shard: "s-one", Server: "one-a", Zone: "zone-b", Reason: verdict.Overloaded, Count: 1},
		},
		"refused before it was split": {
			Outcome{RefusalReason: verdict.Overloaded, Zone: "zone-a"},
			[2]int64{0, 1},
			[2]int64{0, 1},
			[2]int64{0, 1},
			Spender{Zone: "zone-a", Reason: verdict.Overloaded, Count: 1},
		},
		"caller's fault": {Outcome{RefusalReason: verdict.UnknownShard}, [2]int64{}, [2]int64{}, [2]int64{}, Spender{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, r := is.New(t), newTestRecorder("one", "two")
				c.outcome.Application = "search"
				r.Record(c.outcome)
				lines := reportByKey(r)
				for service, want := range map[string][2]int64{"": c.overall, "one": c.one, "two": c.two} {
					line := lines[Key{"search", service}]
					is.Equal([2]int64{line.Good(), line.Bad()}, want) // counts of the service
				}
				if c.spender.Count > 0 {
					is.Equal(lines[Key{"search", ""}].Spenders, []Spender{c.spender})
					is.Equal(lines[Key{"search", "one"}].Spenders, []Spender{c.spender})
				}
			})
		})
	}
}

// TestWindows guards against burn rates over the wrong period: bad queries of an hour ago must no longer count in the
// short windows but still count in the long ones, and a page needs both windows of a pair.
func TestWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, r := is.New(t), newTestRecorder("one")
		record := func(bad int) {
			for n := range 100 {
				o := Outcome{Application: "search", Parts: []Part{goodPart("one")}}
				if n < bad {
					o.Parts[0] = Part{Service: "one", Shard: "s-one", Reason: verdict.NoReplica}
				}
				r.Record(o)
			}
		}
		burnRates := func() map[string]float64 {
			rates := make(map[string]float64)
			for _, rate := range reportByKey(r)[Key{"search", "one"}].BurnRates {
				rates[rate.Window] = float64(int(rate.BurnRate*100+.5)) / 100
			}
			return rates
		}
		record(20)
		is.Equal(burnRates(), map[string]float64{"5m": 20, "30m": 20, "1h": 20, "6h": 20})
		is.Equal(reportByKey(r)[Key{"search", "one"}].Alert, "page")
		time.Sleep(10 * time.Minute)
		record(0)
		is.Equal(burnRates(), map[string]float64{"5m": 0, "30m": 10, "1h": 10, "6h": 10})
		is.Equal(reportByKey(r)[Key{"search", "one"}].Alert, "page") // because of the pair of 30 min and 6 h
		time.Sleep(50 * time.Minute)
		record(0)
		is.Equal(burnRates(), map[string]float64{"5m": 0, "30m": 0, "1h": 0, "6h": 6.67})
		is.Equal(reportByKey(r)[Key{"search", "one"}].Alert, "ok")
		time.Sleep(5*time.Hour + 30*time.Minute)
		is.Equal(burnRates(), map[string]float64{"5m": 0, "30m": 0, "1h": 0, "6h": 0})
		is.Equal(len(reportByKey(r)[Key{"search", "one"}].Spenders), 1) // spenders are kept until the end of their hour
		time.Sleep(30 * time.Minute)
		is.Equal(len(reportByKey(r)[Key{"search", "one"}].Spenders), 0)
	})
}

// TestMergeReportsGaps guards against a report that claims to be complete although an instance started during the
// history or could not be queried, and against one that does not show that two instances had different objectives.
func TestMergeReportsGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, first := is.New(t), newTestRecorder("one")
		time.Sleep(7 * time.Hour)
		second := New("entry-2", "zone-b")
		second.Update(testCatalogue(50*time.Millisecond, 99.9, "one"))
		for _, r := range []*Recorder{first, second} {
			r.Record(Outcome{Application: "search", Parts: []Part{goodPart("one")}})
		}
		now := time.Now()
		is.True(Merge(now, []Snapshot{first.Snapshot()}, nil).Complete)
		fetchGap := Gap{Instance: "entry-3", Zone: "zone-c", From: now.Add(-6 * time.Hour), To: now, Cause: "status 401"}
		merged := Merge(now, []Snapshot{first.Snapshot(), second.Snapshot()}, []Gap{fetchGap})
		is.True(!merged.Complete)
		is.Equal(len(merged.Gaps), 2)
		is.Equal(merged.Gaps[0].Instance, "entry-2")
		is.Equal(merged.Gaps[0].To, now)
		is.Equal(merged.Gaps[1], fetchGap)
		line := merged.Objectives[1]
		is.Equal(line.Key, Key{"search", "one"})
		is.Equal(line.Buckets, []Bucket{{now.Unix() / 60, 2, 0}})
		is.True(line.ObjectivesDiffer)
		is.Equal(line.Percent, 99.9)
		is.Equal(line.LatencyMillis, 50.0)
	})
}

// TestMemoryIsBounded guards against lists that grow without limit with the number of shards or objectives, and against
// a bounded list that does not contain the spender with the highest count.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var services []string
		for n := range maxSeries + 10 {
			services = append(services, fmt.Sprintf("service-%04d", n))
		}
		r := newTestRecorder(services...)
		for n := range 1000 {
			shard := fmt.Sprintf("shard-%d", n)
			if n%5 == 0 {
				shard = "worst"
			}
			r.Record(Outcome{Application: "search", Parts: []Part{{Service: services[0], Shard: shard, Reason: verdict.NoReplica}}})
		}
		spenders := reportByKey(r)[Key{"search", services[0]}].Spenders
		is.Equal(len(spenders), maxServiceSpenders)
		is.Equal(spenders[0].Shard, "worst")
		is.True(spenders[0].Count >= 200 && spenders[0].Count-spenders[0].Excess <= 200)
		r.Record(Outcome{Application: "search", RefusalReason: verdict.Overloaded})
		snapshot := r.Snapshot()
		is.Equal(len(snapshot.Series), maxSeries)
		is.Equal(snapshot.Untracked, int64(11))
		is.True(!Merge(time.Now(), []Snapshot{snapshot}, nil).Complete)
	})
}

// TestAlert guards against a page for a short burst, and against a page that continues after the bad queries have
// ended.
func TestAlert(t *testing.T) {
	for name, c := range map[string]struct {
		rate5m, rate1h, rate30m, rate6h float64
		want                            string
	}{
		"fast":             {15, 15, 0, 0, alertPage},
		"burst":            {15, 14, 15, 5, alertOK},
		"ended":            {0, 15, 5, 7, alertOK},
		"slow":             {7, 7, 7, 7, alertPage},
		"at the threshold": {14.4, 14.4, 6, 6, alertOK},
	} {
		t.Run(name, func(t *testing.T) {
			rates := []Rate{{BurnRate: c.rate5m, Threshold: 14.4}, {BurnRate: c.rate1h, Threshold: 14.4}, {BurnRate: c.rate30m, Threshold: 6}, {BurnRate: c.rate6h, Threshold: 6}}
			is.New(t).Equal(alertState(rates), c.want)
		})
	}
}

// TestTopSpenders guards against a list above its limit, and against a spender whose actual count is outside the range
// from Count-Excess to Count.
func TestTopSpenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var top []Spender
		actual := make(map[string]int64)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "shards"), 0))
		for range rapid.IntRange(0, 300).Draw(t, "length") {
			shard := fmt.Sprint(random.IntN(3 * maxServiceSpenders))
			actual[shard]++
			top = addSpender(top, Spender{Shard: shard, Count: 1}, maxServiceSpenders)
		}
		if len(top) > maxServiceSpenders {
			t.Fatalf("%d spenders, want at most %d", len(top), maxServiceSpenders)
		}
		for _, s := range top {
			if actual[s.Shard] > s.Count || actual[s.Shard] < s.Count-s.Excess {
				t.Fatalf("spender %+v: actual count %d", s, actual[s.Shard])
			}
		}
	})
}

// TestUpdate guards against keeping the counts of a service that was removed from the catalogue, and against a changed
// objective that the report does not show.
func TestUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, r := is.New(t), newTestRecorder("one", "two")
		r.Record(Outcome{Application: "search", Parts: []Part{goodPart("one"), goodPart("two")}})
		time.Sleep(time.Hour)
		r.Update(testCatalogue(200*time.Millisecond, 99, "one"))
		lines := reportByKey(r)
		is.Equal(len(lines), 2)
		is.Equal(lines[Key{"search", "one"}].LatencyMillis, 200.0)
		is.Equal(lines[Key{"search", "one"}].Since, time.Now())
	})
}

// BenchmarkRecord measures the cost of recording one query with parts of 20 services.
func BenchmarkRecord(b *testing.B) {
	r, o := New("entry-1", "zone-a"), Outcome{Application: "search"}
	var services []string
	for n := range 20 {
		services = append(services, fmt.Sprintf("service-%02d", n))
		o.Parts = append(o.Parts, goodPart(services[n]))
	}
	r.Update(testCatalogue(100*time.Millisecond, 99, services...))
	b.ReportAllocs()
	for b.Loop() {
		r.Record(o)
	}
}
