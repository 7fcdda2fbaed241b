// Package api holds the JSON messages of the caller interface, version 1.
//
// The messages are plain values; a caller in another language needs only docs/api.md. Keys are in
// kebab case and durations are whole milliseconds, which their keys say.
package api

import (
	"encoding/json"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Limits of what a caller may send.
const (
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes = 16 << 10
	// MaxTickets is the most tickets that one request may ask for.
	MaxTickets = 1000
)

// Query is the body of POST /v1/applications/{application}/query.
type Query struct {
	// ID names the request in logs and answers; 1 to 128 characters.
	ID string `json:"id"`
	// DeadlineMillis is the time that the caller gives the query, in milliseconds.
	DeadlineMillis int64 `json:"deadline-millis"`
	// Query is passed to the backend servers as it is.
	Query json.RawMessage `json:"query"`
	// Shards restricts the query to some shards by name; empty means all shards of the snapshot.
	Shards []string `json:"shards,omitempty"`
	// Ticket makes a non-idempotent request safe to send again; see Ticket.
	Ticket string `json:"ticket,omitempty"`
}

// Answer is the body of a response with status 200.
type Answer struct {
	// ID is the id of the query.
	ID string `json:"id"`
	// Verdict is always verdict.Ran.
	Verdict verdict.Verdict `json:"verdict"`
	// Snapshot is the index version that every row comes from.
	Snapshot uint64 `json:"snapshot"`
	// Coverage counts the shards of that version.
	Coverage Coverage `json:"coverage"`
	// Rows holds each answered shard's rows as its backend server sent them.
	Rows map[string]json.RawMessage `json:"rows"`
}

// Coverage tells which shards of the snapshot an answer holds.
type Coverage struct {
	// Asked is the number of shards that the query covers in the snapshot.
	Asked int `json:"asked"`
	// Answered is the number of shards whose whole answer is in the rows.
	Answered int `json:"answered"`
	// Missing names the other shards in ascending order.
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is a shard without an answer.
type Missing struct {
	// Shard is the name of the shard.
	Shard string `json:"shard"`
	// Reason says why it is missing.
	Reason verdict.Reason `json:"reason"`
	// Verdict says whether the shard's part may have run all the same.
	Verdict verdict.Verdict `json:"verdict"`
}

// Refusal is the body of every response with a status of 400 or above.
type Refusal struct {
	// ID is the id of the query, empty if it could not be read.
	ID string `json:"id,omitempty"`
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// Reason is the reason code.
	Reason verdict.Reason `json:"reason"`
	// Detail is a sentence for people.
	Detail string `json:"detail,omitempty"`
	// Field names the field at fault in a malformed request.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is when to come back, in milliseconds; 0 means that sending the same request
	// again does not help.
	RetryAfterMillis int64 `json:"retry-after-millis"`
	// Coverage is set where a query was refused because too few shards answered.
	Coverage *Coverage `json:"coverage,omitempty"`
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	// Count is the number of tickets, 1 to MaxTickets.
	Count int `json:"count"`
}

// Tickets is the answer to a TicketRequest.
type Tickets struct {
	// Tickets holds opaque strings, each good for one request.
	Tickets []string `json:"tickets"`
	// ValidMillis is how long the tickets can be used, in milliseconds.
	ValidMillis int64 `json:"valid-millis"`
}
