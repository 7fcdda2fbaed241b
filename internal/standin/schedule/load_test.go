package schedule

// The load: fan-out queries, requests that must not run twice with a ticket, repeated by an impatient caller
// elsewhere, and such requests without a ticket. Callers go to the instances that were ready a moment ago.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	queriesPerSecond  = 15
	ticketedPerSecond = 10
	plainPerSecond    = 5
	// bursts is the number of fan-out queries that begin at once in each episode.
	bursts = 12
	// balancerPeriod is the time between two checks of the balancer.
	balancerPeriod = 500 * time.Millisecond
	// loadBound ends the load in any case.
	loadBound = 150 * time.Second

	searchDeadline     = time.Second
	settlementDeadline = 500 * time.Millisecond
	// callTimeout ends a call whose instance is stopped.
	callTimeout = 3 * time.Second
)

// attempt is one call and what came back.
type attempt struct {
	entry          int
	started, ended time.Time
	deadline       time.Duration
	query          api.Query
	answer         *api.Answer
	refusal        *api.Refusal
	err            error
}

type load struct {
	cluster *cluster.Cluster

	mutex  sync.Mutex
	random *rand.Rand
	ready  map[int]bool
	number int
	// queries holds the fan-out queries, effects the attempts at each key.
	queries []attempt
	effects map[string][]attempt
	// answered counts the fan-out queries with an answer.
	answered int
}

func newLoad(c *cluster.Cluster, seed uint64) *load {
	l := &load{cluster: c, random: rand.New(rand.NewPCG(seed, 1)), ready: make(map[int]bool), effects: make(map[string][]attempt)}
	for n := range c.Entries {
		l.ready[n] = true
	}
	return l
}

func (l *load) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadBound)
	defer cancel()
	var group sync.WaitGroup
	for n := range l.cluster.Entries {
		group.Go(func() { l.follow(ctx, n) })
	}
	group.Go(func() { l.each(ctx, queriesPerSecond, l.query) })
	group.Go(func() { l.each(ctx, ticketedPerSecond, l.ticketed) })
	group.Go(func() { l.each(ctx, plainPerSecond, l.plain) })
	group.Wait()
}

// each starts calls at a fixed rate whatever their answers do, and waits for all. A call that has begun ends also
// when ctx has ended, so that every call has an outcome.
func (l *load) each(ctx context.Context, rate int, call func(context.Context, int)) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mutex.Lock()
		l.number++
		number := l.number
		l.mutex.Unlock()
		group.Go(func() { call(context.WithoutCancel(ctx), number) })
	}
}

// follow learns as a balancer does whether an instance is ready. Its lag is at most balancerPeriod and the time of one
// check, together less than the lag that the instances are set to.
func (l *load) follow(ctx context.Context, n int) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, monitorPatience)
		ready := l.cluster.Ready(bounded, n)
		cancel()
		l.mutex.Lock()
		l.ready[n] = ready
		l.mutex.Unlock()
		time.Sleep(balancerPeriod)
	}
}

// choose returns an instance that was ready, other than one of them if there is another.
func (l *load) choose(other int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ready []int
	for n := range l.cluster.Entries {
		if l.ready[n] && n != other {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return max(other, 0)
	}
	return ready[l.random.IntN(len(ready))]
}

func (l *load) chance(percent int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.IntN(100) < percent
}

func (l *load) call(ctx context.Context, entry int, application string, query api.Query) attempt {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := attempt{entry: entry, started: time.Now(), deadline: time.Duration(query.DeadlineMillis) * time.Millisecond, query: query}
	a.answer, a.refusal, a.err = l.cluster.Query(bounded, entry, application, query)
	a.ended = time.Now()
	return a
}

// searching returns a fan-out query whose executions can be told from those of all others.
func (l *load) searching(number int) api.Query {
	data := l.cluster.Application(search).Data.Query(uint64(number))
	tagged := fmt.Sprintf(`{"tag":"q-%d",%s`, number, data[1:])
	return api.Query{ID: fmt.Sprintf("q-%d", number), DeadlineMillis: searchDeadline.Milliseconds(), Query: json.RawMessage(tagged)}
}

func (l *load) query(ctx context.Context, number int) { l.queryAt(ctx, -1, number) }

func (l *load) queryAt(ctx context.Context, entry, number int) {
	if entry < 0 {
		entry = l.choose(-1)
	}
	a := l.call(ctx, entry, search, l.searching(number))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queries = append(l.queries, a)
	if a.answer != nil {
		l.answered++
	}
}

// burst sends queries at once, to one instance or with -1 to those that were ready, and returns when all have ended.
func (l *load) burst(entry, count int) {
	var group sync.WaitGroup
	for range count {
		l.mutex.Lock()
		l.number++
		number := l.number
		l.mutex.Unlock()
		group.Go(func() { l.queryAt(context.Background(), entry, number) })
	}
	group.Wait()
}

// probe asks an instance and tells whether its answer was whole.
func (l *load) probe(ctx context.Context, n int) bool {
	l.mutex.Lock()
	l.number++
	number := l.number
	l.mutex.Unlock()
	a := l.call(ctx, n, search, l.searching(number))
	return a.answer != nil && a.answer.Coverage.Answered == a.answer.Coverage.Asked
}

func (l *load) note(key string, a attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.effects[key] = append(l.effects[key], a)
}

func settling(key, ticket string) api.Query {
	return api.Query{
		ID: key, DeadlineMillis: settlementDeadline.Milliseconds(), Ticket: ticket, Query: json.RawMessage(`{"key":"` + key + `"}`),
	}
}

// ticketed sends a request with a ticket; half of the callers repeat it through another instance, at once or after
// the first attempt has ended without an answer.
func (l *load) ticketed(ctx context.Context, number int) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	issuer := l.choose(-1)
	tickets, err := l.cluster.Tickets(bounded, issuer, 1)
	if err != nil {
		return // nothing was sent
	}
	key := fmt.Sprintf("t-%d", number)
	first, impatient := l.choose(-1), l.chance(50)
	var group sync.WaitGroup
	if impatient {
		group.Go(func() {
			time.Sleep(time.Duration(number%20) * time.Millisecond)
			l.note(key, l.call(ctx, l.choose(first), settlement, settling(key, tickets[0])))
		})
	}
	a := l.call(ctx, first, settlement, settling(key, tickets[0]))
	l.note(key, a)
	group.Wait()
	for repeat := 0; a.answer == nil && repeat < 2; repeat++ {
		time.Sleep(100 * time.Millisecond)
		a = l.call(ctx, l.choose(first), settlement, settling(key, tickets[0]))
		l.note(key, a)
	}
}

// plain sends a request without a ticket, and again only after a refusal that says "not run".
func (l *load) plain(ctx context.Context, number int) {
	key := fmt.Sprintf("p-%d", number)
	for entry, repeat := -1, 0; repeat < 4; repeat++ {
		entry = l.choose(entry)
		a := l.call(ctx, entry, settlement, settling(key, ""))
		l.note(key, a)
		if a.refusal == nil || a.refusal.Verdict != verdict.NotRun {
			return
		}
		time.Sleep(min(time.Duration(a.refusal.RetryAfterMillis)*time.Millisecond, 200*time.Millisecond))
	}
}
