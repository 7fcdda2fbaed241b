package replica

import (
	"context"
	"errors"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// The refusals are shared values, so that refusing parts under overload allocates little. They must not be changed.
var (
	errOverloaded     = verdict.New(verdict.NotRun, verdict.Overloaded, "the server has no free slot in time for the deadline")
	errHedgeRefused   = verdict.New(verdict.NotRun, verdict.HedgeRefused, "the server is not warm, has no free slot or has used up its hedge budget")
	errLeaving        = verdict.New(verdict.NotRun, verdict.Leaving, "the server is leaving")
	errZoneOut        = verdict.New(verdict.NotRun, verdict.ZoneOut, "operators have taken the server's zone out of service")
	errInstanceOut    = verdict.New(verdict.NotRun, verdict.InstanceOut, "operators have taken the server out of service")
	errNotOwner       = verdict.New(verdict.NotRun, verdict.NotOwner, "this instance does not hold a claim to the server")
	errUnknownServer  = verdict.New(verdict.NotRun, verdict.NoReplica, "the server is not in the fleet view")
	errFenced         = verdict.New(verdict.NotRun, verdict.Fenced, "this instance is fenced: its last completed heartbeat round is too old")
	errDeadlinePassed = verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the deadline passed before the part was sent")
	// errLimiterRemoved tells accept to try again with a new limiter. It is never delivered.
	errLimiterRemoved = verdict.New(verdict.NotRun, verdict.NoReplica, "the state of the server was removed")
	errCancelled      = verdict.New(verdict.NotRun, verdict.Cancelled, "the part was cancelled before it was sent")
)

// contextRefusal returns the refusal of a part whose context ended before the part was sent.
func contextRefusal(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadlinePassed
	}
	return errCancelled
}

// toVerdictError returns err as a *verdict.Error. An error without a verdict is taken as MayHaveRun. A nil error gives
// nil.
func toVerdictError(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	if known, ok := errors.AsType[*verdict.Error](err); ok {
		return known
	}
	return verdict.New(verdict.MayHaveRun, verdict.ServerError, "%v", err)
}
