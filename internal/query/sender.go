// Package query runs one query: it pins a snapshot, sends a part to a replica of each shard, hedges
// and retries within the deadline, and composes the answer with its true coverage.
//
// The state of a query lives in one goroutine. The package opens no socket; parts leave through a
// Sender. Time is the runtime's clock.
package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Part is the work for one shard at one replica.
type Part struct {
	// Attempt is unique within the coordinator's process; a result is matched by it.
	Attempt uint64
	Service fleet.ServiceID
	Shard   snapshot.ShardID
	Server  fleet.ServerID
	Version snapshot.Version
	// Deadline is when the result is of no use any more.
	Deadline time.Time
	// Hedge marks a second attempt while the first is still in flight.
	Hedge bool
	// Idempotent allows the owner to send the part again on another connection.
	Idempotent bool
	// Query is the caller's query, unchanged.
	Query json.RawMessage
}

// Result is the outcome of one part. Exactly one arrives for each part that was sent.
type Result struct {
	Attempt uint64
	Shard   snapshot.ShardID
	Server  fleet.ServerID
	Version snapshot.Version
	// Rows is the server's answer; nil with Err set.
	Rows json.RawMessage
	// Err is nil for a complete, matching answer.
	Err *verdict.Error
	// Held lists the versions that the server said it holds; nil if it said nothing.
	Held []snapshot.Version
	// Leaving is set when the server said that it goes.
	Leaving bool
	// Warm is the owner's view: the server has passed its warm-up ramp and is not shedding.
	Warm bool
	// Wait is the owner's estimate of how long a new part would queue for this server.
	Wait time.Duration
	// Elapsed is the time between the owner's sending of the call and its outcome; zero if it was not sent.
	Elapsed time.Duration
}

// Sender sends parts to the owner of their servers, which may be this process or a peer.
type Sender interface {
	// Send returns at once. It calls deliver exactly once for each part, from any goroutine, also
	// after ctx is done. When ctx is done the parts still in flight are cancelled.
	Send(ctx context.Context, owner fleet.InstanceID, parts []Part, deliver func(Result))
	// Cancel gives up one part of a query whose context goes on, such as the loser of a hedge.
	Cancel(owner fleet.InstanceID, attempt uint64)
}
