package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ownership"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

type instantTransport struct{}

func (instantTransport) Do(context.Context, fleet.Server, Call) (Answer, error) {
	return Answer{StartMark: "1"}, nil
}

// benchOwner returns an Owner of count servers, its ownership table and the servers.
func benchOwner(count int) (*Owner, *ownership.Table, []fleet.Server) {
	servers := make([]fleet.Server, count)
	services := make([]catalogue.Service, 0, count/2)
	for i := range servers {
		service := fleet.ServiceID(fmt.Sprint("service-", i/2))
		servers[i] = fleet.Server{ID: fleet.ServerID(fmt.Sprint("server-", i)), Service: service, Zone: "z", Region: "r"}
		if i%2 == 0 {
			services = append(services, catalogue.Service{ID: service, Slots: 3, MaxConnections: 30})
		}
	}
	self := fleet.Entry{ID: "e0", Zone: "z", Region: "r"}
	view := fleet.NewView([]fleet.Entry{self}, servers)
	reach := fleet.NewReachability(self, view, nil, nil, time.Now().Add(time.Hour))
	table := ownership.NewTable(reach, func(fleet.ServiceID) (int, int) { return 3, 30 })
	inForce := catalogue.New(services)
	owner := New(Dependencies{
		Self: "e0", Transport: instantTransport{}, Claim: table.Claim, Server: view.Server, Random: rand.NewPCG(1, 2),
		Fresh:     func() bool { return reach.Fresh(time.Now()) },
		Catalogue: func() catalogue.Catalogue { return inForce },
	})
	return owner, table, servers
}

// BenchmarkDecision measures routing, the policy checks, admission, and the accounting of the outcome. It excludes the
// creation of the task, its context and its goroutine. "owns-9" matches an instance at the target size, which routes
// among all servers but admits only for the 9 that it owns; "owns-all" admits for every server.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{1000, 5000, 15000, 44000} {
		for name, owned := range map[string]int{"owns-9": 9, "owns-all": count} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				owner, table, servers := benchOwner(count)
				t := &task{ctx: context.Background(), coordinator: "c"}
				deadline := time.Now().Add(time.Hour)
				decide := func(i int) {
					server := &servers[i%owned]
					table.Owner(servers[i].ID)
					t.part = query.Part{Attempt: uint64(i), Service: server.Service, Server: server.ID, Deadline: deadline}
					now := time.Now()
					listed, slots, refusal := owner.checkPolicyAndFence(server.ID)
					service, _ := owner.Catalogue().Service(server.Service)
					t.class, t.expectedServiceTime = service.Class, service.LatencyObjective
					l := owner.limiter(server.ID, now)
					if refusal == nil {
						refusal = l.admit(now, t, listed.Address, slots)
					}
					if refusal != nil {
						b.Fatal(refusal)
					}
					if result := l.finish(now, t, Answer{StartMark: "1"}, nil); result.Err != nil {
						b.Fatal(result.Err)
					}
				}
				for i := range count {
					decide(i)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					decide(i)
					i = (i + 7919) % count
				}
			})
		}
	}
}

// BenchmarkRun measures one part from Run to its result, with a transport that answers immediately.
func BenchmarkRun(b *testing.B) {
	owner, _, servers := benchOwner(44000)
	done := make(chan *verdict.Error)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		part := query.Part{Attempt: uint64(i), Service: servers[i].Service, Server: servers[i].ID, Deadline: time.Now().Add(time.Second)}
		owner.Run(context.Background(), "c", []query.Part{part}, func(r query.Result) { done <- r.Err })
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		i = (i + 7919) % len(servers)
	}
}
