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

// faults are the shares, in percent, of parts that meet each fault.
type faults struct {
	Late, Duplicate, Crossed, Mismatched, WrongVersion, Lost, Refused, Broken int
}

// fakeSender stands for owners and replicas. What happens to a part depends only on the seed, the
// query, the shard, the server and the number of the send.
type fakeSender struct {
	mu       sync.Mutex
	seed     uint64
	faults   faults
	held     map[fleet.ServerID][]snapshot.Version
	lost     map[fleet.ServerID]bool
	excluded map[fleet.ServerID]bool
	sends    map[string]int
	runs     map[string]int
	good     map[string]time.Time // matching result delivered, by query, shard and version
	breaches []string
	total    int
	latency  func(server fleet.ServerID, draw uint64) time.Duration
	outage   *verdict.Error
	lastPart map[string]Part
	cold     map[fleet.ServerID]bool
	toCold   int
}

func newFakeSender(seed uint64) *fakeSender {
	return &fakeSender{
		seed: seed, held: make(map[fleet.ServerID][]snapshot.Version), lost: make(map[fleet.ServerID]bool),
		excluded: make(map[fleet.ServerID]bool), sends: make(map[string]int), runs: make(map[string]int),
		good: make(map[string]time.Time), lastPart: make(map[string]Part),
	}
}

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

func goodKey(query string, shard snapshot.ShardID, version snapshot.Version) string {
	return fmt.Sprintf("%s/%s/%d", query, shard, version)
}

func (f *fakeSender) breach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf(format, args...))
}

func (f *fakeSender) Send(ctx context.Context, _ fleet.InstanceID, parts []Part, deliver func(Result)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range parts {
		f.total++
		if f.excluded[part.Server] {
			f.breach("part of %s sent to %s, which is out or leaving", part.Query, part.Server)
		}
		if f.cold[part.Server] {
			f.toCold++
		}
		if part.Hedge && !part.Idempotent {
			f.breach("hedge of a part of %s that is not idempotent", part.Query)
		}
		key := fmt.Sprintf("%s/%s/%s", part.Query, part.Shard, part.Server)
		f.sends[key]++
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%d/%s/%d", f.seed, key, f.sends[key])
		draw := random(hash.Sum64())
		go f.serve(ctx, part, &draw, deliver)
	}
}

func (f *fakeSender) Cancel(fleet.InstanceID, uint64) {}

// serve plays the replica: it waits, runs the part, and answers with the faults that were drawn.
func (f *fakeSender) serve(ctx context.Context, part Part, draw *random, deliver func(Result)) {
	fault := draw.below(100)
	hit := func(share int) bool {
		fault -= share
		return fault < 0 && fault >= -share
	}
	result := Result{Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Warm: !f.cold[part.Server]}
	took := time.Millisecond + time.Duration(draw.below(9_000_000))
	if f.latency != nil {
		took = f.latency(part.Server, draw.next())
	}
	if f.outage != nil {
		time.Sleep(took)
		result.Err = f.outage
		deliver(result)
		return
	}
	if hit(f.faults.Refused) {
		time.Sleep(took / 4)
		result.Err = verdict.New(verdict.NotRun, verdict.ConnectFailed, "drawn")
		deliver(result)
		return
	}
	select {
	case <-ctx.Done():
		// The context is also done after a refusal; the part may already be with the server.
	case <-time.After(took / 2):
	}
	if !f.execute(part, &result) {
		deliver(result)
		return
	}
	time.Sleep(took / 2)
	f.answer(part, result, draw, hit, deliver)
}

