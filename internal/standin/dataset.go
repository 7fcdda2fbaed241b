// Package standin simulates backend servers (stand-ins): their protocol, their limits, injected faults and data that is
// generated from a seed.
//
// A Host runs many servers in one process and owns their state; faults are injected and removed at run time. The
// package is for tests, the demo and measurements; no entry instance uses it.
package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Application is an application of an example deployment: its services, their limits and its data.
type Application struct {
	Name string
	// Idempotent and the fields down to DeadlineMillis are set from the example catalogues. Slots, Connections and
	// ConnectMillis apply to each server.
	Idempotent    bool
	Services      int
	Slots         int
	Connections   int
	ConnectMillis int
	// DeadlineMillis is the maximum time that a query may take.
	DeadlineMillis int
	// Replicas is the number of servers of each service.
	Replicas int
	// ServiceMillis is the median service time.
	ServiceMillis float64
	// ShardPrefix is the prefix of the shard names.
	ShardPrefix string
	Data        Data
}

// Data generates the rows that answer queries. They depend only on the seed, the shard, the index version and the
// query, so that a test can compute the expected answer.
type Data interface {
	// Rows returns the rows of one shard, or an error if the shard name or the query is malformed.
	Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error)
	// Query returns the nth of a deterministic series of queries.
	Query(n uint64) json.RawMessage
}

// withCatalogueLimits returns the application with the idempotency, the number of services and the limits of the
// example catalogues.
func withCatalogueLimits(a Application) Application {
	services := exampleServices(a.Name)
	first := services[0]
	a.Idempotent, a.Services, a.Slots, a.Connections = first.Idempotent, len(services), first.Slots, first.MaxConnections
	a.ConnectMillis, a.DeadlineMillis = int(first.ConnectCost.Milliseconds()), int(first.Deadline.Milliseconds())
	return a
}

// Service returns the name of a service of the application; numbers start at 1. An application with one service gives
// it its own name.
func (a Application) Service(number int) string {
	if a.Services == 1 {
		return a.Name
	}
	return fmt.Sprintf("%s-%02d", a.Name, number)
}

// Index returns the shard map of an index version: the service of each shard. An even version of an idempotent
// application has two shards for each service, an odd one has one, so that consecutive versions partition the data
// differently. A non-idempotent application has the same shards in all versions: two executions of a key are then
// always a duplicate.
func (a Application) Index(version uint64) map[string]string {
	count := a.Services
	if version%2 == 0 && a.Idempotent {
		count *= 2
	}
	shards := make(map[string]string, count)
	for i := range count {
		shards[fmt.Sprintf("%s-%02d-of-%02d", a.ShardPrefix, i+1, count)] = a.Service(i%a.Services + 1)
	}
	return shards
}

// Applications returns the applications with the given names from both example deployments, or all if no name is given.
func Applications(seed uint64, names ...string) ([]Application, error) {
	all := append(Paddlemark(seed), Guaman(seed)...)
	if len(names) == 0 {
		return all, nil
	}
	chosen := make([]Application, 0, len(names))
	for _, name := range names {
		found := false
		for _, application := range all {
			if application.Name == name {
				chosen = append(chosen, application)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("no application %q in the stand-in data", name)
		}
	}
	return chosen, nil
}

// parseShardName parses a shard name of the form NAME-01-of-20 and returns the zero-based index of the shard and the
// number of shards.
func parseShardName(shard string) (number, count uint64, err error) {
	head, last, ok := strings.Cut(shard, "-of-")
	if ok {
		dash := strings.LastIndexByte(head, '-')
		number, err = strconv.ParseUint(head[dash+1:], 10, 32)
		if err == nil {
			count, err = strconv.ParseUint(last, 10, 32)
		}
	}
	if !ok || err != nil || number == 0 || number > count {
		return 0, 0, fmt.Errorf("shard name %q is not of the form NAME-01-of-20", shard)
	}
	return number - 1, count, nil
}

// hash64 returns a hash of all its inputs in order (the finaliser of splitmix64, chained).
func hash64(values ...uint64) uint64 {
	state := uint64(0)
	for _, value := range values {
		state += value + 0x9e3779b97f4a7c15
		state = (state ^ state>>30) * 0xbf58476d1ce4e5b9
		state = (state ^ state>>27) * 0x94d049bb133111eb
		state ^= state >> 31
	}
	return state
}

// pick returns the name at the number modulo the number of names.
func pick(names []string, number uint64) string {
	return names[number%uint64(len(names))]
}

func encode(value any) (json.RawMessage, error) {
	return json.Marshal(value)
}
