package cluster

// Open-loop load generator: queries start at a fixed rate that doesn't depend on the answers. In a closed loop, slow
// answers would reduce the rate and so be hidden.

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/client"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Load describes a load: its rates and its duration.
type Load struct {
	// PerSecond holds the number of queries per second for each application; each is above 0.
	PerSecond map[string]int
	// Seconds is the duration of the load.
	Seconds float64
}

// Outcome is the result of the queries of one application.
type Outcome struct {
	// Queries counts all queries. Each is one of Complete (answered by all shards), Partial (answered by some),
	// Refused, or Failed (neither answer nor refusal).
	Queries, Complete, Partial, Refused, Failed int
	// Asked and Answered count the shards of all answers.
	Asked, Answered int
	// Latencies holds the response times of answers.
	Latencies Latencies
	// Refusals holds the response times of refusals; WithRetryAfter counts those that say after which time to retry.
	Refusals       Latencies
	WithRetryAfter int
	// Reasons counts the refusals by reason, and Missing the shards without an answer by reason, both of answers and of
	// refusals.
	Reasons, Missing map[verdict.Reason]int
	// Keys holds the non-idempotent queries that were answered, which contain their keys.
	Keys []string
	// Mismatches holds the mismatches between answers and the generated data, one error for each wrong answer.
	Mismatches []error
}

// countMissing counts the missing shards of an answer or a refusal by reason. A nil coverage has none.
func (o *Outcome) countMissing(coverage *api.Coverage) {
	if coverage == nil {
		return
	}
	for _, missing := range coverage.Missing {
		o.Missing[missing.Reason]++
	}
}

// Coverage returns the share of the shards of all answers that were answered, or 0 if there are no answers.
func (o *Outcome) Coverage() float64 {
	if o.Asked == 0 {
		return 0
	}
	return float64(o.Answered) / float64(o.Asked)
}

// Generator sends queries to the ready entry instances in turn, as a load balancer would.
type Generator struct {
	cluster      *Cluster
	ticketClient *client.Client
	// nextNumber is the first query number of the next load. Each application of a load has a range of 1<<20 numbers.
	nextNumber uint64

	mutex sync.Mutex // guards ready
	// ready holds the indexes of the entry instances that were ready at the last check.
	ready []int
}

// NewGenerator returns a generator that sends to all entry instances until the ready ones are known.
func (c *Cluster) NewGenerator() (*Generator, error) {
	entries := make([]string, len(c.Entries))
	ready := make([]int, len(c.Entries))
	for n, e := range c.Entries {
		entries[n], ready[n] = "http://"+e.callerAddress, n
	}
	ticketClient, err := client.New(client.Settings{Entries: entries, HTTP: &http.Client{}}, rand.New(rand.NewSource(int64(c.Seed))))
	return &Generator{cluster: c, ticketClient: ticketClient, ready: ready}, err
}

// PollReady checks every 200 ms which entry instances are ready, as a load balancer does, until ctx ends. When none is
// ready, it keeps the last ones.
func (g *Generator) PollReady(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		var ready []int
		for n := range g.cluster.Entries {
			if g.cluster.Ready(ctx, n) {
				ready = append(ready, n)
			}
		}
		if len(ready) > 0 {
			g.mutex.Lock()
			g.ready = ready
			g.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pickReady returns the index of the entry instance for a query, round robin.
func (g *Generator) pickReady(number uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ready[number%uint64(len(g.ready))]
}

// Run sends the load, waits until all queries have ended and returns the outcomes by application.
func (g *Generator) Run(ctx context.Context, load Load) map[string]*Outcome {
	outcomes := make(map[string]*Outcome, len(load.PerSecond))
	var group sync.WaitGroup
	var mutex sync.Mutex
	for name, rate := range load.PerSecond {
		outcome := &Outcome{Reasons: make(map[verdict.Reason]int), Missing: make(map[verdict.Reason]int)}
		outcomes[name] = outcome
		first := g.nextNumber
		g.nextNumber += 1 << 20
		group.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for number := first; number < first+uint64(load.Seconds*float64(rate)) && ctx.Err() == nil; number++ {
				group.Go(func() { g.sendOne(ctx, name, number, outcome, &mutex) })
				<-ticker.C
			}
		})
	}
	group.Wait()
	return outcomes
}

// sendOne sends one query, compares the answer with the generated data and adds the result to the outcome under the
// mutex.
func (g *Generator) sendOne(ctx context.Context, name string, number uint64, outcome *Outcome, mutex *sync.Mutex) {
	application := g.cluster.applications[name]
	query := api.Query{
		ID: fmt.Sprintf("%s-%d", name, number), DeadlineMillis: int64(application.DeadlineMillis), Query: application.Data.Query(number),
	}
	started := time.Now()
	answer, refusal, err := g.send(ctx, name, number, query, application.Idempotent)
	elapsed := time.Since(started)
	var mismatch error
	if answer != nil {
		mismatch = g.cluster.Check(name, query, answer)
	}
	mutex.Lock()
	defer mutex.Unlock()
	outcome.Queries++
	switch {
	case err != nil:
		outcome.Failed++
		return
	case answer == nil:
		outcome.Refused++
		outcome.Refusals = append(outcome.Refusals, elapsed)
		if refusal.RetryAfterMillis > 0 {
			outcome.WithRetryAfter++
		}
		outcome.Reasons[refusal.Reason]++
		outcome.countMissing(refusal.Coverage)
		return
	case answer.Coverage.Answered == answer.Coverage.Asked:
		outcome.Complete++
	default:
		outcome.Partial++
		outcome.countMissing(&answer.Coverage)
	}
	outcome.Asked += answer.Coverage.Asked
	outcome.Answered += answer.Coverage.Answered
	outcome.Latencies = append(outcome.Latencies, elapsed)
	if !application.Idempotent {
		outcome.Keys = append(outcome.Keys, string(query.Query))
	}
	if mismatch != nil {
		outcome.Mismatches = append(outcome.Mismatches, mismatch)
	}
}

// send sends a non-idempotent query with a ticket through the client library, and an idempotent one by HTTP to a ready
// entry instance. The baseline has no tickets, so it gets all queries by HTTP.
func (g *Generator) send(ctx context.Context, name string, number uint64, query api.Query, idempotent bool) (*api.Answer, *api.Refusal, error) {
	if idempotent || g.cluster.Baseline {
		return g.cluster.Query(ctx, g.pickReady(number), name, query)
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(query.DeadlineMillis)*time.Millisecond)
	defer cancel()
	answer, err := g.ticketClient.Query(bounded, client.Request{Application: name, ID: query.ID, Query: query.Query})
	if failure, ok := errors.AsType[*verdict.Error](err); ok {
		return nil, &api.Refusal{
			Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail, RetryAfterMillis: failure.RetryAfter.Milliseconds(),
		}, nil
	}
	return &answer, nil, err
}
