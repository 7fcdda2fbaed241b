package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

// crashAt returns a crash of the n-th replica of a service, that many seconds after the start.
func crashAt(n int, service fleet.ServiceID, seconds float64, suspected bool) Crash {
	return Crash{
		Replica: fleet.ServerID(fmt.Sprintf("%s-%d", service, n)), StartedAt: 1, Service: service,
		At: start.Add(time.Duration(seconds * float64(time.Second))), Suspected: suspected,
	}
}

// TestWhoIsToBlame guards against requests that are held for crashes that they did not cause, and against requests that
// crash replicas and are not held.
func TestWhoIsToBlame(t *testing.T) {
	request := NewFingerprint([]byte("request"))
	for name, c := range map[string]struct {
		observe func(l *Ledger)
		want    Standing
	}{
		"one crash":                       {func(l *Ledger) { l.RecordCrash(request, crashAt(1, "s", 1, false)) }, Suspected},
		"the same crash seen three times": {func(l *Ledger) { crash(l, request, 1, 1, 1) }, Suspected},
		"three crashes, one by one":       {func(l *Ledger) { crash(l, request, 1, 2, 3) }, Held},
		"many at the same moment, before it was suspected": {func(l *Ledger) {
			for i := range 10 {
				l.RecordCrash(request, crashAt(1, fleet.ServiceID(fmt.Sprint("s", i)), 1, false))
			}
		}, Suspected},
		"an answer between them": {func(l *Ledger) {
			crash(l, request, 1, 2)
			l.RecordAnswer(request, "s", start.Add(5*time.Second))
			l.RecordCrash(request, crashAt(3, "s", 6, true))
		}, Suspected},
		"an answer after them": {func(l *Ledger) {
			crash(l, request, 1, 2, 3)
			l.RecordAnswer(request, "s", start.Add(5*time.Second))
		}, Unsuspected},
		"an answer of another shard, crashes of one": {func(l *Ledger) {
			crash(l, request, 1, 2, 3)
			l.RecordAnswer(request, "other", start.Add(5*time.Second))
		}, Held},
		"an answer of another shard, crashes of several": {func(l *Ledger) {
			l.RecordCrash(request, crashAt(1, "s", 1, false))
			l.RecordCrash(request, crashAt(1, "s2", 1, false))
			l.RecordCrash(request, crashAt(1, "s3", 2, true))
			l.RecordAnswer(request, "other", start.Add(5*time.Second))
		}, Unsuspected},
		"a replica still runs": {func(l *Ledger) {
			crash(l, request, 1, 2, 3)
			l.RecordAlive("s-2", 1, start.Add(5*time.Second))
		}, Suspected},
		"released by an operator": {func(l *Ledger) {
			crash(l, request, 1, 2, 3)
			l.Release(request, start.Add(5*time.Second))
		}, Unsuspected},
		"answers lost, replicas run": {func(l *Ledger) {
			for i := range 5 {
				l.RecordLoss(request, fmt.Sprint("address", i), crashAt(i, "s", 1, true))
			}
			l.ConfirmLosses(func(string) int64 { return 1 }, start.Add(3*time.Second))
		}, Unsuspected},
		"answers lost, other processes register": {func(l *Ledger) {
			for i := range 3 {
				l.RecordLoss(request, fmt.Sprint("address", i), crashAt(i, "s", 1, i > 0))
			}
			l.ConfirmLosses(func(string) int64 { return 2 }, start.Add(3*time.Second))
		}, Held},
		"answers lost long before other processes register": {func(l *Ledger) {
			for i := range 3 {
				l.RecordLoss(request, fmt.Sprint("address", i), crashAt(i, "s", 1, true))
			}
			l.ConfirmLosses(func(string) int64 { return 1 }, start.Add(time.Minute))
			l.ConfirmLosses(func(string) int64 { return 2 }, start.Add(time.Minute))
		}, Unsuspected},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger("i0")
			c.observe(l)
			now := start.Add(10 * time.Second)
			is.Equal(l.Peek(request, []fleet.ServiceID{"s", "s2"}, now), c.want)
			is.Equal(l.Peek(request, []fleet.ServiceID{"elsewhere"}, now), Unsuspected) // the route has moved to another service
			is.Equal(l.Peek(NewFingerprint([]byte("request of another caller")), []fleet.ServiceID{"s"}, now), Unsuspected)
		})
	}
}

// crash records crashes of replicas, one a second; the request is suspected from the second one on.
func crash(l *Ledger, request Fingerprint, replicas ...int) {
	for i, n := range replicas {
		l.RecordCrash(request, crashAt(n, "s", float64(i+1), i > 0))
	}
}