// answer delivers the result of a part that ran, with the fault that was drawn.
func (f *fakeSender) answer(part Part, result Result, draw *random, hit func(int) bool, deliver func(Result)) {
	switch {
	case hit(f.faults.Lost), f.isLost(part.Server):
		// The draw keeps several of these from ending at the same instant, whose order is not defined.
		time.Sleep(time.Until(part.Deadline) + time.Duration(draw.below(1_000_000)))
		result.Err = verdict.New(verdict.MayHaveRun, verdict.SilentConnection, "drawn")
	case hit(f.faults.Broken):
		result.Err = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "drawn")
	case hit(f.faults.Late):
		time.Sleep(time.Until(part.Deadline) + time.Duration(draw.below(20_000_000)))
		result.Rows = rowOf(part, part.Version)
	case hit(f.faults.Crossed):
		f.cross(part, deliver)
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
		f.sendGood(part, result, deliver)
		second := result
		second.Rows = json.RawMessage(`{"Query":"duplicate"}`)
		deliver(second)
		return
	default:
		result.Rows = rowOf(part, part.Version)
	}
	f.sendGood(part, result, deliver)
}

func (f *fakeSender) sendGood(part Part, result Result, deliver func(Result)) {
	if result.Err == nil {
		var query string
		_ = json.Unmarshal(part.Query, &query)
		key := goodKey(query, part.Shard, part.Version)
		f.mu.Lock()
		if _, ok := f.good[key]; !ok {
			f.good[key] = time.Now()
		}
		f.mu.Unlock()
	}
	deliver(result)
}

func (f *fakeSender) isLost(server fleet.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[server]
}

// execute runs the part if the server holds the version.
func (f *fakeSender) execute(part Part, result *Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	result.Held = slices.Clone(f.held[part.Server])
	if !slices.Contains(result.Held, part.Version) {
		result.Err = verdict.New(verdict.NotRun, verdict.VersionNotHeld, "held: %v", result.Held)
		return false
	}
	var query string
	_ = json.Unmarshal(part.Query, &query)
	f.runs[query+"/"+string(part.Shard)]++
	return true
}

// cross delivers this part's rows under the attempt of an earlier part of another query.
func (f *fakeSender) cross(part Part, deliver func(Result)) {
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

func (f *fakeSender) hold(servers []fleet.ServerID, versions ...snapshot.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range servers {
		f.held[server] = versions
	}
}

// exclude makes every later part to the zone a breach.
func (f *fakeSender) exclude(w world, zone fleet.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range w.servers {
		f.excluded[server.ID] = server.Zone == zone
	}
}

// world is a fleet with one application: services of two replicas in two zones.
type world struct {
	servers []fleet.Server
	entry   catalogue.Service
	count   int
}

func newWorld(services int, entry catalogue.Service) world {
	w := world{entry: entry, count: services}
	for i := range services {
		for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
			id := fleet.ServerID(fmt.Sprintf("%s-%s", serviceName(i), zone))
			w.servers = append(w.servers, fleet.Server{ID: id, Service: serviceName(i), Zone: zone})
		}
	}
	return w
}

func serviceName(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprintf("service-%03d", i)) }

func (w world) catalogue() catalogue.Catalogue {
	entries := make([]catalogue.Service, 0, w.count)
	for i := range w.count {
		entry := w.entry
		entry.ID, entry.Application = serviceName(i), "race"
		entries = append(entries, entry)
	}
	return catalogue.New(entries)
}

func (w world) view() *fleet.View { return fleet.NewView(nil, w.servers) }

func (w world) ids() []fleet.ServerID {
	ids := make([]fleet.ServerID, 0, len(w.servers))
	for _, server := range w.servers {
		ids = append(ids, server.ID)
	}
	return ids
}

// shardMap spreads shards over the services; other versions have another number of shards.
func (w world) shardMap(version snapshot.Version, shards int) snapshot.ShardMap {
	m := snapshot.ShardMap{Version: version, Shards: make(map[snapshot.ShardID]fleet.ServiceID)}
	for i := range shards {
		m.Shards[snapshot.ShardID(fmt.Sprintf("shard-%03d", i))] = serviceName((i + int(version)) % w.count)
	}
	return m
}

func (w world) index(versions ...snapshot.ShardMap) map[catalogue.ApplicationID]*snapshot.Index {
	index, err := snapshot.NewIndex("race", versions...)
	if err != nil {
		panic(err)
	}
	return map[catalogue.ApplicationID]*snapshot.Index{"race": index}
}
