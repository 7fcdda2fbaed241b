// Package lookup runs one caller's request against the replicas that the routing table allows: a request to one replica,
// or a fan-out to one replica of each shard whose records are merged.
//
// Every entry instance sends for itself. What binds over all instances together (extra sends, connections, the rate of a
// cold replica) is divided among them by rules whose sum stays within the bound; nothing on the request path asks a peer
// or the store. Decisions are functions of values and of the time; the package opens no socket, requests leave through a
// Sender. Time is the runtime's clock.
package lookup

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Request is one caller's request, matched to its route.
type Request struct {
	ID    string
	Route *routing.Route
	// Arrived is when the whole request was read.
	Arrived time.Time
	// Connection is the caller's; nil where it is not known.
	Connection *Connection
	// Left is the time that the caller said it would wait when it sent the request; zero if it did not.
	Left time.Duration
	// Deadline is when the caller, or the route, gives the request up.
	Deadline time.Time
	// Memory is what the request and its answer hold until the answer is written; nil for no account.
	Memory *memory.Reservation
	// Call is what the Sender sends; this package does not look into it.
	Call any
}

// Sender carries a request to one replica.
type Sender interface {
	// Send waits for the whole answer. The end of ctx or the deadline ends the call. It sends nothing twice.
	Send(ctx context.Context, request *Request, to directory.Replica, bounds Bounds) Outcome
}

// Bounds are those of one send.
type Bounds struct {
	// Connections is the most connections to the replica.
	Connections int
	// BodyBytes is the longest body of the answer; 0 for the sender's own bound.
	BodyBytes int64
	// Reserve takes memory for a large body; nil for no account.
	Reserve func(bytes int) bool
}

// Recorder counts what the engine did, for the metrics. It must not block.
type Recorder interface {
	// Sent is called at the end of each send.
	Sent(service fleet.ServiceID, zone fleet.ZoneID, reason verdict.Reason, elapsed time.Duration)
	// Missed is called for each shard without an answer at the end of its request.
	Missed(service fleet.ServiceID, reason verdict.Reason)
}

// Outcome is what one send came to.
type Outcome struct {
	// Verdict says whether the replica ran the request; Reason is None for an answer that may be passed on as a success.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Detail is for the log; it may be empty.
	Detail string
	// Status, Header, Body and Receipt are those of a whole answer of the replica, a failure included.
	Status  int
	Header  http.Header
	Body    []byte
	Receipt string
	// Unsent is set when no byte of the request can have reached a replica.
	Unsent bool
	// Leaving is set when the replica said that it leaves and takes no further request.
	Leaving bool
	// RetryAfter is for how long the replica wants no request from this instance; 0 where it did not say.
	RetryAfter time.Duration
}

// answered tells whether the replica itself said something, so that it is not silent.
func (o *Outcome) answered() bool { return o.Status != 0 }

// Result is what the caller gets, with what the log needs.
type Result struct {
	// Failure is nil for a success. Its verdict and RetryAfter are for the caller.
	Failure *verdict.Error
	// Answer is the replica's answer that is passed on: of a request to one replica, also one that is a failure.
	Answer *Outcome
	// Receipts, Missing and Records are a merged answer.
	Receipts []string
	Missing  int
	Records  []byte
	Trace    Trace
}

// Trace is what was decided for one request.
type Trace struct {
	Shards, Answered          int
	Sends, Hedges, Retries    int
	Rejected, Failed, Starved int
	// Missed maps a reason to the number of shards that are left out for it.
	Missed map[verdict.Reason]int
	// Replicas are those asked by a request to one replica.
	Replicas []string
}
