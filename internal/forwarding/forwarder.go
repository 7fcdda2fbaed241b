package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// maxTries is the number of instances that are asked for one request. With two thirds of the instances partitioned,
	// one of six reaches the replicas in 91 of 100 cases, also before anything is known of them.
	maxTries = 6
	// maxInProgress is the number of requests that an instance forwards at a time; each is held in memory.
	maxInProgress = 256
	// maxMessageBytes is the size of the largest request that is forwarded. Encoded, it has to fit in a frame between
	// instances, which holds 64 KiB.
	maxMessageBytes = 40 << 10
	// connectTimeout limits the time to connect to an instance, which takes a round trip.
	connectTimeout = 150 * time.Millisecond
	// replySlack is how long after the deadline the reply of an instance is awaited, which itself refuses at the deadline.
	replySlack = 50 * time.Millisecond
)

// Peers calls other instances.
type Peers interface {
	// Forward sends the request to the instance at the address and waits for its reply. sent is false if the instance
	// cannot have received the request. If ctx ends before, the instance is told to cancel the request.
	Forward(ctx context.Context, address string, request *Request) (reply Reply, sent bool, err error)
}

// Counters counts forwarded requests by what became of them.
type Counters struct {
	Served, Refused, Failed atomic.Int64
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	self       fleet.InstanceID
	helpers    *Helpers
	peers      Peers
	number     atomic.Uint64
	inProgress atomic.Int64
	counters   Counters
}

// New returns a forwarder for the instance self.
func New(self fleet.InstanceID, helpers *Helpers, peers Peers) *Forwarder {
	return &Forwarder{self: self, helpers: helpers, peers: peers}
}

// Counters returns the counters, which continue to change.
func (f *Forwarder) Counters() *Counters { return &f.counters }

// Available reports whether a request of the route and of the size in bytes can be forwarded now.
func (f *Forwarder) Available(route *routing.Route, size int) bool {
	return size <= maxMessageBytes && f.inProgress.Load() < maxInProgress && f.helpers.Available(route.Name, time.Now())
}

// Helped reports whether the last request that was forwarded was served.
func (f *Forwarder) Helped() bool { return f.helpers.Helped() }

// Result is what became of a request that was to be forwarded.
type Result struct {
	// Reply is the reply of the instance By; nil if no instance ran the request.
	Reply *Reply
	By    fleet.InstanceID
	// Failure is set if an instance may have run the request, but its reply is not known, if the caller has gone, or if
	// the request is quarantined.
	Failure *verdict.Error
	// Tries is the number of instances that were asked.
	Tries int
}

// Forward asks instances to serve the request until one has, or may have. If the result has neither a reply nor a
// failure, the request has not run and will not. It is not sent to another instance if one that it has reached does not
// answer, because the attempts that the route allows may have been used there.
func (f *Forwarder) Forward(ctx context.Context, route *routing.Route, request Request, deadline time.Time) (result Result) {
	f.inProgress.Add(1)
	defer f.inProgress.Add(-1)
	request.Origin = f.self
	var tried []fleet.InstanceID
	for len(tried) < maxTries && time.Now().Before(deadline) {
		helper, ok := f.helpers.Choose(route.Name, tried, time.Now())
		if !ok {
			break
		}
		tried = append(tried, helper.ID)
		result.Tries = len(tried)
		reply, sent, err := f.ask(ctx, helper, request, deadline)
		switch now := time.Now(); {
		case err == nil && !reply.Refused:
			f.recordAnswer(route, helper, &reply, now)
			result.Reply, result.By = &reply, helper.ID
			return result
		case err == nil && reply.Quarantined:
			f.counters.Refused.Add(1)
			result.Failure = verdict.New(verdict.NotRun, verdict.Quarantined, "instance %s holds the request", helper.ID).
				WithRetryAfter(time.Duration(reply.RetryAfterMillis) * time.Millisecond)
			return result
		case err == nil:
			f.helpers.Refused(route.Name, helper.ID, reply.Unreachable, time.Duration(reply.RetryAfterMillis)*time.Millisecond, now)
			continue
		case ctx.Err() != nil:
			result.Failure = verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller cancelled the request")
			return result
		}
		f.helpers.Silent(helper.ID, time.Now())
		klog.InfoS("Instance did not serve a forwarded request", "instance", helper.ID, "sent", sent, "err", err)
		if sent {
			f.counters.Failed.Add(1)
			f.helpers.Failed(route.Name, helper.ID, time.Now())
			result.Failure = verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "no answer from instance %s, to which the request was forwarded", helper.ID)
			return result
		}
	}
	f.counters.Refused.Add(1)
	f.helpers.Exhausted(route.Name, time.Now())
	return result
}

// recordAnswer records an answer of an instance. The error answer of a replica shows that the instance reaches it.
func (f *Forwarder) recordAnswer(route *routing.Route, helper directory.Instance, reply *Reply, now time.Time) {
	if reply.Reason == verdict.None || reply.Reason == verdict.ServerError {
		f.helpers.Served(route.Name, helper.ID, now)
		f.counters.Served.Add(1)
		return
	}
	f.helpers.Failed(route.Name, helper.ID, now)
	f.counters.Failed.Add(1)
}

// ask sends the request to one instance.
func (f *Forwarder) ask(ctx context.Context, helper directory.Instance, request Request, deadline time.Time) (reply Reply, sent bool, err error) {
	callCtx, cancel := context.WithDeadline(ctx, deadline.Add(replySlack))
	defer cancel()
	request.Number = f.number.Add(1)
	request.RemainingMillis = float64(time.Until(deadline)) / float64(time.Millisecond)
	return f.peers.Forward(callCtx, helper.PeerAddress, &request)
}
