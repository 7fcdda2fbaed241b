package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/pkg/api"
)

// Application returns an application of the cluster.
func (c *Cluster) Application(name string) standin.Application { return c.applications[name] }

// Query sends one query to an entry instance. Exactly one of the results is set; an error means that there was neither
// an answer nor a refusal, or that it could not be decoded.
func (c *Cluster) Query(ctx context.Context, n int, application string, query api.Query) (*api.Answer, *api.Refusal, error) {
	status, body, err := c.post(ctx, n, "/v1/applications/"+application+"/query", query)
	if err != nil {
		return nil, nil, err
	}
	if status != http.StatusOK {
		var refusal api.Refusal
		if err := json.Unmarshal(body, &refusal); err != nil {
			return nil, nil, fmt.Errorf("status %d, body is not a refusal: %w", status, err)
		}
		return nil, &refusal, nil
	}
	var answer api.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, nil, err
	}
	return &answer, nil, nil
}

// Tickets requests count tickets from an entry instance.
func (c *Cluster) Tickets(ctx context.Context, n, count int) ([]string, error) {
	status, body, err := c.post(ctx, n, "/v1/tickets", api.TicketRequest{Count: count})
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("tickets: status %d: %.200s", status, body)
	}
	var tickets api.Tickets
	err = json.Unmarshal(body, &tickets)
	return tickets.Tickets, err
}

// post sends a message as JSON to the caller address of an entry instance and returns the status and the body.
func (c *Cluster) post(ctx context.Context, n int, path string, message any) (int, []byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Entries[n].callerAddress+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Check compares an answer with the generated data: its request ID, the shards that it covers and every row. The error
// joins all mismatches; it is nil if there are none.
func (c *Cluster) Check(application string, query api.Query, answer *api.Answer) error {
	a := c.applications[application]
	shards := a.Index(answer.Snapshot)
	var mismatches []error
	if answer.ID != query.ID {
		mismatches = append(mismatches, fmt.Errorf("answer has request ID %q, want %q", answer.ID, query.ID))
	}
	coverage := answer.Coverage
	if coverage.Asked != len(shards) || coverage.Answered != len(answer.Rows) || coverage.Answered+len(coverage.Missing) != coverage.Asked {
		mismatches = append(mismatches, fmt.Errorf("coverage is asked %d, answered %d, missing %d, but the snapshot has %d shards and the answer has rows of %d",
			coverage.Asked, coverage.Answered, len(coverage.Missing), len(shards), len(answer.Rows)))
	}
	for _, missing := range coverage.Missing {
		if answer.Rows[missing.Shard] != nil || shards[missing.Shard] == "" {
			mismatches = append(mismatches, fmt.Errorf("shard %s is listed as missing, but has rows or is not in snapshot %d", missing.Shard, answer.Snapshot))
		}
	}
	for shard, rows := range answer.Rows {
		want, err := a.Data.Rows(shard, answer.Snapshot, query.Query)
		if err != nil || shards[shard] == "" || !bytes.Equal(want, rows) {
			mismatches = append(mismatches, fmt.Errorf("shard %s of snapshot %d: rows %.120s, want %.120s", shard, answer.Snapshot, rows, want))
		}
	}
	return errors.Join(mismatches...)
}

// Latencies is a list of response times, in no particular order.
type Latencies []time.Duration

// Percentile returns a percentile (0 to 100) of the response times without interpolation, or 0 if there are none.
func (l Latencies) Percentile(percent float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[min(int(float64(len(sorted))*percent/100), len(sorted)-1)]
}