// TestExplainedCrashes guards against a request that is held for the crashes of another one: it was in progress at the same
// replicas, also where it went alone. Whichever is held first, at this instance or at another one, only the deadly one
// stays so.
func TestExplainedCrashes(t *testing.T) {
	deadly, innocent := NewFingerprint([]byte("deadly")), NewFingerprint([]byte("innocent"))
	for name, first := range map[string]Fingerprint{"deadly one first": deadly, "other one first": innocent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ledgers := []*Ledger{NewLedger("i0"), NewLedger("i1")}
			l, second := ledgers[0], innocent
			if first == innocent {
				second = deadly
			}
			crash(l, first, 1, 2, 3)
			crash(l, second, 1, 2, 3)
			is.Equal(l.Peek(first, []fleet.ServiceID{"s"}, start.Add(4*time.Second)), Held)
			is.True(l.Peek(second, []fleet.ServiceID{"s"}, start.Add(4*time.Second)) != Held)
			for n := 4; n < 7; n++ { // the deadly one crashes replicas alone
				l.RecordCrash(deadly, crashAt(n, "s", float64(n), true))
			}
			l.RecordAnswer(innocent, "s", start.Add(8*time.Second))
			shareAll(is, ledgers, 0, start.Add(9*time.Second))
			for _, l := range ledgers {
				is.Equal(l.Peek(deadly, []fleet.ServiceID{"s"}, start.Add(9*time.Second)), Held)
				is.Equal(l.Peek(innocent, []fleet.ServiceID{"s"}, start.Add(9*time.Second)), Unsuspected)
			}
		})
	}
}

// TestTrialsAreRare guards against trials of a held request that cost many replicas: over a month, with the request
// coming each ten seconds at each of the instances and crashing the replica each time.
func TestTrialsAreRare(t *testing.T) {
	for _, instances := range []int{1, 4, 33} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			request := NewFingerprint([]byte("request"))
			ids := make([]fleet.InstanceID, instances)
			ledgers := make([]*Ledger, instances)
			for i := range ledgers {
				ids[i] = fleet.InstanceID(fmt.Sprint("i", i))
				ledgers[i] = NewLedger(ids[i])
			}
			for _, l := range ledgers {
				l.SetInstances(ids)
				crash(l, request, 1, 2, 3)
			}
			var trials []time.Duration
			for now := start.Add(3 * time.Second); now.Before(start.Add(24 * time.Hour)); now = now.Add(10 * time.Second) {
				for i, l := range ledgers {
					standing, until := l.Standing(request, []fleet.ServiceID{"s"}, now)
					is.True(standing == Held || standing == OnTrial)
					is.True(until.After(now)) // a true Retry-After
					if standing != OnTrial {
						continue
					}
					trials = append(trials, now.Sub(start))
					l.RecordCrash(request, Crash{Replica: "s-9", StartedAt: now.UnixMilli(), Service: "s", At: now, Suspected: true})
					shareAll(is, ledgers, i, now)
				}
			}
			t.Log("trials after", trials)
			is.True(len(trials) == 3) // the bound of the users' rule for good, a day here
		})
	}
}

// shareAll gives all ledgers what one of them has found.
func shareAll(is *is.I, ledgers []*Ledger, from int, now time.Time) {
	text, err := json.Marshal(ledgers[from].takeUnshared(maxReported, now))
	is.NoErr(err)
	var messages []entryMessage
	is.NoErr(json.Unmarshal(text, &messages))
	for i, l := range ledgers {
		if i != from {
			l.merge(messages, nil, now)
		}
	}
}

// TestTrialClears guards against a request that stays held after its replicas were repaired: the answer of one trial lets
// it go at all instances, also at one that is told of the former crashes again.
func TestTrialClears(t *testing.T) {
	is := is.New(t)
	request := NewFingerprint([]byte("request"))
	ledgers := []*Ledger{NewLedger("i0"), NewLedger("i1")}
	crash(ledgers[0], request, 1, 2, 3)
	shareAll(is, ledgers, 0, start.Add(3*time.Second))
	stale := ledgers[1].snapshot(1, start.Add(3*time.Second))
	now := start.Add(3 * time.Minute)
	standing, _ := ledgers[0].Standing(request, []fleet.ServiceID{"s"}, now)
	is.Equal(standing, OnTrial)
	is.True(ledgers[0].RecordAnswer(request, "s", now))
	shareAll(is, ledgers, 0, now)
	for i := range stale {
		for k := range stale[i].Crashes {
			stale[i].Crashes[k].AgeMillis += now.Sub(start.Add(3 * time.Second)).Milliseconds()
		}
	}
	for _, l := range ledgers {
		l.merge(stale, nil, now)
		is.Equal(l.Peek(request, []fleet.ServiceID{"s"}, now), Unsuspected)
		is.True(l.Empty())
	}
	values, removed := ledgers[0].takeUnarchived(10, now)
	is.Equal(len(values), 0)
	is.Equal(removed, []Fingerprint{request}) // from the store
}

