package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// The methods of the peer protocol.
const (
	methodHello                = "hello"
	methodHeartbeat            = "heartbeat"
	methodPartsRun             = "parts.run"
	methodPartsResult          = "parts.result"
	methodPartsCancel          = "parts.cancel"
	methodTicketRun            = "ticket.run"
	methodConfigurationGet     = "configuration.get"
	methodConfigurationChanged = "configuration.changed"
	methodServersHandover      = "servers.handover"
)

// Heartbeat is the content of a heartbeat request and of its response. The identity of the sender is taken from the
// handshake and not sent again, because an instance sends and answers 32 heartbeats a second.
type Heartbeat struct {
	Instance    fleet.InstanceID   `json:"-"`
	Incarnation ticket.Incarnation `json:"-"`
	Zone        fleet.ZoneID       `json:"-"`
	// Acknowledged is set when the sender reaches the receiver and so claims no server of which the receiver is the
	// first-choice owner.
	Acknowledged bool `json:"acknowledged,omitempty"`
	// Released is set when the sender no longer owns any server, because it is leaving or an operator has taken it out
	// of service.
	Released bool `json:"released,omitempty"`
	// Revision is the store revision of the configuration in force at the sender.
	Revision uint64 `json:"revision"`
	// Leaving is set when the sender is leaving the fleet.
	Leaving bool `json:"leaving,omitempty"`
}

// Configuration is a configuration document with its store revision. A nil document means that the receiver already
// has the current one.
type Configuration struct {
	Revision uint64 `json:"revision"`
	Document []byte `json:"document,omitempty"`
}

// configurationGetParams carries the highest revision that the sender has; 0 always gets the document.
type configurationGetParams struct {
	Known uint64 `json:"known"`
}

// PartsRunner runs parts for a coordinator on another instance.
type PartsRunner interface {
	// Run calls deliver exactly once for each part; it may return before or after that. The context ends when all
	// parts have results, with the connection, or at the latest deadline of the parts.
	Run(ctx context.Context, from fleet.InstanceID, parts []query.Part, deliver func(query.Result))
	// Cancel cancels one part that Run was given by the same instance.
	Cancel(from fleet.InstanceID, attempt uint64)
}

// HeartbeatHandler answers a peer's heartbeat with the state of this instance.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, from Heartbeat) Heartbeat
}

// TicketRunner runs a ticket that this instance issued. It never forwards the ticket to another instance.
type TicketRunner interface {
	RunTicket(ctx context.Context, from fleet.InstanceID, call ticket.Call) ticket.Outcome
}

// ConfigurationSource provides the configuration in force and is notified of newer ones at peers.
type ConfigurationSource interface {
	// Configuration returns the configuration in force, without its document if its revision is not above known, so
	// that frequent polling costs few bytes.
	Configuration(ctx context.Context, known uint64) (Configuration, error)
	// ConfigurationChanged is called when a peer reports that it has a configuration of this revision.
	ConfigurationChanged(ctx context.Context, from fleet.InstanceID, revision uint64)
}

// HandoverHandler takes over the state of backend servers from their previous owner, in the encoding of that owner.
type HandoverHandler interface {
	Handover(ctx context.Context, from fleet.InstanceID, state json.RawMessage) error
}

// Handlers serve the calls of peers. A call to a method whose handler is nil is refused with verdict.NotReady.
type Handlers struct {
	Parts         PartsRunner
	Heartbeats    HeartbeatHandler
	Tickets       TicketRunner
	Configuration ConfigurationSource
	Handover      HandoverHandler
}

// wireError is the JSON encoding of a verdict.Error; nil stands for no error.
type wireError struct {
	Verdict          verdict.Verdict `json:"verdict"`
	Reason           verdict.Reason  `json:"reason"`
	Detail           string          `json:"detail,omitempty"`
	RetryAfterMillis int64           `json:"retry-after-millis,omitempty"`
}

func toWireError(err *verdict.Error) *wireError {
	if err == nil {
		return nil
	}
	return &wireError{err.Verdict, err.Reason, err.Detail, err.RetryAfter.Milliseconds()}
}

func (w *wireError) toError() *verdict.Error {
	if w == nil {
		return nil
	}
	return &verdict.Error{
		Verdict: w.Verdict, Reason: w.Reason, Detail: w.Detail,
		RetryAfter: time.Duration(w.RetryAfterMillis) * time.Millisecond,
	}
}

// codeVerdict is the JSON-RPC error code of a response whose error data is a wireError. It lies in the range that
// JSON-RPC reserves for implementation-defined server errors.
const codeVerdict = -32000

func toRPCError(err *verdict.Error) *jsonrpc2.Error {
	rpcError := &jsonrpc2.Error{Code: codeVerdict, Message: err.Reason.String()}
	rpcError.SetError(toWireError(err))
	return rpcError
}

