// Package lookup executes one caller's request against the replicas that the routing table allows: a request to a
// single replica, or a fan-out to one replica of each shard whose records are merged. A part is the sub-request to one
// shard, or the replica's answer to it. A replica rejects a send; this instance refuses a request. An extra send is a
// hedge or a retry of a part of which an earlier send may have reached a replica.
//
// Each entry instance sends independently of the others. Bounds that hold over all instances together (extra sends,
// connections, the request rate of a cold replica) are divided among the instances by rules whose sum stays within the
// bound; nothing on the request path asks a peer or the store. Decisions are functions of values and of the time. The
// package opens no sockets; requests leave through a Sender. The time is that of the runtime's clock.
package lookup

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/internal/workload"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Request is one caller's request, matched to its route.
type Request struct {
	ID    string
	Route *routing.Route
	// Customer is the customer whose key the request carries; nil if the configuration has no customers or the route is
	// public.
	Customer *customer.Customer
	// Bytes is the length of the body.
	Bytes int
	// ArrivedAt is when the request had been read completely.
	ArrivedAt time.Time
	// Connection describes the caller's connection; nil if it is unknown.
	Connection *CallerConnection
	// RemainingTime is the time that the caller, when it sent the request, said it would still wait; zero if it did not
	// say.
	RemainingTime time.Duration
	// Deadline is when the caller gives up, or when the route's timeout ends.
	Deadline time.Time
	// Forwardable reports whether another instance may be able to serve the request; nil if none is. It is called only if
	// this instance most likely cannot. Forwarded is set if another instance has forwarded the request to this one. Such a
	// request is refused at once if this instance most likely does not reach the replicas that it needs, rather than sent
	// to find out.
	Forwardable func() bool
	Forwarded   bool
	// AttemptsUsed is the number of replicas of each shard at which the request may have run before it was forwarded.
	AttemptsUsed int
	// Fingerprint returns what identifies the request when it comes again; nil if that is not known.
	Fingerprint func() quarantine.Fingerprint
	// Memory reserves the bytes that the request and its answer hold until the answer is written; nil means no bound.
	Memory *memory.Reservation
	// answers counts the replicas that have answered the request.
	answers atomic.Int32
	// Payload is the protocol data for the Sender; this package does not inspect it.
	Payload any
}

// Priority returns the rank of the request, the customer's before the route's; 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Customer != nil && r.Customer.Priority != nil {
		return *r.Customer.Priority
	}
	return r.Route.Priority
}

// maxAttempts returns the number of replicas of each shard at which this instance may run the request.
func (r *Request) maxAttempts() int { return max(r.Route.MaxAttempts-r.AttemptsUsed, 1) }

// mayBeServedElsewhere reports whether another instance may serve the request if this one refuses it.
func (r *Request) mayBeServedElsewhere() bool { return r.Forwarded || r.isForwardable() }

func (r *Request) isForwardable() bool { return r.Forwardable != nil && r.Forwardable() }

// fingerprint returns the fingerprint of the request; the zero value if it is not known.
func (r *Request) fingerprint() (identity quarantine.Fingerprint) {
	if r.Fingerprint != nil {
		identity = r.Fingerprint()
	}
	return identity
}

// Sender sends requests to replicas.
type Sender interface {
	// Send waits for the complete answer of one replica. It returns early when ctx is done or the deadline passes. It
	// never sends the request twice.
	Send(ctx context.Context, request *Request, to directory.Replica, bounds SendLimits) Outcome
}

// SendLimits limits one send.
type SendLimits struct {
	// MaxConnections is the maximum number of connections to the replica.
	MaxConnections int
	// MaxBodyBytes is the maximum length of the answer's body; 0 means the sender's own limit.
	MaxBodyBytes int64
	// ReserveMemory reserves memory for a large body and reports whether there is room for it; nil means no bound.
	ReserveMemory func(bytes int) bool
}

// Connections knows to which replicas this instance keeps connections.
type Connections interface {
	// Kept returns how many idle connections this instance may keep to each replica of the service, of which each accepts
	// maxConnections from all instances together; nil if that is not restricted further. It is called by Update only.
	Kept(service fleet.ServiceID, replicas []directory.Replica, maxConnections int) []int
	// HasIdle reports whether a connection to the replica is idle. It is safe for concurrent use.
	HasIdle(id fleet.ServerID) bool
}

// Costs learns how much work requests are.
type Costs interface {
	// Request returns the estimate for a request of the class.
	Request(class workload.Class) workload.Request
	// Retain removes what was learned of routes that are not among the given ones.
	Retain(routes map[any]bool)
}

// Recorder receives the engine's events for the metrics. Its methods must not block.
type Recorder interface {
	// RecordSend is called at the end of each send.
	RecordSend(service fleet.ServiceID, zone fleet.ZoneID, reason verdict.Reason, elapsed time.Duration)
	// RecordMissingShard is called when a request ends, for each of its shards that has no answer.
	RecordMissingShard(service fleet.ServiceID, reason verdict.Reason)
}

// Outcome is the result of one send.
type Outcome struct {
	// Verdict says whether the replica ran the request; Reason is None for an answer that may be passed on as a
	// success.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Detail explains a failure in the log; it may be empty.
	Detail string
	// Status, Header, Body and Receipt are set if the replica answered completely, also with an error. Receipt is the
	// replica's proof that the answer is its own.
	Status  int
	Header  http.Header
	Body    []byte
	Receipt string
	// Unsent is set when no byte of the request can have reached a replica.
	Unsent bool
	// Leaving is set when the replica announced that it is leaving and takes no further requests.
	Leaving bool
	// RetryAfter is for how long the replica asked this instance to send it no requests; 0 if it did not ask.
	RetryAfter time.Duration
	// RequestLimit is how many requests a second the replica says it takes from all instances together; nil if the
	// answer names no limit.
	RequestLimit *float64
}

// answered reports whether the replica itself answered, even with an error, so that it is not silent.
func (o *Outcome) answered() bool { return o.Status != 0 }

// Result is the answer or refusal for the caller, and what the log records of the request.
type Result struct {
	// Failure is nil for a success. Its Verdict and RetryAfter are passed to the caller.
	Failure *verdict.Error
	// Unreachable is set if the request failed because this instance does not reach the replicas that it needs, and
	// another instance may serve it. It may have run in part only if that does no harm.
	Unreachable bool
	// AttemptsUsed is the number of replicas of a shard at which an unreachable request may have run.
	AttemptsUsed int
	// Answer is the answer of a single replica that is passed on. It may be an error answer.
	Answer *Outcome
	// Receipts, MissingShards and Records make up the merged answer of a fan-out. MissingShards is the number of shards
	// without an answer.
	Receipts      []string
	MissingShards int
	Records       []byte
	Trace         Trace
}

// Trace records the decisions that were made for one request.
type Trace struct {
	Shards, Answered              int
	Sends, Hedges, Retries        int
	Rejected, Failed, ExtraDenied int
	// MissingShards maps a reason to the number of shards that were left out of the answer for it.
	MissingShards map[verdict.Reason]int
	// Replicas lists the replicas that a request to a single replica was sent to.
	Replicas []string
}
