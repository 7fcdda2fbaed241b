// Package replica holds what the owner of a backend server knows of it: slots in use, the queue, the
// warm-up ramp, the hedge budget and the state with its reason.
//
// The owner alone changes this state. The package opens no connection; calls leave through a
// Transport.
package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

// Call is one request to one backend server.
type Call struct {
	// RequestID is unique over the fleet; the server echoes it and accepts its cancellation.
	RequestID string
	Service   fleet.ServiceID
	Shard     snapshot.ShardID
	Version   snapshot.Version
	Deadline  time.Time
	// Idempotent allows sending the call again on another connection.
	Idempotent bool
	Query      json.RawMessage
	// Permitted is asked directly before the first byte is written, also of a second attempt: a connection may
	// take milliseconds to open or to probe, and a process may be paused meanwhile. When it returns false nothing
	// is written. Nil permits the write.
	Permitted func() bool
}

// Reply is a complete answer that matches its call.
type Reply struct {
	Rows json.RawMessage
	// StartMark is random for each start of the server's process; a change means that it is cold.
	StartMark string
	// Held lists the versions that the server holds.
	Held []snapshot.Version
	// Leaving is set when the server takes no new work.
	Leaving bool
}

// Transport carries calls to backend servers. An error is a *verdict.Error whose verdict is true.
type Transport interface {
	Do(ctx context.Context, server fleet.Server, call Call) (Reply, error)
}
