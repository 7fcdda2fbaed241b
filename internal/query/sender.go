// Package query runs the queries of callers. For one query it pins an index version, sends a part to a replica of each
// shard, hedges and retries parts within the deadline, and composes the answer together with its actual coverage.
//
// The state of a query is used by one goroutine only. The package opens no sockets: parts leave it through a Sender. It
// reads the time from package time, so that its tests can run on the fake clock of testing/synctest.
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
	// Attempt is unique within the process of the coordinator. It matches a Result to its Part.
	Attempt uint64
	Service fleet.ServiceID
	Shard   snapshot.ShardID
	Server  fleet.ServerID
	Version snapshot.Version
	// Deadline is the time after which the coordinator no longer uses the result.
	Deadline time.Time
	// Hedge marks an additional attempt that is sent while another one is still in flight.
	Hedge bool
	// Idempotent allows the owner to send the part again on another connection.
	Idempotent bool
	// Query is the caller's query, unchanged.
	Query json.RawMessage
}

// Result is the outcome of one part. Exactly one result is delivered for each part that was sent.
type Result struct {
	Attempt uint64
	Shard   snapshot.ShardID
	Server  fleet.ServerID
	Version snapshot.Version
	// Rows is the backend server's answer; nil if Err is set.
	Rows json.RawMessage
	// Err is nil if the answer is complete and belongs to the part.
	Err *verdict.Error
	// HeldVersions lists the index versions that the backend server reported as held; nil if it did not report them.
	HeldVersions []snapshot.Version
	// Leaving is set if the backend server reported that it is shutting down.
	Leaving bool
	// Warm reports the view of the owner: the backend server has passed its warm-up ramp and is not shedding load.
	Warm bool
	// QueueWait is the owner's estimate of how long a new part would queue for this backend server.
	QueueWait time.Duration
	// Elapsed is the time from when the owner sent the call to its outcome; zero if it was not sent.
	Elapsed time.Duration
}

// Sender sends parts to the owners of their backend servers. An owner is this process or a peer.
type Sender interface {
	// Send starts the parts and returns without waiting for their results. It calls deliver exactly once for each part,
	// from any goroutine, even after ctx is done. The parts that are in flight when ctx is done are cancelled.
	Send(ctx context.Context, owner fleet.InstanceID, parts []Part, deliver func(Result))
	// Cancel cancels one part of a query whose context is not done, such as the slower attempt after a hedge has been
	// answered.
	Cancel(owner fleet.InstanceID, attempt uint64)
}
