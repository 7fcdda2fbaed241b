// Package api defines the JSON messages of version 1 of the HTTP API for callers.
//
// The messages are plain data types without behaviour. Keys are in kebab case, and durations are whole milliseconds,
// which the suffix "-millis" of the key says. A caller in another language needs only docs/api.md.
package api

import (
	"encoding/json"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Limits of a caller's request.
const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes = 16 << 10
	// MaxTickets is the maximum number of tickets in one TicketRequest.
	MaxTickets = 1000
)

// Query is the body of POST /v1/applications/{application}/query.
type Query struct {
	// ID identifies the request in logs and answers. It has 1 to 128 bytes.
	ID string `json:"id"`
	// DeadlineMillis is the time, in milliseconds from the arrival of the request, within which the caller needs the
	// answer.
	DeadlineMillis int64 `json:"deadline-millis"`
	// Query is the application's query. It is passed to the backend servers unchanged.
	Query json.RawMessage `json:"query"`
	// Shards restricts the query to the named shards. Empty means all shards of the snapshot.
	Shards []string `json:"shards,omitempty"`
	// Ticket is one of the values of Tickets and makes a non-idempotent request safe to send again. Empty means that
	// the request has no ticket.
	Ticket string `json:"ticket,omitempty"`
}

// Answer is the body of a response to a Query with status 200.
type Answer struct {
	// ID is Query.ID.
	ID string `json:"id"`
	// Verdict is always verdict.Ran.
	Verdict verdict.Verdict `json:"verdict"`
	// Snapshot is the index version that all rows were read from.
	Snapshot uint64 `json:"snapshot"`
	// Coverage says which shards of that version the rows cover.
	Coverage Coverage `json:"coverage"`
	// Rows maps the name of each answered shard to its rows, unchanged from the backend server.
	Rows map[string]json.RawMessage `json:"rows"`
}

// Coverage says which shards of the snapshot an answer contains.
type Coverage struct {
	// Asked is the number of shards that the query covers in the snapshot.
	Asked int `json:"asked"`
	// Answered is the number of shards whose complete answer is in the rows.
	Answered int `json:"answered"`
	// Missing lists the remaining shards in ascending order of their names.
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is a shard whose answer is not in the rows.
type Missing struct {
	// Shard is the name of the shard.
	Shard string `json:"shard"`
	// Reason is why the answer is missing.
	Reason verdict.Reason `json:"reason"`
	// Verdict says whether the query may have run on the shard although its answer is missing.
	Verdict verdict.Verdict `json:"verdict"`
}

// Refusal is the body of every error response, with a status of 400 or above.
type Refusal struct {
	// ID is Query.ID. It is empty if the request could not be parsed.
	ID string `json:"id,omitempty"`
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// Reason is the code of the error.
	Reason verdict.Reason `json:"reason"`
	// Detail describes the error for a human reader.
	Detail string `json:"detail,omitempty"`
	// Field is the invalid field of a malformed request.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is how long to wait before the same request is sent again, in milliseconds. 0 means that sending
	// it again does not help.
	RetryAfterMillis int64 `json:"retry-after-millis"`
	// Coverage is set if the query was refused because too few shards answered, and nil otherwise.
	Coverage *Coverage `json:"coverage,omitempty"`
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	// Count is the number of requested tickets, from 1 to MaxTickets.
	Count int `json:"count"`
}

// Tickets is the body of a response to a TicketRequest with status 200.
type Tickets struct {
	// Tickets holds opaque strings, each valid for one request.
	Tickets []string `json:"tickets"`
	// ValidMillis is how long the tickets are valid, in milliseconds.
	ValidMillis int64 `json:"valid-millis"`
}
