package query

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

type scenario struct {
	Seed       uint64
	Faults     faults
	Idempotent bool
	AtMostOnce bool
	Class      catalogue.Class
	Floor      float64
	Below      catalogue.BelowFloor
	Services   int
	Shards     int
	Queries    int
	// RepartitionAt, DropAt, OutAt and LoseAt are in milliseconds; 0 means never.
	RepartitionAt, DropAt, OutAt, LoseAt int
}

func drawScenario(t *rapid.T) scenario {
	percent := rapid.IntRange(0, 8)
	return scenario{
		Seed: rapid.Uint64().Draw(t, "seed"),
		Faults: faults{
			Late: percent.Draw(t, "late"), Duplicate: percent.Draw(t, "duplicate"), Crossed: percent.Draw(t, "crossed"),
			Mismatched: percent.Draw(t, "mismatched"), WrongVersion: percent.Draw(t, "wrongVersion"),
			Lost: percent.Draw(t, "lost"), Refused: percent.Draw(t, "refused"), Broken: percent.Draw(t, "broken"),
		},
		Idempotent:    rapid.Bool().Draw(t, "idempotent"),
		AtMostOnce:    rapid.Bool().Draw(t, "atMostOnce"),
		Class:         rapid.SampledFrom([]catalogue.Class{catalogue.Interactive, catalogue.Settlement}).Draw(t, "class"),
		Floor:         rapid.SampledFrom([]float64{0, 0.5, 0.8, 1}).Draw(t, "floor"),
		Below:         rapid.SampledFrom([]catalogue.BelowFloor{catalogue.Refuse, catalogue.Partial}).Draw(t, "below"),
		Services:      rapid.IntRange(2, 6).Draw(t, "services"),
		Shards:        rapid.IntRange(1, 12).Draw(t, "shards"),
		Queries:       rapid.IntRange(10, 60).Draw(t, "queries"),
		RepartitionAt: rapid.IntRange(0, 60).Draw(t, "repartitionAt"),
		DropAt:        rapid.IntRange(0, 120).Draw(t, "dropAt"),
		OutAt:         rapid.IntRange(0, 120).Draw(t, "outAt"),
		LoseAt:        rapid.IntRange(0, 120).Draw(t, "loseAt"),
	}
}

type outcome struct {
	request Request
	answer  api.Answer
	refusal *api.Refusal
	at      time.Time
}

type history struct {
	scenario scenario
	fake     *fakeSender
	maps     map[snapshot.Version]snapshot.ShardMap
	outcomes []outcome
}

// runScenario plays the scenario on fake time and returns what happened.
func runScenario(t *testing.T, s scenario) *history {
	h := &history{scenario: s, fake: newFakeSender(s.Seed), maps: make(map[snapshot.Version]snapshot.ShardMap)}
	h.fake.faults = s.Faults
	h.outcomes = make([]outcome, s.Queries)
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s.Services, catalogue.Service{
			Class: s.Class, Idempotent: s.Idempotent, Deadline: 140 * time.Millisecond,
			CoverageFloor: s.Floor, BelowFloor: s.Below,
		})
		h.maps[1], h.maps[2] = w.shardMap(1, s.Shards), w.shardMap(2, s.Shards+3)
		engine := New("zone-a", h.fake, oneOwner{}, snapshot.NewHoldings(), s.Seed)
		h.fake.hold(w.ids(), 1)
		entries := w.catalogue()
		both := w.index(h.maps[1], h.maps[2])
		engine.Update(w.view(), entries, w.index(h.maps[1]))
		var all sync.WaitGroup
		at := func(millis int, do func()) {
			if millis > 0 {
				// Half a microsecond keeps these events apart from the queries' own instants.
				all.Go(func() { time.Sleep(time.Duration(millis)*time.Millisecond + 500); do() })
			}
		}
		var order sync.Mutex
		index := w.index(h.maps[1])
		update := func(change func()) {
			order.Lock()
			defer order.Unlock()
			change()
			engine.Update(w.view(), entries, index)
		}
		at(s.RepartitionAt, func() {
			h.fake.hold(w.ids(), 1, 2)
			update(func() { index = both })
		})
		if s.DropAt > s.RepartitionAt && s.RepartitionAt > 0 {
			at(s.DropAt, func() { h.fake.hold(w.ids(), 2) })
		}
		at(s.LoseAt, func() {
			h.fake.mu.Lock()
			h.fake.lost[w.servers[0].ID] = true
			h.fake.mu.Unlock()
		})
		at(s.OutAt, func() {
			update(func() { entries = entries.WithZoneOut("zone-b", true) })
			h.fake.exclude(w, "zone-b")
		})
		for i := range s.Queries {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 3001 * time.Microsecond)
				h.query(engine, i)
			})
		}
		all.Wait()
		time.Sleep(time.Second) // late results and late runs
		synctest.Wait()
		h.checkInFlight(engine)
	})
	return h
}