// fromRPCError returns the verdict in the error response of a peer, or nil if err is no error response with a verdict.
func fromRPCError(err error) *verdict.Error {
	rpcError, ok := errors.AsType[*jsonrpc2.Error](err)
	if !ok || rpcError.Code != codeVerdict || rpcError.Data == nil {
		return nil
	}
	var refused wireError
	if json.Unmarshal(*rpcError.Data, &refused) != nil {
		return nil
	}
	return refused.toError()
}

type wirePart struct {
	Attempt         uint64           `json:"attempt"`
	Service         fleet.ServiceID  `json:"service"`
	Shard           snapshot.ShardID `json:"shard"`
	Server          fleet.ServerID   `json:"server"`
	Version         snapshot.Version `json:"version"`
	RemainingMicros int64            `json:"left-micros"`
	Hedge           bool             `json:"hedge,omitempty"`
	Idempotent      bool             `json:"idempotent,omitempty"`
	// Query is absent if it is the same as that of the previous part, as it is among the parts of one query.
	Query json.RawMessage `json:"query,omitempty"`
}

type partsRunParams struct {
	// Forwarded is set if the sender itself received the parts from another instance.
	Forwarded bool       `json:"forwarded,omitempty"`
	Parts     []wirePart `json:"parts"`
}

// sameQuery reports whether two queries share the same memory; it does not compare their bytes.
func sameQuery(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func toPartsRun(parts []query.Part, forwarded bool, now time.Time) partsRunParams {
	run := partsRunParams{Forwarded: forwarded, Parts: make([]wirePart, len(parts))}
	for i, part := range parts {
		run.Parts[i] = wirePart{
			part.Attempt, part.Service, part.Shard, part.Server, part.Version,
			part.Deadline.Sub(now).Microseconds(), part.Hedge, part.Idempotent, part.Query,
		}
		if i > 0 && sameQuery(part.Query, parts[i-1].Query) {
			run.Parts[i].Query = nil
		}
	}
	return run
}

func (p partsRunParams) toParts(now time.Time) []query.Part {
	parts := make([]query.Part, len(p.Parts))
	for i, wire := range p.Parts {
		if i > 0 && len(wire.Query) == 0 {
			wire.Query = parts[i-1].Query
		}
		parts[i] = query.Part{
			Attempt: wire.Attempt, Service: wire.Service, Shard: wire.Shard, Server: wire.Server,
			Version: wire.Version, Deadline: now.Add(time.Duration(wire.RemainingMicros) * time.Microsecond),
			Hedge: wire.Hedge, Idempotent: wire.Idempotent, Query: wire.Query,
		}
	}
	return parts
}

type wireResult struct {
	Attempt uint64 `json:"attempt"`
	// Shard, Server and Version are those of the result, so that the sender of the part can detect a result of another
	// part.
	Shard         snapshot.ShardID   `json:"shard"`
	Server        fleet.ServerID     `json:"server"`
	Version       snapshot.Version   `json:"version"`
	Rows          json.RawMessage    `json:"rows,omitempty"`
	Err           *wireError         `json:"error,omitempty"`
	HeldVersions  []snapshot.Version `json:"held,omitempty"`
	Leaving       bool               `json:"leaving,omitempty"`
	Warm          bool               `json:"warm,omitempty"`
	WaitMicros    int64              `json:"wait-micros,omitempty"`
	ElapsedMicros int64              `json:"elapsed-micros,omitempty"`
}

type partsResultParams struct {
	// Call is the request id of the parts.run call that the results belong to.
	Call    uint64       `json:"call"`
	Results []wireResult `json:"results"`
}

func toWireResult(result query.Result) wireResult {
	return wireResult{
		result.Attempt, result.Shard, result.Server, result.Version, result.Rows, toWireError(result.Err),
		result.HeldVersions, result.Leaving, result.Warm, result.QueueWait.Microseconds(), result.Elapsed.Microseconds(),
	}
}

func (w wireResult) toResult() query.Result {
	return query.Result{
		Attempt: w.Attempt, Shard: w.Shard, Server: w.Server, Version: w.Version, Rows: w.Rows,
		Err: w.Err.toError(), HeldVersions: w.HeldVersions, Leaving: w.Leaving, Warm: w.Warm,
		QueueWait: time.Duration(w.WaitMicros) * time.Microsecond,
		Elapsed:   time.Duration(w.ElapsedMicros) * time.Microsecond,
	}
}

type partsCancelParams struct {
	Attempts []uint64 `json:"attempts"`
}

type ticketRunParams struct {
	Ticket          string          `json:"ticket"`
	Digest          ticket.Digest   `json:"digest"`
	Application     string          `json:"application"`
	Body            json.RawMessage `json:"body"`
	RemainingMicros int64           `json:"left-micros"`
}

type ticketRunResult struct {
	Answer   json.RawMessage `json:"answer,omitempty"`
	Err      *wireError      `json:"error,omitempty"`
	Field    string          `json:"field,omitempty"`
	Coverage *api.Coverage   `json:"coverage,omitempty"`
}

type configurationChangedParams struct {
	Revision uint64 `json:"revision"`
}
