package query

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

type tableRouter map[fleet.ServerID]fleet.InstanceID

func (r tableRouter) Route(server fleet.ServerID) (fleet.InstanceID, bool) {
	owner, ok := r[server]
	return owner, ok
}

// benchEngine has an engine over a fleet of this many servers, eight or nine to an owner.
func benchEngine(servers, shards int, sender Sender) (*Engine, world) {
	w := newWorld(servers/2, catalogue.Service{Idempotent: true, Deadline: time.Minute, CoverageFloor: 1})
	router := make(tableRouter, servers)
	for i, server := range w.servers {
		router[server.ID] = fleet.InstanceID(fmt.Sprintf("entry-%d", i*2/17))
	}
	engine := New("zone-a", sender, router, snapshot.NewHoldings(), 1)
	engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, shards)))
	return engine, w
}

// BenchmarkDecision is the decision path of one subrequest: choose a replica with a reachable owner, set the
// hedge time, fill the budgets, decide the hedge, and account the answer.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			engine, w := benchEngine(servers, 170, echoSender{})
			now := time.Now()
			q := &query{engine: engine, plan: engine.plan.Load(), version: 1, draw: 1}
			shard := shardRun{tried: make([]*replicaState, 0, 4)}
			result := Result{Version: 1, Held: []snapshot.Version{1}, Warm: true, Rows: json.RawMessage("1")}
			services := make([]*service, w.count)
			for i := range services {
				services[i] = q.plan.services[serviceName(i)]
				for j := range services[i].replicas {
					services[i].replicas[j].state.account(&result, now, now)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				shard.service = services[(i*7919)%len(services)]
				shard.tried = shard.tried[:0]
				decide(q, &shard, &result, now, time.Duration(i%5000)*time.Microsecond)
			}
		})
	}
}

// decide is the work of one subrequest between its messages.
func decide(q *query, shard *shardRun, result *Result, now time.Time, took time.Duration) {
	stats := shard.service.stats
	chosen, _ := q.choose(shard, false, now)
	chosen.state.inFlight.Add(1)
	shard.tried = append(shard.tried, chosen.state)
	stats.retries.earn(retryEarn)
	stats.hedges.earn(hedgeEarn)
	if took > stats.hedgeDelay(&q.engine.overall, time.Second) {
		if other, _ := q.choose(shard, true, now); other != nil {
			stats.hedges.take()
		}
	}
	chosen.state.inFlight.Add(-1)
	chosen.state.account(result, now, now.Add(took))
	q.observe(shard, took)
}

// BenchmarkQuery is a whole query through an engine whose parts are answered at once; its figures for
// each part include the result messages, the answer and the mailbox.
func BenchmarkQuery(b *testing.B) {
	for _, fanOut := range []int{20, 170} {
		for _, servers := range []int{1000, 44000} {
			b.Run(fmt.Sprintf("fan-out=%d/servers=%d", fanOut, servers), func(b *testing.B) {
				engine, _ := benchEngine(servers, fanOut, echoSender{})
				request := Request{Application: "race", ID: "q", Query: json.RawMessage("1")}
				b.ReportAllocs()
				for b.Loop() {
					request.Deadline = time.Now().Add(time.Minute)
					if _, refusal := engine.Run(context.Background(), request); refusal != nil {
						b.Fatal(refusal)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut), "ns/part")
			})
		}
	}
}
