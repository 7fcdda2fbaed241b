// Package replica is the owner's side of backend servers: it admits parts to the servers that this entry instance owns,
// runs them through a Transport and delivers one result for each. For each server it holds the slots in use, the queue,
// the warm-up ramp, the hedge budget, and the state with its reason.
//
// Only the owner of a server changes this state; a handover passes it to the next owner. The package opens no
// connections itself.
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
	// RequestID is unique in the fleet. The server echoes it, and a cancellation names it.
	RequestID string
	Service   fleet.ServiceID
	Shard     snapshot.ShardID
	Version   snapshot.Version
	Deadline  time.Time
	// Idempotent permits the transport to send the call again on another connection.
	Idempotent bool
	Query      json.RawMessage
	// Permitted reports whether the call may still be sent. The transport calls it immediately before it writes the
	// first byte of each attempt, because opening or probing a connection can take milliseconds and the process may
	// have been paused meanwhile. If it returns false, nothing is written. Nil permits every write.
	Permitted func() bool
}

// Answer is a complete response that matches its call.
type Answer struct {
	Rows json.RawMessage
	// StartMark is a random identifier that the server's process draws when it starts. A change means that the server
	// has restarted and is cold.
	StartMark string
	// HeldVersions lists the index versions that the server holds.
	HeldVersions []snapshot.Version
	// Leaving is set when the server accepts no new work because it is about to shut down.
	Leaving bool
}

// Transport sends calls to backend servers. The error of Do is a *verdict.Error that states correctly whether the call
// may have run.
type Transport interface {
	Do(ctx context.Context, server fleet.Server, call Call) (Answer, error)
}