// TestFloodOfReports guards against peers that fill the memory, or that push out what this instance has found itself.
func TestFloodOfReports(t *testing.T) {
	is := is.New(t)
	l := NewLedger("i0")
	request := NewFingerprint([]byte("request"))
	crash(l, request, 1, 2, 3)
	for i := range 4 * maxEntries {
		m := entryMessage{Fingerprint: NewFingerprint([]byte(fmt.Sprint(i))), Holds: 4, HeldMillis: 1 << 60}
		for n := range 3 {
			m.Crashes = append(m.Crashes, crashMessage{Replica: fleet.ServerID(fmt.Sprint(i, n)), Service: "s", Suspected: true})
		}
		l.merge([]entryMessage{m}, nil, start.Add(time.Duration(i)*time.Second))
	}
	is.True(len(l.entries) <= maxEntries)
	is.Equal(l.Peek(request, []fleet.ServiceID{"s"}, start.Add(5*time.Hour)), Held)
	is.True(len(l.crashed) <= maxEntries*maxCrashes)
	for _, e := range l.entries {
		is.True(!e.heldUntil.After(start.Add(10 * 24 * time.Hour)))
	}
}

// TestFalseReports guards against messages of peers that are out of bounds, that claim crashes of replicas that answer
// this instance, or a hold without crashes.
func TestFalseReports(t *testing.T) {
	request := NewFingerprint([]byte("request"))
	good := crashMessage{Replica: "r", Service: "s", Suspected: true}
	long := crashMessage{Replica: fleet.ServerID(make([]byte, maxNameBytes+1)), Service: "s"}
	answering := crashMessage{Replica: "answering", Service: "s", Suspected: true}
	for name, m := range map[string]entryMessage{
		"no crashes":             {Holds: 2, HeldMillis: 1000},
		"too many crashes":       {Crashes: make([]crashMessage, maxCrashes+1)},
		"negative age":           {Crashes: []crashMessage{{AgeMillis: -1}}},
		"great age":              {Crashes: []crashMessage{{AgeMillis: 1 << 62}}},
		"negative hold":          {Holds: -1, Crashes: []crashMessage{good}},
		"long name":              {Crashes: []crashMessage{long}},
		"answering replicas":     {Holds: 1, Crashes: []crashMessage{answering}},
		"negative time held":     {Holds: 1, HeldMillis: -5, Crashes: []crashMessage{good}},
		"negative time of clear": {ClearedMillis: -5, Crashes: []crashMessage{good}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger("i0")
			m.Fingerprint = request
			l.merge([]entryMessage{m}, func(c Crash) bool { return c.Replica == "answering" }, start)
			is.Equal(l.Peek(request, []fleet.ServiceID{"s"}, start), Unsuspected)
		})
	}
}

// TestMergeCallsOutWithoutLock guards against instances that stop following the store: a check of what a peer says waited for
// the engine, whose update waited for the ledger.
func TestMergeCallsOutWithoutLock(t *testing.T) {
	l := NewLedger("i0")
	merged := make(chan struct{})
	go func() {
		defer close(merged)
		m := entryMessage{Fingerprint: NewFingerprint([]byte("request")), Crashes: []crashMessage{{Replica: "r", Service: "s"}}}
		l.merge([]entryMessage{m}, func(Crash) bool {
			l.ConfirmLosses(func(string) int64 { return 0 }, start)
			return false
		}, start)
	}()
	select {
	case <-merged:
	case <-time.After(10 * time.Second):
		t.Fatal("the check waits for the ledger")
	}
}

// TestRestore guards against held requests that the store keeps and that instances that start do not read, and against
// values of another writer.
func TestRestore(t *testing.T) {
	is := is.New(t)
	request := NewFingerprint([]byte("request"))
	l, later := NewLedger("i0"), NewLedger("i1")
	crash(l, request, 1, 2, 3)
	values, _ := l.takeUnarchived(10, start.Add(3*time.Second))
	is.Equal(len(values), 1)
	now := start.Add(time.Hour)
	is.NoErr(later.Restore(values[request], now))
	is.Equal(later.Peek(request, []fleet.ServiceID{"s"}, now), Held)
	standing, _ := later.Standing(request, []fleet.ServiceID{"s"}, now)
	is.Equal(standing, OnTrial) // the trial has become due meanwhile
	for _, value := range []string{``, `null`, `[]`, `{"fingerprint":"00"}`, `{"crashes":7}`, `{"held-millis":1e400}`} {
		before := len(later.entries)
		_ = later.Restore([]byte(value), now) // an error or nothing, but no entry
		is.Equal(len(later.entries), before)
	}
}
