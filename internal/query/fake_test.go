package query

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// faults are the percentages of parts that are subject to each fault: an answer after the deadline (Late) or twice
// (Duplicate), an additional answer for an attempt of another query (Crossed), with another shard or backend server
// (Mismatched) or of another version (WrongVersion), no answer until the deadline (Lost), a refused connection
// (Refused), and a connection that breaks after the part has run (Broken).
type faults struct {
	Late, Duplicate, Crossed, Mismatched, WrongVersion, Lost, Refused, Broken int
}

// fakeSender simulates the owners and replicas. What happens to a part depends only on the seed, the query, the shard,
// the backend server and how often the part was sent to it.
type fakeSender struct {
	mu     sync.Mutex
	seed   uint64
	faults faults
	// held has the index versions of each backend server, silent those that run parts but never answer, and excluded
	// those that must get no part.
	held     map[fleet.ServerID][]snapshot.Version
	silent   map[fleet.ServerID]bool
	excluded map[fleet.ServerID]bool
	// sends counts by query, shard and backend server, runs by query and shard.
	sends      map[string]int
	runs       map[string]int
	delivered  map[string]time.Time // time of the first matching result, by query, shard and version
	violations []string
	sent       int
	latency    func(server fleet.ServerID, draw uint64) time.Duration
	// injectedError, if set, is the outcome of every part.
	injectedError *verdict.Error
	// lastPart is the last part of each shard whose fault was Crossed.
	lastPart   map[string]Part
	cold       map[fleet.ServerID]bool
	sentToCold int
}

func newFakeSender(seed uint64) *fakeSender {
	return &fakeSender{
		seed: seed, held: make(map[fleet.ServerID][]snapshot.Version), silent: make(map[fleet.ServerID]bool),
		excluded: make(map[fleet.ServerID]bool), sends: make(map[string]int), runs: make(map[string]int),
		delivered: make(map[string]time.Time), lastPart: make(map[string]Part),
	}
}

// fakeRow is the content of an answer. It names the part to which the rows belong.
type fakeRow struct {
	Query   string
	Shard   snapshot.ShardID
	Version snapshot.Version
}

func rowOf(part Part, version snapshot.Version) json.RawMessage {
	var query string
	_ = json.Unmarshal(part.Query, &query)
	text, _ := json.Marshal(fakeRow{Query: query, Shard: part.Shard, Version: version})
	return text
}

func deliveredKey(query string, shard snapshot.ShardID, version snapshot.Version) string {
	return fmt.Sprintf("%s/%s/%d", query, shard, version)
}

func (f *fakeSender) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *fakeSender) Send(ctx context.Context, _ fleet.InstanceID, parts []Part, deliver func(Result)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range parts {
		f.sent++
		if f.excluded[part.Server] {
			f.addViolation("part of %s sent to %s, whose zone is out of service", part.Query, part.Server)
		}
		if f.cold[part.Server] {
			f.sentToCold++
		}
		if part.Hedge && !part.Idempotent {
			f.addViolation("hedge of a part of %s that is not idempotent", part.Query)
		}
		key := fmt.Sprintf("%s/%s/%s", part.Query, part.Shard, part.Server)
		f.sends[key]++
		hasher := fnv.New64a()
		fmt.Fprintf(hasher, "%d/%s/%d", f.seed, key, f.sends[key])
		rng := splitMix64(hasher.Sum64())
		go f.runPart(ctx, part, &rng, deliver)
	}
}

func (f *fakeSender) Cancel(fleet.InstanceID, uint64) {}

// runPart simulates the replica: it waits, runs the part, and answers with the fault that the random draw gives.
func (f *fakeSender) runPart(ctx context.Context, part Part, rng *splitMix64, deliver func(Result)) {
	draw := rng.intN(100)
	// hit reports whether the draw selects the next fault, which has this percentage. Each call moves on to the range
	// of the draw after it.
	hit := func(share int) bool {
		draw -= share
		return draw < 0 && draw >= -share
	}
	result := Result{Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Warm: !f.cold[part.Server]}
	latency := time.Millisecond + time.Duration(rng.intN(9_000_000))
	if f.latency != nil {
		latency = f.latency(part.Server, rng.next())
	}
	if f.injectedError != nil {
		time.Sleep(latency)
		result.Err = f.injectedError
		deliver(result)
		return
	}
	if hit(f.faults.Refused) {
		time.Sleep(latency / 4)
		result.Err = verdict.New(verdict.NotRun, verdict.ConnectFailed, "injected fault")
		deliver(result)
		return
	}
	select {
	case <-ctx.Done():
		// The context is also done after a refusal, when the part may already have reached the backend server.
	case <-time.After(latency / 2):
	}
	if !f.execute(part, &result) {
		deliver(result)
		return
	}
	time.Sleep(latency / 2)
	f.deliverWithFault(part, result, rng, hit, deliver)
}

