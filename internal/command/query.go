package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

var queryVerb = verb{
	name:      "query",
	summary:   "sends one query as a caller and prints the answer as JSON",
	arguments: "APPLICATION --address IP:PORT [flags]",
	example:   `medlarlatch query marshal-search --address 127.0.0.1:7100 --query '{"bib":417}'`,
	options:   func() runner { return &queryOptions{} },
}

type queryOptions struct {
	Address  string        `long:"address" value-name:"IP:PORT" required:"true" description:"where an entry instance or the load balancer listens for callers"`
	ID       string        `long:"id" default:"command-line" description:"id of the query"`
	Deadline time.Duration `long:"deadline" value-name:"TIME" default:"1s" description:"time for the query"`
	Query    string        `long:"query" value-name:"JSON" default:"{}" description:"the query"`
	Shards   []string      `long:"shard" value-name:"SHARD" description:"only this shard; may be repeated"`
	Ticket   string        `long:"ticket" description:"ticket of a request that must not run twice"`
}

// answerGrace is added to the deadline of the query to get the timeout of the HTTP request. It allows for the transfer
// of the answer.
const answerGrace = time.Second

func (q *queryOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("query takes one APPLICATION")
	}
	if !json.Valid([]byte(q.Query)) {
		return usageError("--query is not valid JSON")
	}
	body, err := json.Marshal(api.Query{
		ID: q.ID, DeadlineMillis: q.Deadline.Milliseconds(), Query: json.RawMessage(q.Query), Shards: q.Shards, Ticket: q.Ticket,
	})
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, q.Deadline+answerGrace)
	defer cancel()
	address := "http://" + q.Address + "/v1/applications/" + url.PathEscape(arguments[0]) + "/query"
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return usageError("%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody, net/http cannot retry the request on another connection, which might run the query twice.
	request.GetBody = nil
	client := environment.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
		return exitErrorf(queryExitCode(verdict.NotRun), "not run: %v", err)
	}
	if err != nil {
		return exitErrorf(queryExitCode(verdict.MayHaveRun), "may have run: %v", err)
	}
	defer response.Body.Close()
	return q.print(environment, response)
}

func (q *queryOptions) print(environment Environment, response *http.Response) error {
	text, err := io.ReadAll(response.Body)
	if err != nil || !json.Valid(text) {
		return exitErrorf(queryExitCode(verdict.MayHaveRun), "may have run: the answer with status %d is truncated or not JSON", response.StatusCode)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(environment.Output, indented.String()); err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	// An error answer without a verdict, such as one from a load balancer, does not tell whether the query ran.
	var refused struct {
		Verdict *verdict.Verdict `json:"verdict"`
		Reason  verdict.Reason   `json:"reason"`
	}
	if err := json.Unmarshal(text, &refused); err != nil || refused.Verdict == nil {
		return exitErrorf(queryExitCode(verdict.MayHaveRun), "may have run: status %d", response.StatusCode)
	}
	return exitErrorf(queryExitCode(*refused.Verdict), "%s: %s", *refused.Verdict, refused.Reason)
}
