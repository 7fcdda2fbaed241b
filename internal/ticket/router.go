package ticket

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Router sends each ticketed request to the incarnation that issued its ticket.
type Router struct {
	runner  *Runner
	forward Forwarder
	execute func(context.Context, Call) Outcome
}

// NewRouter returns a router. The function execute runs a request as this instance's own query; a NotRun of
// it must be true, and final.
func NewRouter(runner *Runner, forward Forwarder, execute func(context.Context, Call) Outcome) *Router {
	return &Router{runner, forward, execute}
}

// Route handles a ticketed request that came from a caller. Its verdict speaks of the ticket, not of
// this attempt: that nothing was sent now does not say what an earlier attempt came to.
func (r *Router) Route(ctx context.Context, call Call) Outcome {
	ticket, refused := parse(r.runner.settings.Key, call.Ticket)
	if refused != nil {
		return Outcome{Err: refused}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if ticket.instance == r.runner.settings.Instance {
		return r.run(ctx, call)
	}
	outcome, err := r.forward.ForwardTicket(ctx, ticket.instance, call)
	if err != nil {
		return Outcome{Err: err.WithVerdict(verdict.MayHaveRun)}
	}
	return outcome
}

// RunTicket handles a request that another instance forwarded. It never forwards again.
func (r *Router) RunTicket(ctx context.Context, _ fleet.InstanceID, call Call) Outcome {
	return r.run(ctx, call)
}

func (r *Router) run(ctx context.Context, call Call) Outcome {
	return r.runner.Run(ctx, call.Ticket, call.Digest, func(ctx context.Context) Outcome {
		return r.execute(ctx, call)
	})
}
