package replica

import (
	"context"
	"errors"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// The refusals are shared values, so that refusing under overload allocates little. Nobody changes them.
var (
	overloaded     = verdict.New(verdict.NotRun, verdict.Overloaded, "the deadline passes before a slot of the server is free")
	refusedHedge   = verdict.New(verdict.NotRun, verdict.HedgeRefused, "the server has no room for a hedge")
	leaving        = verdict.New(verdict.NotRun, verdict.Leaving, "the server is leaving")
	zoneOut        = verdict.New(verdict.NotRun, verdict.ZoneOut, "operators have taken the server's zone out")
	instanceOut    = verdict.New(verdict.NotRun, verdict.InstanceOut, "operators have taken the server out")
	notOwner       = verdict.New(verdict.NotRun, verdict.NotOwner, "this instance may not send to the server")
	unknownServer  = verdict.New(verdict.NotRun, verdict.NoReplica, "the server is not listed")
	fenced         = verdict.New(verdict.NotRun, verdict.Fenced, "the last heartbeat round is too old")
	deadlinePassed = verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the deadline passed before the part was sent")
	gateRemoved    = verdict.New(verdict.NotRun, verdict.NoReplica, "the server was not listed until now")
	cancelled      = verdict.New(verdict.NotRun, verdict.Cancelled, "the part was cancelled before it was sent")
)

// ended returns the refusal of a part whose context ended before it was sent.
func ended(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlinePassed
	}
	return cancelled
}

// failureOf returns the transport's verdict. An error without one may have run.
func failureOf(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	if known, ok := errors.AsType[*verdict.Error](err); ok {
		return known
	}
	return verdict.New(verdict.MayHaveRun, verdict.ServerError, "%v", err)
}
