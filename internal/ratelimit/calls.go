package ratelimit

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// GrantMethod is the method by which instances request tokens from each other.
const GrantMethod = "grant-requests"

const (
	// callTimeout limits a call. An answer that comes later has hardly a token left that can be used.
	callTimeout = 250 * time.Millisecond
	// maxCallTime bounds the mean time of a call, so that a few slow ones do not keep requests from asking.
	maxCallTime = 3 * time.Millisecond
	// maxCalls bounds the calls to one allocator that are in progress.
	maxCalls = 4
	// maxWants bounds the customers in one call, so that it fits in a frame between instances.
	maxWants = 256
	// confirmInterval is the time between two rounds of questions whether others know of an epoch.
	confirmInterval = time.Second
	// graceMargin is added to the time between two claims of the grace, for a store whose clock runs a little faster.
	graceMargin = time.Second
)

type grantRequest struct {
	From  fleet.InstanceID `json:"from"`
	Epoch uint64           `json:"epoch"`
	Wants []wantMessage    `json:"wants"`
}

type wantMessage struct {
	Customer string `json:"customer"`
	Tokens   int    `json:"tokens"`
}

// grantResponse has one grant for each want, in the same order, and the epoch that the allocator knows.
type grantResponse struct {
	Epoch  uint64         `json:"epoch"`
	Grants []grantMessage `json:"grants"`
}

type grantMessage struct {
	Tokens int `json:"tokens,omitempty"`
	// RetryMillis is the time after which to ask again; 0 if all tokens were granted.
	RetryMillis float64 `json:"retry-millis,omitempty"`
}

// queue holds what is to be asked of one allocator, while maxCalls calls to it are in progress.
type queue struct {
	wants []wantMessage
	calls int
}

// enqueue requests tokens from another instance. Requests that come while maxCalls calls are in progress share the next
// one. The mutex must be held.
func (l *Limiter) enqueue(id fleet.InstanceID, name string, tokens int) {
	q := l.queues[id]
	if q == nil {
		q = &queue{}
		l.queues[id] = q
	}
	q.wants = append(q.wants, wantMessage{name, tokens})
	if q.calls < maxCalls {
		q.calls++
		go l.runQueue(id, q)
	}
}

func (l *Limiter) runQueue(id fleet.InstanceID, q *queue) {
	for {
		l.mutex.Lock()
		if len(q.wants) == 0 {
			if q.calls--; q.calls == 0 {
				delete(l.queues, id)
			}
			l.mutex.Unlock()
			return
		}
		wants := q.wants[:min(len(q.wants), maxWants)]
		q.wants = q.wants[len(wants):]
		address := l.addresses[id]
		l.mutex.Unlock()
		l.call(id, address, wants)
	}
}

// call asks an allocator for tokens and adds those that it grants.
func (l *Limiter) call(id fleet.InstanceID, address string, wants []wantMessage) {
	assignment, _, _ := l.allocator.current()
	sent := l.Clock()
	var response grantResponse
	err := errNoAnswer
	func() {
		defer panics.Recover("request tokens from an allocator", nil)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err = l.Peers.Call(ctx, address, GrantMethod, grantRequest{l.Self.ID, assignment.Epoch, wants}, &response)
	}()
	l.counters.Calls.Add(1)
	now := l.Clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	failed := err != nil || len(response.Grants) != len(wants)
	switch _, down := l.downUntil[id]; {
	case failed && !down:
		klog.InfoS("Allocator of customers' limits does not answer", "instance", id, "err", err)
	case !failed && down:
		klog.InfoS("Allocator of customers' limits answers again", "instance", id)
	}
	if failed {
		l.counters.FailedCalls.Add(1)
		l.downUntil[id] = now + downTime
	} else {
		delete(l.downUntil, id)
		l.callTime += (min(now-sent, maxCallTime) - l.callTime) / 8
	}
	for i, want := range wants {
		p := l.pools[want.Customer]
		if p == nil || p.states[id] == nil {
			continue
		}
		granted, next := 0, downTime
		if !failed {
			grant := response.Grants[i]
			granted = max(0, min(grant.Tokens, want.Tokens))
			next = seconds(max(0, grant.RetryMillis) / 1000)
		}
		l.receive(p, p.states[id], granted, min(next, 2*maxRetry), sent, now)
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// confirmEpoch asks the members of the epoch before whether they know of the current one, until ctx ends.
func (l *Limiter) confirmEpoch(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range l.allocator.unconfirmed(l.Clock()) {
			l.mutex.Lock()
			address := l.addresses[id]
			l.mutex.Unlock()
			if address == "" {
				continue
			}
			func() {
				defer panics.Recover("ask an allocator for its epoch", nil)
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				var response grantResponse
				if err := l.Peers.Call(callCtx, address, GrantMethod, grantRequest{From: l.Self.ID}, &response); err == nil {
					l.allocator.confirm(id, response.Epoch)
				}
			}()
		}
	}
}

// claimGrace makes use of the grace after the start if it is needed and no earlier process can have used it in the same
// window.
func (l *Limiter) claimGrace(ctx context.Context) {
	for l.Clock() < l.allocator.fullAt {
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.allocator.fullAt - l.Clock()):
			return
		case <-l.allocator.graceDue:
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		claimed, err := l.Store.ClaimGrace(callCtx, l.Bounds.memory()+graceMargin)
		cancel()
		if claimed {
			l.allocator.allowGrace()
		}
		klog.InfoS("Grace for customers' limits after the start claimed", "claimed", claimed, "err", err)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeTimeout):
		}
	}
}

// AnswerGrant handles a call of GrantMethod. It implements peerrpc.Handler.
func (l *Limiter) AnswerGrant(_ context.Context, params json.RawMessage) (any, error) {
	var request grantRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	l.mutex.Lock()
	customers := l.customers
	l.mutex.Unlock()
	now := l.Clock()
	wants := request.Wants[:min(len(request.Wants), maxWants)]
	response := grantResponse{Grants: make([]grantMessage, len(wants))}
	if assignment, _, _ := l.allocator.current(); assignment != nil {
		response.Epoch = assignment.Epoch
	}
	for i, want := range wants {
		granted, next := l.allocator.grant(customers.ByName(want.Customer), request.From, request.Epoch, want.Tokens, now)
		l.counters.Granted.Add(int64(granted))
		response.Grants[i] = grantMessage{granted, float64(next) / float64(time.Millisecond)}
	}
	return response, nil
}