// checkInFlight notes replicas that keep parts in flight after every query has ended.
func (h *history) checkInFlight(engine *Engine) {
	for server, state := range engine.replicas {
		if left := state.inFlight.Load(); left != 0 {
			h.fake.breach("%s has %d parts in flight at the end", server, left)
		}
	}
}

func (h *history) query(engine *Engine, i int) {
	id := fmt.Sprintf("q%d", i)
	request := Request{
		Application: "race", ID: id, Deadline: time.Now().Add(100 * time.Millisecond),
		Query: json.RawMessage(`"` + id + `"`), AtMostOnce: h.scenario.AtMostOnce,
	}
	if i%5 == 0 {
		request.Shards = []snapshot.ShardID{"shard-000"}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if i%7 == 3 {
		// Some callers give up; what they are told about their parts has to be true as well.
		time.AfterFunc(time.Duration(i%5+1)*2_500_300, cancel)
	}
	answer, refusal := engine.Run(ctx, request)
	h.outcomes[i] = outcome{request: request, answer: answer, refusal: refusal, at: time.Now()}
}

// faultsIn returns every breach of a promise in the history.
func (h *history) faultsIn() []string {
	found := slices.Clone(h.fake.breaches)
	breach := func(o outcome, format string, args ...any) {
		found = append(found, o.request.ID+": "+fmt.Sprintf(format, args...))
	}
	once := !h.scenario.Idempotent || h.scenario.AtMostOnce
	for key, runs := range h.fake.runs {
		if once && runs > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, runs))
		}
	}
	for _, o := range h.outcomes {
		if o.at.After(o.request.Deadline) {
			breach(o, "ended %v after its deadline", o.at.Sub(o.request.Deadline))
		}
		if o.refusal != nil {
			h.checkRefusal(o, breach)
			continue
		}
		h.checkAnswer(o, breach)
	}
	slices.Sort(found)
	return found
}

func (h *history) checkAnswer(o outcome, breach func(outcome, string, ...any)) {
	version := snapshot.Version(o.answer.Snapshot)
	asked := h.asked(o, version)
	for shard, text := range o.answer.Rows {
		var row fakeRow
		if err := json.Unmarshal(text, &row); err != nil || row.Query != o.request.ID || string(row.Shard) != shard {
			breach(o, "rows of %s are %s", shard, text)
		}
		if row.Version != version {
			breach(o, "rows of %s are of version %d in an answer of %d", shard, row.Version, version)
		}
	}
	if o.answer.ID != o.request.ID || o.answer.Verdict != verdict.Ran {
		breach(o, "answer has id %s and verdict %v", o.answer.ID, o.answer.Verdict)
	}
	missing := make(map[snapshot.ShardID]bool)
	for _, m := range o.answer.Coverage.Missing {
		missing[snapshot.ShardID(m.Shard)] = true
		h.checkMissing(o, m, breach)
	}
	for _, shard := range asked {
		_, answered := o.answer.Rows[string(shard)]
		if answered == missing[shard] {
			breach(o, "%s is both or neither answered and missing", shard)
		}
		at, arrived := h.fake.good[goodKey(o.request.ID, shard, version)]
		if answered && (!arrived || at.After(o.at)) {
			breach(o, "%s is answered without a whole result", shard)
		}
		if !answered && arrived && at.Before(o.at) {
			breach(o, "%s is missing, and a whole result arrived %v before the answer", shard, o.at.Sub(at))
		}
	}
	coverage := o.answer.Coverage
	if coverage.Asked != len(asked) || coverage.Answered != len(o.answer.Rows) || len(missing) != len(asked)-len(o.answer.Rows) {
		breach(o, "coverage %+v with %d asked and %d rows", coverage, len(asked), len(o.answer.Rows))
	}
	if h.scenario.Below == catalogue.Refuse && float64(coverage.Answered) < h.scenario.Floor*float64(coverage.Asked)-1e-6 {
		breach(o, "coverage %d of %d is below the floor", coverage.Answered, coverage.Asked)
	}
}

