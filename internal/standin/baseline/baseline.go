// Package baseline is a simple entry instance that serves as the baseline in measurements of medlarlatch: round robin
// over the replicas, a fixed timeout for each attempt, no hedging, an equal fixed share of the connections for each
// entry instance and no warm-up.
//
// An Entry sends to every backend server directly. It polls the configuration, the indexes and the instance list at a
// fixed interval and keeps no other state. It is a stand-in for tests and measurements; the product does not use it.
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
	// pollInterval is the interval between two reads of the store and the instance list.
	pollInterval = time.Second
	// maxAttempts is the maximum number of attempts of an idempotent part, each on the next replica and with an equal
	// share of the deadline.
	maxAttempts = 2
)

// Entry is one baseline entry instance. Its handlers are safe for concurrent use.
type Entry struct {
	// entryCount is the number of entry instances among which the connections of each server are divided.
	entryCount int
	store      *coordination.Store
	instances  *coordination.Instances
	// view is nil until the platform was read for the first time.
	view atomic.Pointer[view]
	// nextReplica selects the first replica of the next part, round robin.
	nextReplica atomic.Uint64
	// requestCount counts the requests sent to servers; request IDs are made from it.
	requestCount atomic.Uint64
	mutex        sync.Mutex // guards clients
	clients      map[fleet.ServerID]*http.Client
}

// view is what an entry instance has read from the platform. It is immutable: each read makes a new one.
type view struct {
	catalogue catalogue.Catalogue
	replicas  map[fleet.ServiceID][]fleet.Server
	indexes   map[catalogue.ApplicationID]snapshot.ShardMap
}

// New returns one of entryCount entry instances. The URLs are those of the store and of the instance list.
func New(store, instances string, entryCount int) *Entry {
	options := coordination.Options{Timeout: time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	return &Entry{
		entryCount: entryCount, store: coordination.NewStore(store, options), instances: coordination.NewInstances(instances, options),
		clients: make(map[fleet.ServerID]*http.Client),
	}
}

// Poll reads the platform every second until ctx ends. When a read fails, it logs the error and keeps the last view.
func (e *Entry) Poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		next, err := e.read(ctx)
		if err == nil {
			e.view.Store(next)
		} else if ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "baseline: reading the platform:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the configuration, the instance list and the newest index version of every application. It leaves out
// servers that are leaving and those that the configuration takes out of service.
func (e *Entry) read(ctx context.Context) (*view, error) {
	document, err := e.store.Get(ctx, configuration.CatalogueKey)
	if err != nil {
		return nil, err
	}
	parsed, problems := catalogue.Parse(configuration.CatalogueKey, string(document.Text))
	if err := problems.Err(); err != nil {
		return nil, err
	}
	_, servers, err := e.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	v := &view{
		catalogue: parsed, replicas: make(map[fleet.ServiceID][]fleet.Server),
		indexes: make(map[catalogue.ApplicationID]snapshot.ShardMap),
	}
	for _, server := range servers {
		if !server.Leaving && !parsed.ZoneOutOfService(server.Zone) && !parsed.InstanceOutOfService(fleet.InstanceID(server.ID)) {
			v.replicas[server.Service] = append(v.replicas[server.Service], server)
		}
	}
	for _, application := range parsed.Applications() {
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

// CallerHandler returns a handler of the caller interface without tickets.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/applications/{application}/query", e.query)
	return mux
}

// OperatorHandler returns a handler of the operator interface with GET /readyz only.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.view.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// query handles one query. It answers with the shards that it has got by the deadline, or refuses if there are none or
// if the coverage is below the floor of a service that refuses then.
func (e *Entry) query(w http.ResponseWriter, r *http.Request) {
	var request api.Query
	if err := json.NewDecoder(io.LimitReader(r.Body, api.MaxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, application := e.view.Load(), catalogue.ApplicationID(r.PathValue("application"))
	shards := v.indexes[application]
	services := v.catalogue.Application(application)
	if len(services) == 0 {
		http.NotFound(w, r)
		return
	}
	policy, _ := v.catalogue.Service(services[0])
	ctx, cancel := context.WithTimeout(r.Context(), min(policy.Deadline, time.Duration(request.DeadlineMillis)*time.Millisecond))
	defer cancel()
	answer := e.queryShards(ctx, v, shards, policy, request)
	status, body := http.StatusOK, any(answer)
	if floor := policy.MinCoverage * float64(answer.Coverage.Asked); answer.Coverage.Answered == 0 ||
		policy.BelowFloor == catalogue.Refuse && float64(answer.Coverage.Answered) < floor {
		status, body = http.StatusServiceUnavailable, api.Refusal{
			ID: request.ID, Verdict: verdict.MayHaveRun, Reason: verdict.CoverageBelowFloor, Coverage: &answer.Coverage,
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

// queryShards sends a part of the query to each shard and waits for all of them. It reports every part without rows as
// past its deadline.
func (e *Entry) queryShards(ctx context.Context, v *view, shards snapshot.ShardMap, policy catalogue.Service, request api.Query) api.Answer {
	answer := api.Answer{
		ID: request.ID, Verdict: verdict.Ran, Snapshot: uint64(shards.Version),
		Coverage: api.Coverage{Asked: len(shards.Shards)}, Rows: make(map[string]json.RawMessage, len(shards.Shards)),
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for shard, service := range shards.Shards {
		group.Go(func() {
			rows := e.queryShard(ctx, v, shard, service, shards.Version, policy, request.Query)
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
	group.Wait()
	return answer
}

// queryShard sends one part to the replicas in turn, each with the same timeout, and returns the rows of the first
// answer, or nil if there is none. It sends a non-idempotent part only once.
func (e *Entry) queryShard(ctx context.Context, v *view, shard snapshot.ShardID, service fleet.ServiceID, version snapshot.Version,
	policy catalogue.Service, query json.RawMessage,
) json.RawMessage {
	replicas := v.replicas[service]
	attempts := maxAttempts
	if !policy.Idempotent {
		attempts = 1
	}
	first := e.nextReplica.Add(1)
	for attempt := range attempts {
		if len(replicas) == 0 || ctx.Err() != nil {
			return nil
		}
		server := replicas[(first+uint64(attempt))%uint64(len(replicas))]
		serviceConfig, _ := v.catalogue.Service(service)
		if rows := e.sendAttempt(ctx, server, serviceConfig, shard, version, policy.Deadline/time.Duration(attempts), query); rows != nil {
			return rows
		}
	}
	return nil
}

// sendAttempt sends one part to one server and returns its rows, or nil on any failure.
func (e *Entry) sendAttempt(ctx context.Context, server fleet.Server, serviceConfig catalogue.Service, shard snapshot.ShardID,
	version snapshot.Version, timeout time.Duration, query json.RawMessage,
) json.RawMessage {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"request-id": fmt.Sprintf("%p-%d", e, e.requestCount.Add(1)), "service": serviceConfig.ID, "shard": shard, "version": version,
		"deadline-millis": timeout.Milliseconds(), "query": query,
	})
	if err != nil {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+"/v1/shard-query", bytes.NewReader(body))
	if err != nil {
		return nil
	}
	response, err := e.client(server, serviceConfig).Do(request)
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

// client returns the HTTP client for a server, which opens at most an equal share of the server's connections.
func (e *Entry) client(server fleet.Server, serviceConfig catalogue.Service) *http.Client {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	client := e.clients[server.ID]
	if client == nil {
		maxConnections := max(1, serviceConfig.MaxConnections/e.entryCount)
		client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}}
		e.clients[server.ID] = client
	}
	return client
}