// deliverWithFault delivers the result of a part that ran, subject to the fault that the random draw gives.
func (f *fakeSender) deliverWithFault(part Part, result Result, rng *splitMix64, hit func(int) bool, deliver func(Result)) {
	switch {
	case hit(f.faults.Lost), f.isSilent(part.Server):
		// The random delay keeps several such parts from ending at the same instant, which would leave their order
		// undefined.
		time.Sleep(time.Until(part.Deadline) + time.Duration(rng.intN(1_000_000)))
		result.Err = verdict.New(verdict.MayHaveRun, verdict.SilentConnection, "injected fault")
	case hit(f.faults.Broken):
		result.Err = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "injected fault")
	case hit(f.faults.Late):
		time.Sleep(time.Until(part.Deadline) + time.Duration(rng.intN(20_000_000)))
		result.Rows = rowOf(part, part.Version)
	case hit(f.faults.Crossed):
		f.deliverCrossed(part, deliver)
		result.Rows = rowOf(part, part.Version)
	case hit(f.faults.Mismatched):
		wrong := result
		wrong.Shard, wrong.Rows = part.Shard+"x", json.RawMessage(`{"Query":"other"}`)
		deliver(wrong)
		wrong = result
		wrong.Server, wrong.Rows = part.Server+"x", json.RawMessage(`{"Query":"other"}`)
		deliver(wrong)
		result.Rows = rowOf(part, part.Version)
	case hit(f.faults.WrongVersion):
		wrong := result
		wrong.Version, wrong.Rows = part.Version+1, rowOf(part, part.Version+1)
		deliver(wrong)
		result.Rows = rowOf(part, part.Version)
	case hit(f.faults.Duplicate):
		result.Rows = rowOf(part, part.Version)
		f.recordAndDeliver(part, result, deliver)
		second := result
		second.Rows = json.RawMessage(`{"Query":"duplicate"}`)
		deliver(second)
		return
	default:
		result.Rows = rowOf(part, part.Version)
	}
	f.recordAndDeliver(part, result, deliver)
}

// recordAndDeliver notes the time of the first matching result and delivers the result.
func (f *fakeSender) recordAndDeliver(part Part, result Result, deliver func(Result)) {
	if result.Err == nil {
		var query string
		_ = json.Unmarshal(part.Query, &query)
		key := deliveredKey(query, part.Shard, part.Version)
		f.mu.Lock()
		if _, ok := f.delivered[key]; !ok {
			f.delivered[key] = time.Now()
		}
		f.mu.Unlock()
	}
	deliver(result)
}

func (f *fakeSender) isSilent(server fleet.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[server]
}

// execute runs the part if the backend server holds its version, and reports whether it did.
func (f *fakeSender) execute(part Part, result *Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	result.HeldVersions = slices.Clone(f.held[part.Server])
	if !slices.Contains(result.HeldVersions, part.Version) {
		result.Err = verdict.New(verdict.NotRun, verdict.VersionNotHeld, "held: %v", result.HeldVersions)
		return false
	}
	var query string
	_ = json.Unmarshal(part.Query, &query)
	f.runs[query+"/"+string(part.Shard)]++
	return true
}

// deliverCrossed delivers to this query the answer of the previous part of the shard with this fault, which usually
// belongs to another query.
func (f *fakeSender) deliverCrossed(part Part, deliver func(Result)) {
	f.mu.Lock()
	other, ok := f.lastPart[string(part.Shard)]
	f.lastPart[string(part.Shard)] = part
	f.mu.Unlock()
	if ok {
		deliver(Result{
			Attempt: other.Attempt, Shard: other.Shard, Server: other.Server, Version: other.Version,
			Rows: rowOf(other, other.Version),
		})
	}
}

func (f *fakeSender) setHeld(servers []fleet.ServerID, versions ...snapshot.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range servers {
		f.held[server] = versions
	}
}

// exclude makes every later part that is sent to the availability zone a violation.
func (f *fakeSender) exclude(tf testFleet, zone fleet.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range tf.servers {
		f.excluded[server.ID] = server.Zone == zone
	}
}

// testFleet is a fleet with one application. Each service has two replicas in two availability zones.
type testFleet struct {
	servers []fleet.Server
	// template is the catalogue entry of all services, apart from their names.
	template catalogue.Service
	services int
}

func newTestFleet(services int, entry catalogue.Service) testFleet {
	tf := testFleet{template: entry, services: services}
	for i := range services {
		for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
			id := fleet.ServerID(fmt.Sprintf("%s-%s", serviceName(i), zone))
			tf.servers = append(tf.servers, fleet.Server{ID: id, Service: serviceName(i), Zone: zone})
		}
	}
	return tf
}

func serviceName(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprintf("service-%03d", i)) }

func (tf testFleet) catalogue() catalogue.Catalogue {
	entries := make([]catalogue.Service, 0, tf.services)
	for i := range tf.services {
		entry := tf.template
		entry.ID, entry.Application = serviceName(i), "race"
		entries = append(entries, entry)
	}
	return catalogue.New(entries)
}

func (tf testFleet) view() *fleet.View { return fleet.NewView(nil, tf.servers) }

func (tf testFleet) serverIDs() []fleet.ServerID {
	ids := make([]fleet.ServerID, 0, len(tf.servers))
	for _, server := range tf.servers {
		ids = append(ids, server.ID)
	}
	return ids
}

// shardMap spreads the shards over the services, differently for each version.
func (tf testFleet) shardMap(version snapshot.Version, shards int) snapshot.ShardMap {
	m := snapshot.ShardMap{Version: version, Shards: make(map[snapshot.ShardID]fleet.ServiceID)}
	for i := range shards {
		m.Shards[snapshot.ShardID(fmt.Sprintf("shard-%03d", i))] = serviceName((i + int(version)) % tf.services)
	}
	return m
}

func (tf testFleet) index(versions ...snapshot.ShardMap) map[catalogue.ApplicationID]*snapshot.Index {
	index, err := snapshot.NewIndex("race", versions...)
	if err != nil {
		panic(err)
	}
	return map[catalogue.ApplicationID]*snapshot.Index{"race": index}
}
