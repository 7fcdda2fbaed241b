// Package standin holds stand-ins of the backend servers: their protocol, their limits, their faults and
// data that is generated from a seed.
//
// A Host runs many servers in one process and owns their state; faults are settings that change at run time.
// The package is for tests, the demo and measurements, and nothing of an entry instance uses it.
package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Application is an application of a deployment: its services, their limits and its data.
type Application struct {
	Name string
	// Idempotent and the limits are those of the example catalogues.
	Idempotent    bool
	Services      int
	Slots         int
	Connections   int
	ConnectMillis int
	// DeadlineMillis is the longest time that a query may take.
	DeadlineMillis int
	// Replicas is the number of servers of each service.
	Replicas int
	// ServiceMillis is the median service time.
	ServiceMillis float64
	// Shard is the start of the shards' names.
	Shard string
	Data  Data
}

// Data answers queries. The same seed, shard, version and query give the same rows.
type Data interface {
	// Rows returns the rows of one shard, or an error when the query is malformed.
	Rows(shard string, version uint64, query json.RawMessage) (json.RawMessage, error)
	// Query returns a query; n selects one among many.
	Query(n uint64) json.RawMessage
}

// sized returns the application with the number of services and the limits that the example catalogues give.
func sized(a Application) Application {
	services := exampleServices(a.Name)
	first := services[0]
	a.Idempotent, a.Services, a.Slots, a.Connections = first.Idempotent, len(services), first.Slots, first.Connections
	a.ConnectMillis, a.DeadlineMillis = int(first.ConnectCost.Milliseconds()), int(first.Deadline.Milliseconds())
	return a
}

// Service returns the name of a service of the application, counted from 1.
func (a Application) Service(number int) string {
	if a.Services == 1 {
		return a.Name
	}
	return fmt.Sprintf("%s-%02d", a.Name, number)
}

// Index returns the shard map of a version. An even version has two shards for each service, so that two
// versions differ in their partitions. What takes effect has one shard in all versions: a key that runs at two
// shards is then always a duplicate.
func (a Application) Index(version uint64) map[string]string {
	count := a.Services
	if version%2 == 0 && a.Idempotent {
		count *= 2
	}
	shards := make(map[string]string, count)
	for i := range count {
		shards[fmt.Sprintf("%s-%02d-of-%02d", a.Shard, i+1, count)] = a.Service(i%a.Services + 1)
	}
	return shards
}

// Applications returns the applications of both deployments whose names are listed; none means all.
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

// partition reads the number and the count of shards from a shard's name.
func partition(shard string) (number, count uint64, err error) {
	head, last, ok := strings.Cut(shard, "-of-")
	if ok {
		dash := strings.LastIndexByte(head, '-')
		number, err = strconv.ParseUint(head[dash+1:], 10, 32)
		if err == nil {
			count, err = strconv.ParseUint(last, 10, 32)
		}
	}
	if !ok || err != nil || number == 0 || number > count {
		return 0, 0, fmt.Errorf("shard %q has no name of the form NAME-01-of-20", shard)
	}
	return number - 1, count, nil
}

// mix returns a number that depends on all its inputs (the finaliser of splitmix64, chained).
func mix(values ...uint64) uint64 {
	state := uint64(0)
	for _, value := range values {
		state += value + 0x9e3779b97f4a7c15
		state = (state ^ state>>30) * 0xbf58476d1ce4e5b9
		state = (state ^ state>>27) * 0x94d049bb133111eb
		state ^= state >> 31
	}
	return state
}

func pick(names []string, number uint64) string {
	return names[number%uint64(len(names))]
}

func encode(value any) (json.RawMessage, error) {
	return json.Marshal(value)
}
