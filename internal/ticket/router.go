package ticket

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Router passes each ticketed request to the instance that issued its ticket: to this instance's Runner, or to another
// instance through the Forwarder.
type Router struct {
	runner  *Runner
	forward Forwarder
	execute func(context.Context, Call) Outcome
}

// NewRouter returns a Router. execute runs a request as a query of this instance. If it returns the verdict NotRun, the
// query must not have run and must not run later.
func NewRouter(runner *Runner, forward Forwarder, execute func(context.Context, Call) Outcome) *Router {
	return &Router{runner, forward, execute}
}

// Route handles a ticketed request from a caller. The verdict is about the ticket and not about this attempt alone: if
// the request could not be forwarded now, an earlier attempt may still have run, so the verdict is MayHaveRun.
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

// RunTicket handles a request that another instance forwarded. It never forwards a request a second time.
func (r *Router) RunTicket(ctx context.Context, _ fleet.InstanceID, call Call) Outcome {
	return r.run(ctx, call)
}

func (r *Router) run(ctx context.Context, call Call) Outcome {
	return r.runner.Run(ctx, call.Ticket, call.Digest, func(ctx context.Context) Outcome {
		return r.execute(ctx, call)
	})
}
