package schedule

// The load: fan-out queries, requests that must not run twice with a ticket, which some callers repeat at other
// instances before the first attempt has ended, and such requests without a ticket. Callers use the instances that were
// ready at the last check.

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
	queriesPerSecond    = 15
	ticketedPerSecond   = 10
	unticketedPerSecond = 5
	// burstSize is the number of fan-out queries that are sent at once in a burst.
	burstSize = 12
	// balancerInterval is the time between two readiness checks, as of a load balancer.
	balancerInterval = 500 * time.Millisecond
	// loadTimeout bounds the duration of the load.
	loadTimeout = 150 * time.Second

	searchDeadline     = time.Second
	settlementDeadline = 500 * time.Millisecond
	// callTimeout bounds a call, which an instance that is paused does not answer.
	callTimeout = 3 * time.Second
)

// attempt is one call to an entry instance and its result.
type attempt struct {
	entry          int
	started, ended time.Time
	deadline       time.Duration
	query          api.Query
	answer         *api.Answer
	refusal        *api.Refusal
	err            error
}

// load sends the calls of a run and records their results. The mutex guards the fields below it.
type load struct {
	cluster *cluster.Cluster

	mutex  sync.Mutex
	random *rand.Rand
	// ready holds the result of the last readiness check of each instance.
	ready      map[int]bool
	lastNumber int
	// queries holds the fan-out queries, and attemptsByKey the attempts at each request that must not run twice.
	queries       []attempt
	attemptsByKey map[string][]attempt
	// answered counts the fan-out queries with an answer.
	answered int
}

func newLoad(c *cluster.Cluster, seed uint64) *load {
	l := &load{cluster: c, random: rand.New(rand.NewPCG(seed, 1)), ready: make(map[int]bool), attemptsByKey: make(map[string][]attempt)}
	for n := range c.Entries {
		l.ready[n] = true
	}
	return l
}

func (l *load) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var group sync.WaitGroup
	for n := range l.cluster.Entries {
		group.Go(func() { l.pollReadiness(ctx, n) })
	}
	group.Go(func() { l.sendAtRate(ctx, queriesPerSecond, l.query) })
	group.Go(func() { l.sendAtRate(ctx, ticketedPerSecond, l.ticketed) })
	group.Go(func() { l.sendAtRate(ctx, unticketedPerSecond, l.unticketed) })
	group.Wait()
}

// sendAtRate starts calls at a fixed rate, whether or not earlier calls have ended, and waits for all of them. Calls
// are not cancelled when ctx ends, so that every call has a result.
func (l *load) sendAtRate(ctx context.Context, rate int, call func(context.Context, int)) {
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
		l.lastNumber++
		number := l.lastNumber
		l.mutex.Unlock()
		group.Go(func() { call(context.WithoutCancel(ctx), number) })
	}
}

// pollReadiness checks regularly whether an instance is ready, as a load balancer does. The result is outdated by at
// most balancerInterval plus the time of one check, which is less than the balancer lag that the instances are
// configured for.
func (l *load) pollReadiness(ctx context.Context, n int) {
	for ctx.Err() == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, monitorTimeout)
		ready := l.cluster.Ready(timeoutCtx, n)
		cancel()
		l.mutex.Lock()
		l.ready[n] = ready
		l.mutex.Unlock()
		time.Sleep(balancerInterval)
	}
}