func (h *history) asked(o outcome, version snapshot.Version) []snapshot.ShardID {
	if len(o.request.Shards) > 0 {
		return o.request.Shards
	}
	var all []snapshot.ShardID
	for shard := range h.maps[version].Shards {
		all = append(all, shard)
	}
	return all
}

func (h *history) checkMissing(o outcome, m api.Missing, breach func(outcome, string, ...any)) {
	runs := h.fake.runs[o.request.ID+"/"+m.Shard]
	if m.Verdict == verdict.NotRun && runs > 0 && (!h.scenario.Idempotent || h.scenario.AtMostOnce) {
		breach(o, "%s is missing as not run and ran %d times", m.Shard, runs)
	}
	if m.Verdict == verdict.Ran && runs == 0 || m.Reason == verdict.None {
		breach(o, "%s is missing with %v and %v, and ran %d times", m.Shard, m.Verdict, m.Reason, runs)
	}
}

func (h *history) checkRefusal(o outcome, breach func(outcome, string, ...any)) {
	runs := 0
	for key, count := range h.fake.runs {
		if strings.HasPrefix(key, o.request.ID+"/") {
			runs += count
		}
	}
	if o.refusal.Verdict == verdict.NotRun && runs > 0 {
		breach(o, "refused as not run, and %d parts ran", runs)
	}
	if o.refusal.Verdict == verdict.Ran && runs == 0 {
		breach(o, "refused as ran, and nothing ran")
	}
	if o.refusal.Reason == verdict.None || o.refusal.RetryAfterMillis <= 0 {
		breach(o, "refused with reason %v and retry after %d", o.refusal.Reason, o.refusal.RetryAfterMillis)
	}
	if o.refusal.Coverage == nil {
		return
	}
	for _, m := range o.refusal.Coverage.Missing {
		h.checkMissing(o, m, breach)
	}
}

// transcript is the outcome of every query, for comparing two runs of one seed.
func (h *history) transcript() string {
	var text strings.Builder
	for _, o := range h.outcomes {
		line, _ := json.Marshal([]any{o.answer, o.refusal, o.at.UnixNano()})
		text.Write(line)
		text.WriteByte('\n')
	}
	return text.String()
}

// Guards against mixed versions, wrong coverage, rows of another request, untrue verdicts, second runs
// of parts that are not idempotent, and parts to zones that are out, under generated faults.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if found := runScenario(t, s).faultsIn(); len(found) > 0 {
			rt.Fatalf("%d breaches:\n%s", len(found), strings.Join(found[:min(len(found), 10)], "\n"))
		}
	})
}

// Guards against a run whose outcome depends on anything but the seed.
func TestSameSeedSameOutcome(t *testing.T) {
	for seed := range uint64(10) {
		s := scenario{
			Seed: seed, Faults: faults{3, 3, 3, 3, 3, 3, 3, 3}, Idempotent: seed%2 == 0, Floor: 0.8,
			Services: 4, Shards: 8, Queries: 40, RepartitionAt: 30, DropAt: 60, OutAt: 80, LoseAt: 20,
		}
		first := strings.Split(runScenario(t, s).transcript(), "\n")
		second := strings.Split(runScenario(t, s).transcript(), "\n")
		for i := range first {
			if first[i] != second[i] {
				t.Fatalf("seed %d: two runs differ:\n%s\n%s", seed, first[i], second[i])
			}
		}
	}
}
