// Package forwarding passes callers' requests on to another entry instance. An instance that is partitioned from the
// replicas of a request, while its callers and the other instances still reach it, cannot serve the request itself.
//
// Helpers decides which instance is asked; it does no I/O. A Forwarder asks instances until one has served the request
// or may have. A Server answers the instances that ask. A request is forwarded at most once on its way: the instance
// that is asked serves it or refuses it, and never forwards it.
package forwarding

import (
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Request is a caller's request as the origin, the instance that received it, passes it on.
type Request struct {
	Origin fleet.InstanceID `json:"origin"`
	// Number identifies the request among those of the origin's process, for its cancellation.
	Number uint64 `json:"number"`
	// Message is the request in the form of HTTP/1.1, with a Content-Length if it has a body.
	Message []byte `json:"message"`
	// AttemptsUsed is the number of replicas of each shard at which the request may have run already.
	AttemptsUsed int `json:"attempts-used,omitempty"`
	// Customer is the name of the customer whose key the origin has checked; empty if the request needs none. The message
	// does not have the key.
	Customer string `json:"customer,omitempty"`
	// RemainingMillis is the time until the deadline.
	RemainingMillis float64 `json:"remaining-millis"`
}

// Reply is the answer to a forwarded request.
type Reply struct {
	// Refused is set if the instance did not run the request and never will. There is no Message then.
	Refused bool           `json:"refused,omitempty"`
	Reason  verdict.Reason `json:"reason"`
	// Quarantined is set if the instance refused because the request crashes replicas, so that no other one serves it
	// either. Reason does not say so, because the reasons of one build must be known to the one before.
	Quarantined bool `json:"quarantined,omitempty"`
	// Unreachable is set if the instance refused because it does not reach the replicas either.
	Unreachable      bool  `json:"unreachable,omitempty"`
	RetryAfterMillis int64 `json:"retry-after-millis,omitempty"`
	// Message is the answer in the form of HTTP/1.1, with a Content-Length.
	Message []byte `json:"message,omitempty"`
}

// cancellation tells a peer that the caller of a forwarded request has gone.
type cancellation struct {
	Origin fleet.InstanceID `json:"origin"`
	Number uint64           `json:"number"`
}

// Methods by which instances forward requests to each other.
const (
	ForwardMethod = "forward"
	// ForwardForCustomerMethod forwards a request with a customer. Instances of earlier builds, which would run it without
	// looking at the customer, do not have the method and refuse it.
	ForwardForCustomerMethod = "forward-for-customer"

	CancelMethod = "cancel-forward"
)