// pickReady returns a random instance that was ready, other than excluded. If there is none, it returns excluded, or
// the first instance if excluded is -1.
func (l *load) pickReady(excluded int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ready []int
	for n := range l.cluster.Entries {
		if l.ready[n] && n != excluded {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return max(excluded, 0)
	}
	return ready[l.random.IntN(len(ready))]
}

// chance reports whether a random event with the given probability occurs.
func (l *load) chance(percent int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.IntN(100) < percent
}

// call sends a query to an entry instance and returns the result.
func (l *load) call(ctx context.Context, entry int, application string, query api.Query) attempt {
	timeoutCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := attempt{entry: entry, started: time.Now(), deadline: time.Duration(query.DeadlineMillis) * time.Millisecond, query: query}
	a.answer, a.refusal, a.err = l.cluster.Query(timeoutCtx, entry, application, query)
	a.ended = time.Now()
	return a
}

// searchQuery returns a fan-out query with a tag by which the servers record its executions.
func (l *load) searchQuery(number int) api.Query {
	data := l.cluster.Application(searchApplication).Data.Query(uint64(number))
	tagged := fmt.Sprintf(`{"tag":"q-%d",%s`, number, data[1:])
	return api.Query{ID: fmt.Sprintf("q-%d", number), DeadlineMillis: searchDeadline.Milliseconds(), Query: json.RawMessage(tagged)}
}

// query sends a fan-out query to an instance that was ready.
func (l *load) query(ctx context.Context, number int) { l.queryAt(ctx, -1, number) }

// queryAt sends a fan-out query to the instance, or with -1 to one that was ready, and records the result.
func (l *load) queryAt(ctx context.Context, entry, number int) {
	if entry < 0 {
		entry = l.pickReady(-1)
	}
	a := l.call(ctx, entry, searchApplication, l.searchQuery(number))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queries = append(l.queries, a)
	if a.answer != nil {
		l.answered++
	}
}

// burst sends fan-out queries at once, to the instance or with -1 to instances that were ready, and returns when all
// have ended.
func (l *load) burst(entry, count int) {
	var group sync.WaitGroup
	for range count {
		l.mutex.Lock()
		l.lastNumber++
		number := l.lastNumber
		l.mutex.Unlock()
		group.Go(func() { l.queryAt(context.Background(), entry, number) })
	}
	group.Wait()
}

// probe sends a query to an instance and reports whether the answer was complete.
func (l *load) probe(ctx context.Context, n int) bool {
	l.mutex.Lock()
	l.lastNumber++
	number := l.lastNumber
	l.mutex.Unlock()
	a := l.call(ctx, n, searchApplication, l.searchQuery(number))
	return a.answer != nil && a.answer.Coverage.Answered == a.answer.Coverage.Asked
}

// recordAttempt records an attempt at a request that must not run twice.
func (l *load) recordAttempt(key string, a attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attemptsByKey[key] = append(l.attemptsByKey[key], a)
}

// settlementQuery returns a request that must not run twice; the ticket may be empty.
func settlementQuery(key, ticket string) api.Query {
	return api.Query{
		ID: key, DeadlineMillis: settlementDeadline.Milliseconds(), Ticket: ticket, Query: json.RawMessage(`{"key":"` + key + `"}`),
	}
}

// ticketed sends a request with a ticket. Half of the callers repeat it at another instance within 20 ms, while the
// first attempt may be in progress. If the first attempt gets no answer, the caller repeats the request up to twice
// more until it gets one.
func (l *load) ticketed(ctx context.Context, number int) {
	timeoutCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	issuer := l.pickReady(-1)
	tickets, err := l.cluster.Tickets(timeoutCtx, issuer, 1)
	if err != nil {
		return // nothing was sent
	}
	key := fmt.Sprintf("t-%d", number)
	first, impatient := l.pickReady(-1), l.chance(50)
	var group sync.WaitGroup
	if impatient {
		group.Go(func() {
			time.Sleep(time.Duration(number%20) * time.Millisecond)
			l.recordAttempt(key, l.call(ctx, l.pickReady(first), settlementApplication, settlementQuery(key, tickets[0])))
		})
	}
	a := l.call(ctx, first, settlementApplication, settlementQuery(key, tickets[0]))
	l.recordAttempt(key, a)
	group.Wait()
	for repeat := 0; a.answer == nil && repeat < 2; repeat++ {
		time.Sleep(100 * time.Millisecond)
		a = l.call(ctx, l.pickReady(first), settlementApplication, settlementQuery(key, tickets[0]))
		l.recordAttempt(key, a)
	}
}

// unticketed sends a request without a ticket, and repeats it only after a "not run" refusal.
func (l *load) unticketed(ctx context.Context, number int) {
	key := fmt.Sprintf("p-%d", number)
	for entry, repeat := -1, 0; repeat < 4; repeat++ {
		entry = l.pickReady(entry)
		a := l.call(ctx, entry, settlementApplication, settlementQuery(key, ""))
		l.recordAttempt(key, a)
		if a.refusal == nil || a.refusal.Verdict != verdict.NotRun {
			return
		}
		time.Sleep(min(time.Duration(a.refusal.RetryAfterMillis)*time.Millisecond, 200*time.Millisecond))
	}
}
