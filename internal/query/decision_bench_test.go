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

// ownerTable looks up owners in a fixed table.
type ownerTable map[fleet.ServerID]fleet.InstanceID

func (r ownerTable) Owner(server fleet.ServerID) (fleet.InstanceID, bool) {
	owner, ok := r[server]
	return owner, ok
}

// benchEngine returns an engine with the given number of backend servers. Each owner has eight or nine of them.
func benchEngine(servers, shards int, sender Sender) (*Engine, testFleet) {
	tf := newTestFleet(servers/2, catalogue.Service{Idempotent: true, Deadline: time.Minute, MinCoverage: 1})
	owners := make(ownerTable, servers)
	for i, server := range tf.servers {
		owners[server.ID] = fleet.InstanceID(fmt.Sprintf("entry-%d", i*2/17))
	}
	engine := New("zone-a", sender, owners, snapshot.NewHoldings(), 1)
	engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, shards)))
	return engine, tf
}

// BenchmarkDecision measures the decisions for one part: choose a replica with a reachable owner, set the hedge delay,
// fill the budgets, decide on the hedge, and record the result.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			engine, tf := benchEngine(servers, 170, echoSender{})
			now := time.Now()
			q := &query{engine: engine, plan: engine.plan.Load(), version: 1, rng: 1}
			shard := shardRun{tried: make([]*replicaState, 0, 4)}
			result := Result{Version: 1, HeldVersions: []snapshot.Version{1}, Warm: true, Rows: json.RawMessage("1")}
			services := make([]*service, tf.services)
			for i := range services {
				services[i] = q.plan.services[serviceName(i)]
				for j := range services[i].replicas {
					services[i].replicas[j].state.recordResult(&result, now, now)
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

// decide does the work that one part causes apart from sending and receiving messages.
func decide(q *query, shard *shardRun, result *Result, now time.Time, latency time.Duration) {
	stats := shard.service.stats
	chosen, _ := q.chooseReplica(shard, false, now)
	chosen.state.inFlight.Add(1)
	shard.tried = append(shard.tried, chosen.state)
	stats.retryBudget.deposit(retryDeposit)
	stats.hedgeBudget.deposit(hedgeDeposit)
	if latency > stats.hedgeDelay(&q.engine.pooledStats, time.Second) {
		if other, _ := q.chooseReplica(shard, true, now); other != nil {
			stats.hedgeBudget.tryWithdraw()
		}
	}
	chosen.state.inFlight.Add(-1)
	chosen.state.recordResult(result, now, now.Add(latency))
	q.observeLatency(shard, latency)
}

// BenchmarkQuery measures a whole query whose parts are answered at once. Its time per part includes the results, their
// queue and the answer.
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
