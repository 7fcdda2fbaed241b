package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/admission"
	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// notReadyRetryAfter is the time after which a caller may retry when the instance is not ready or is leaving. A new
// instance is ready within about a second.
const notReadyRetryAfter = 500 * time.Millisecond

// service answers the requests of callers; it implements httpapi.Service.
type service struct{ *Instance }

// Query implements httpapi.Service. A query with a ticket is routed to the instance that issued the ticket.
func (s service) Query(ctx context.Context, request httpapi.Request) (json.RawMessage, *api.Refusal) {
	if request.Query.Ticket == "" {
		return s.execute(ctx, request, false)
	}
	boundedCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	outcome := s.tickets.Route(boundedCtx, ticket.Call{
		Ticket: request.Query.Ticket, Digest: ticket.DigestOf(request.Application, request.Query), Application: request.Application,
		Body: request.Body, Deadline: request.Deadline,
	})
	if outcome.Err == nil {
		return outcome.Answer, nil
	}
	s.recordUnreachablePeer(request, outcome.Err)
	return nil, outcome.Refusal(request.Query.ID)
}

// Tickets implements httpapi.Service.
func (s service) Tickets(_ context.Context, count int) (api.Tickets, *api.Refusal) {
	if s.leaving.Load() {
		// A ticket is valid only for the incarnation that issued it, and this one is about to end.
		return api.Tickets{}, &api.Refusal{
			Verdict: verdict.NotRun, Reason: verdict.Leaving, Detail: "this instance is leaving", RetryAfterMillis: notReadyRetryAfter.Milliseconds(),
		}
	}
	issued, valid, err := s.runner.Issue(count)
	if err != nil {
		return api.Tickets{}, &api.Refusal{Verdict: verdict.NotRun, Reason: verdict.Overloaded, Detail: err.Error(), RetryAfterMillis: 1000}
	}
	return api.Tickets{Tickets: issued, ValidMillis: valid.Milliseconds()}, nil
}

// admitAndRun subjects a query to admission control and runs it in this instance. With atMostOnce set, no part of the
// query is executed more than once.
func (i *Instance) admitAndRun(ctx context.Context, request httpapi.Request, atMostOnce bool) (json.RawMessage, *api.Refusal) {
	view := i.holder.Current()
	if view == nil || !i.listLoaded.Load() {
		return nil, &api.Refusal{
			ID: request.Query.ID, Verdict: verdict.NotRun, Reason: verdict.NotReady,
			Detail: "no configuration or no instance list yet", RetryAfterMillis: notReadyRetryAfter.Milliseconds(),
		}
	}
	application := catalogue.ApplicationID(request.Application)
	services := view.Catalogue.Application(application)
	if len(services) == 0 {
		return nil, &api.Refusal{
			ID: request.Query.ID, Verdict: verdict.NotRun, Reason: verdict.UnknownApplication,
			Detail: "no application " + request.Application,
		}
	}
	class := catalogue.Interactive
	if entry, ok := view.Catalogue.Service(services[0]); ok {
		class = entry.Class
	}
	if refusal := refuseShortDeadline(request); refusal != nil {
		return nil, refusal
	}
	permit, failure := i.admission.Admit(application, class, request.Deadline)
	if failure != nil {
		return nil, &api.Refusal{
			ID: request.Query.ID, Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail,
			RetryAfterMillis: failure.RetryAfter.Milliseconds(),
		}
	}
	shards := make([]snapshot.ShardID, len(request.Query.Shards))
	for n, shard := range request.Query.Shards {
		shards[n] = snapshot.ShardID(shard)
	}
	answer, refusal := i.engine.Run(ctx, query.Request{
		Application: application, ID: request.Query.ID, Deadline: request.Deadline,
		Query: request.Query.Query, Shards: shards, AtMostOnce: atMostOnce,
	})
	if refusal != nil {
		permit.Done(admission.OutcomeOf(refusal.Coverage, refusal))
		return nil, refusal
	}
	permit.Done(admission.OutcomeOf(&answer.Coverage, nil))
	recordCoverage(ctx, &answer)
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, &api.Refusal{ID: request.Query.ID, Verdict: verdict.Ran, Reason: verdict.ServerError, Detail: err.Error()}
	}
	return body, nil
}

// refuseShortDeadline returns a refusal if the remaining time is too short for a query even without load, and nil
// otherwise. Admission would treat such a query as a sign of overload and tell the caller when to retry. A deadline
// that has passed is left to admission.
func refuseShortDeadline(request httpapi.Request) *api.Refusal {
	left := time.Until(request.Deadline)
	if left <= 0 || left >= query.MinRemainingTime {
		return nil
	}
	return &api.Refusal{
		ID: request.Query.ID, Verdict: verdict.NotRun, Reason: verdict.DeadlineTooShort, Detail: "less than 2 ms left until the deadline", Field: "deadline-millis",
	}
}

// executeTicket runs a request with a ticket as a query of this instance.
func (i *Instance) executeTicket(ctx context.Context, call ticket.Call) ticket.Outcome {
	parsed, refusal := httpapi.ParseQuery(call.Body)
	var answer json.RawMessage
	if refusal == nil {
		answer, refusal = i.execute(ctx, httpapi.Request{
			Application: call.Application, Query: parsed, Body: call.Body, Deadline: call.Deadline,
		}, true)
	}
	if refusal == nil {
		return ticket.Outcome{Answer: answer}
	}
	return ticket.Refused(refusal)
}

// ticketRunner runs requests that peers forward because this instance issued their tickets.
type ticketRunner struct{ *Instance }

// RunTicket implements peer.TicketRunner. The request counts as in progress, so that a shutdown waits for it.
func (t ticketRunner) RunTicket(ctx context.Context, from fleet.InstanceID, call ticket.Call) ticket.Outcome {
	t.partsRunner.inFlight.Add(1)
	defer t.partsRunner.inFlight.Add(-1)
	return t.tickets.RunTicket(ctx, from, call)
}
