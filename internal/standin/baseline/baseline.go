// Package baseline is the plain entry instance that medlarlatch is measured against: round robin over the replicas,
// a fixed timeout for each attempt, no hedging, equal static connections for each entry instance and no warm-up.
//
// An Entry sends to every backend server directly. It reads the configuration, the index and the instance list at
// fixed intervals, as a plain program would, and holds nothing else. It is a stand-in; the product does not use it.
package baseline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// refresh is the interval between two reads of the coordination.
	refresh = time.Second
	// attempts is how many replicas a part tries, each for an equal share of the deadline.
	attempts = 2
)

// Entry is one plain entry instance.
type Entry struct {
	// share is the number of entry instances among which connections are divided.
	share     int
	store     *coordination.Store
	instances *coordination.Instances
	view      atomic.Pointer[view]
	next      atomic.Uint64
	number    atomic.Uint64
	mutex     sync.Mutex
	clients   map[fleet.ServerID]*http.Client
}

// view is what an entry instance knows; it is replaced as a whole.
type view struct {
	entries  catalogue.Catalogue
	replicas map[fleet.ServiceID][]fleet.Server
	indexes  map[catalogue.ApplicationID]snapshot.ShardMap
}

// New returns an entry instance, one of share.
func New(store, instances string, share int) *Entry {
	options := coordination.Options{Timeout: time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	return &Entry{
		share: share, store: coordination.NewStore(store, options), instances: coordination.NewInstances(instances, options),
		clients: make(map[fleet.ServerID]*http.Client),
	}
}

// Follow reads the platform until ctx ends.
func (e *Entry) Follow(ctx context.Context) {
	ticker := time.NewTicker(refresh)
	defer ticker.Stop()
	for {
		next, err := e.read(ctx)
		if err == nil {
			e.view.Store(next)
		} else if ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "baseline: platform:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) read(ctx context.Context) (*view, error) {
	document, err := e.store.Get(ctx, configuration.Key)
	if err != nil {
		return nil, err
	}
	entries, faults := catalogue.Parse(configuration.Key, string(document.Text))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	_, servers, err := e.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	v := &view{
		entries: entries, replicas: make(map[fleet.ServiceID][]fleet.Server),
		indexes: make(map[catalogue.ApplicationID]snapshot.ShardMap),
	}
	for _, server := range servers {
		if !server.Leaving && !entries.ZoneOut(server.Zone) && !entries.InstanceOut(fleet.InstanceID(server.ID)) {
			v.replicas[server.Service] = append(v.replicas[server.Service], server)
		}
	}
	for _, application := range entries.Applications() {
		document, err := e.store.Get(ctx, "medlarlatch/index/"+string(application))
		if err != nil {
			return nil, err
		}
		index, err := snapshot.ParseIndex(string(application), document.Text)
		if err != nil {
			return nil, err
		}
		v.indexes[application] = index.Versions()[0]
	}
	return v, nil
}

// Callers serves the caller interface without tickets.
func (e *Entry) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/applications/{application}/query", e.query)
	return mux
}

// Operators serves the readiness alone.
func (e *Entry) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.view.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (e *Entry) query(w http.ResponseWriter, r *http.Request) {
	var asked api.Query
	if err := json.NewDecoder(io.LimitReader(r.Body, api.MaxBodyBytes)).Decode(&asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, application := e.view.Load(), catalogue.ApplicationID(r.PathValue("application"))
	shards := v.indexes[application]
	services := v.entries.Application(application)
	if len(services) == 0 {
		http.NotFound(w, r)
		return
	}
	policy, _ := v.entries.Service(services[0])
	ctx, cancel := context.WithTimeout(r.Context(), min(policy.Deadline, time.Duration(asked.DeadlineMillis)*time.Millisecond))
	defer cancel()
	answer := e.gather(ctx, v, shards, policy, asked)
	status, body := http.StatusOK, any(answer)
	if floor := policy.CoverageFloor * float64(answer.Coverage.Asked); answer.Coverage.Answered == 0 ||
		policy.BelowFloor == catalogue.Refuse && float64(answer.Coverage.Answered) < floor {
		status, body = http.StatusServiceUnavailable, api.Refusal{
			ID: asked.ID, Verdict: verdict.MayHaveRun, Reason: verdict.CoverageBelowFloor, Coverage: &answer.Coverage,
		}
	}
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// gather sends a part for each shard and waits for all of them.
func (e *Entry) gather(ctx context.Context, v *view, shards snapshot.ShardMap, policy catalogue.Service, asked api.Query) api.Answer {
	answer := api.Answer{
		ID: asked.ID, Verdict: verdict.Ran, Snapshot: uint64(shards.Version),
		Coverage: api.Coverage{Asked: len(shards.Shards)}, Rows: make(map[string]json.RawMessage, len(shards.Shards)),
	}
	var mutex sync.Mutex
	var all sync.WaitGroup
	for shard, service := range shards.Shards {
		all.Go(func() {
			rows := e.part(ctx, v, shard, service, shards.Version, policy, asked.Query)
			mutex.Lock()
			defer mutex.Unlock()
			if rows == nil {
				answer.Coverage.Missing = append(answer.Coverage.Missing, api.Missing{
					Shard: string(shard), Reason: verdict.DeadlinePassed, Verdict: verdict.MayHaveRun,
				})
				return
			}
			answer.Coverage.Answered++
			answer.Rows[string(shard)] = rows
		})
	}
	all.Wait()
	return answer
}

// part tries the replicas in turn, each for the fixed timeout. A part that must not run twice is sent once.
func (e *Entry) part(ctx context.Context, v *view, shard snapshot.ShardID, service fleet.ServiceID, version snapshot.Version,
	policy catalogue.Service, query json.RawMessage,
) json.RawMessage {
	replicas := v.replicas[service]
	tries := attempts
	if !policy.Idempotent {
		tries = 1
	}
	first := e.next.Add(1)
	for try := range tries {
		if len(replicas) == 0 || ctx.Err() != nil {
			return nil
		}
		server := replicas[(first+uint64(try))%uint64(len(replicas))]
		entry, _ := v.entries.Service(service)
		if rows := e.attempt(ctx, server, entry, shard, version, policy.Deadline/time.Duration(tries), query); rows != nil {
			return rows
		}
	}
	return nil
}

func (e *Entry) attempt(ctx context.Context, server fleet.Server, entry catalogue.Service, shard snapshot.ShardID,
	version snapshot.Version, timeout time.Duration, query json.RawMessage,
) json.RawMessage {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"request-id": fmt.Sprintf("%p-%d", e, e.number.Add(1)), "service": entry.ID, "shard": shard, "version": version,
		"deadline-millis": timeout.Milliseconds(), "query": query,
	})
	if err != nil {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+"/v1/shard-query", bytes.NewReader(body))
	if err != nil {
		return nil
	}
	response, err := e.client(server, entry).Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Rows json.RawMessage `json:"rows"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		_, _ = io.Copy(io.Discard, response.Body)
		return nil
	}
	return answer.Rows
}

// client has an equal part of the server's connections.
func (e *Entry) client(server fleet.Server, entry catalogue.Service) *http.Client {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.clients[server.ID]
	if known == nil {
		most := max(1, entry.Connections/e.share)
		known = &http.Client{Transport: &http.Transport{MaxConnsPerHost: most, MaxIdleConnsPerHost: most}}
		e.clients[server.ID] = known
	}
	return known
}
