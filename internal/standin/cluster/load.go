package cluster

// A bounded open-loop load: queries start at a fixed rate whatever the answers do, so that slow answers are not
// hidden by fewer queries.

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

// Load is the rate of queries for each application.
type Load struct {
	PerSecond map[string]int
	// Seconds bounds the load in time.
	Seconds float64
}

// Outcome is what the queries of one application came to.
type Outcome struct {
	Queries, Whole, Partial, Refused, Failed int
	Asked, Answered                          int
	Latencies                                Latencies
	// Refusals holds the times of refusals; WithRetryAfter counts those that say when to come back.
	Refusals       Latencies
	WithRetryAfter int
	// Reasons counts the refusals of queries, and Missing the shards without an answer, by reason.
	Reasons, Missing map[verdict.Reason]int
	// Keys holds the keys of the non-idempotent queries that were answered.
	Keys []string
	// Wrong holds answers that do not fit the data.
	Wrong []error
}

func (o *Outcome) missing(coverage *api.Coverage) {
	if coverage == nil {
		return
	}
	for _, missing := range coverage.Missing {
		o.Missing[missing.Reason]++
	}
}

// Coverage is the share of shards that were answered among those of all answers.
func (o *Outcome) Coverage() float64 {
	if o.Asked == 0 {
		return 0
	}
	return float64(o.Answered) / float64(o.Asked)
}

// Generator sends queries to the ready entry instances, as the balancer would.
type Generator struct {
	cluster *Cluster
	client  *client.Client
	number  uint64

	mutex sync.Mutex
	ready []int
}

// NewGenerator returns a generator that sends to every entry instance until Follow learns better.
func (c *Cluster) NewGenerator() (*Generator, error) {
	entries := make([]string, len(c.Entries))
	ready := make([]int, len(c.Entries))
	for n, e := range c.Entries {
		entries[n], ready[n] = "http://"+e.callers, n
	}
	once, err := client.New(client.Settings{Entries: entries, HTTP: &http.Client{}}, rand.New(rand.NewSource(int64(c.Seed))))
	return &Generator{cluster: c, client: once, ready: ready}, err
}

// Follow reads every 200 ms which instances are ready, as a balancer does, until ctx ends.
func (g *Generator) Follow(ctx context.Context) {
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

func (g *Generator) choose(number uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ready[number%uint64(len(g.ready))]
}

// Run sends the load and returns the outcomes by application once all queries have ended.
func (g *Generator) Run(ctx context.Context, load Load) map[string]*Outcome {
	outcomes := make(map[string]*Outcome, len(load.PerSecond))
	var group sync.WaitGroup
	var mutex sync.Mutex
	for name, rate := range load.PerSecond {
		outcome := &Outcome{Reasons: make(map[verdict.Reason]int), Missing: make(map[verdict.Reason]int)}
		outcomes[name] = outcome
		first := g.number
		g.number += 1 << 20
		group.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for number := first; number < first+uint64(load.Seconds*float64(rate)) && ctx.Err() == nil; number++ {
				group.Go(func() { g.one(ctx, name, number, outcome, &mutex) })
				<-ticker.C
			}
		})
	}
	group.Wait()
	return outcomes
}

func (g *Generator) one(ctx context.Context, name string, number uint64, outcome *Outcome, mutex *sync.Mutex) {
	application := g.cluster.applications[name]
	query := api.Query{
		ID: fmt.Sprintf("%s-%d", name, number), DeadlineMillis: int64(application.DeadlineMillis), Query: application.Data.Query(number),
	}
	started := time.Now()
	answer, refusal, err := g.send(ctx, name, number, query, application.Idempotent)
	elapsed := time.Since(started)
	var wrong error
	if answer != nil {
		wrong = g.cluster.Check(name, query, answer)
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
		outcome.missing(refusal.Coverage)
		return
	case answer.Coverage.Answered == answer.Coverage.Asked:
		outcome.Whole++
	default:
		outcome.Partial++
		outcome.missing(&answer.Coverage)
	}
	outcome.Asked += answer.Coverage.Asked
	outcome.Answered += answer.Coverage.Answered
	outcome.Latencies = append(outcome.Latencies, elapsed)
	if !application.Idempotent {
		outcome.Keys = append(outcome.Keys, string(query.Query))
	}
	if wrong != nil {
		outcome.Wrong = append(outcome.Wrong, wrong)
	}
}

// send uses a ticket through the client for what must not run twice, and plain HTTP for the rest. The baseline has no
// tickets.
func (g *Generator) send(ctx context.Context, name string, number uint64, query api.Query, idempotent bool) (*api.Answer, *api.Refusal, error) {
	if idempotent || g.cluster.Baseline {
		return g.cluster.Query(ctx, g.choose(number), name, query)
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(query.DeadlineMillis)*time.Millisecond)
	defer cancel()
	answer, err := g.client.Query(bounded, client.Request{Application: name, ID: query.ID, Query: query.Query})
	if failure, ok := errors.AsType[*verdict.Error](err); ok {
		return nil, &api.Refusal{
			Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail, RetryAfterMillis: failure.RetryAfter.Milliseconds(),
		}, nil
	}
	return &answer, nil, err
}
