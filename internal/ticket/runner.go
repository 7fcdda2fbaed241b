package ticket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Settings are the settings of a Runner. A numeric or duration field that is zero takes its default.
type Settings struct {
	Instance fleet.InstanceID
	// Key is the peer key, which entry instances share; it authenticates tickets.
	Key []byte
	// MaxTickets is the maximum number of tickets in the window; default 100,000.
	MaxTickets int
	// TTL is how long after its issue a ticket can be used for the first time; default 10 min.
	TTL time.Duration
	// MaxOutcomeBytes is the maximum total size of the retained answers and coverages; default 32 MiB.
	MaxOutcomeBytes int
	// ExecutionTimeout bounds an execution whose caller set no deadline; default 1 min.
	ExecutionTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.MaxTickets == 0 {
		s.MaxTickets = 100_000
	}
	if s.TTL == 0 {
		s.TTL = 10 * time.Minute
	}
	if s.MaxOutcomeBytes == 0 {
		s.MaxOutcomeBytes = 32 << 20
	}
	if s.ExecutionTimeout == 0 {
		s.ExecutionTimeout = time.Minute
	}
	return s
}

// Runner issues the tickets of one incarnation and executes the request of each ticket at most once. It is safe for
// concurrent use.
type Runner struct {
	settings    Settings
	incarnation Incarnation

	mu     sync.Mutex
	window window
}

// New returns a Runner with a new incarnation that it reads from random. Except in tests, random must be a
// cryptographically secure source: two processes with the same incarnation could both execute the same ticket.
func New(settings Settings, random io.Reader) (*Runner, error) {
	if settings.Instance == "" || len(settings.Instance) > maxInstanceBytes || len(settings.Key) < 16 {
		return nil, errors.New("ticket settings: the instance name must have 1 to 100 bytes and the key at least 16 bytes")
	}
	r := &Runner{settings: settings.withDefaults()}
	if _, err := io.ReadFull(random, r.incarnation[:]); err != nil {
		return nil, fmt.Errorf("generate an incarnation: %w", err)
	}
	r.window = newWindow(r.settings)
	return r, nil
}

// Incarnation returns the incarnation of this process.
func (r *Runner) Incarnation() Incarnation { return r.incarnation }

// Issue returns new tickets and the time for which they are valid. A request for more tickets than the window holds is
// refused, because the first of them would expire at once.
func (r *Runner) Issue(count int) ([]string, time.Duration, error) {
	if count < 1 || count > r.settings.MaxTickets {
		return nil, 0, verdict.New(verdict.NotRun, verdict.InvalidRequest,
			"%d tickets requested, allowed are 1 to %d", count, r.settings.MaxTickets)
	}
	sequences := make([]uint64, count)
	now := time.Now()
	r.mu.Lock()
	for i := range sequences {
		sequences[i] = r.window.issue(now)
	}
	r.mu.Unlock()
	texts := make([]string, count)
	for i, sequence := range sequences {
		texts[i] = ticketID{r.settings.Instance, r.incarnation, sequence}.encode(r.settings.Key)
	}
	return texts, r.settings.TTL, nil
}

// Run executes the request of a ticket of this incarnation, waits for the execution in progress, or returns the
// retained outcome. The execution uses the values and the deadline of the first caller's context but is not cancelled
// with it. A NotRun verdict of an execution is final, and the ticket cannot be used again: a caller that receives
// NotRun sends the request under another ticket, while an earlier copy under this one may still arrive.
func (r *Runner) Run(ctx context.Context, text string, digest Digest, execute func(context.Context) Outcome) Outcome {
	ticket, refused := parse(r.settings.Key, text)
	if refused != nil {
		return Outcome{Err: refused}
	}
	if ticket.instance != r.settings.Instance || ticket.incarnation != r.incarnation {
		return Outcome{Err: unknownTicket("the ticket was not issued by the running incarnation of this instance")}
	}
	entry, run, first, refused := r.claim(ctx, ticket.sequence, digest)
	if refused != nil {
		return Outcome{Err: refused}
	}
	if first {
		go r.execute(ctx, entry, execute)
	}
	select {
	case <-run.done:
		return run.outcome
	case <-ctx.Done():
	}
	// The execution may have finished at the same time; its outcome is more useful than MayHaveRun.
	if run.finished() {
		return run.outcome
	}
	return Outcome{Err: verdict.New(verdict.MayHaveRun, contextReason(ctx), "the ticketed request is still running")}
}

// notStartedRetryAfter is the Retry-After of a request whose context ended before it started. The instance, or the path
// to it, was slow for a moment.
const notStartedRetryAfter = 100 * time.Millisecond

// contextReason returns the reason for which a context has ended.
func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.DeadlinePassed
	}
	return verdict.Cancelled
}

// claim returns the ticket's entry and its execution, and whether the calling Run has to start the execution. If ctx
// has already ended, it completes a new execution with NotRun at once, so that a later copy of the request does not
// run.
func (r *Runner) claim(ctx context.Context, sequence uint64, digest Digest) (*windowEntry, *execution, bool, *verdict.Error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.evict(now)
	entry, refused := r.window.find(sequence, now)
	if refused != nil {
		return nil, nil, false, refused
	}
	if entry.execution != nil {
		if entry.digest != digest {
			return nil, nil, false, verdict.New(verdict.NotRun, verdict.TicketReused, "the ticket was already used for a different request")
		}
		return entry, entry.execution, false, nil
	}
	r.window.bind(sequence, entry, digest)
	if ctx.Err() != nil {
		r.window.complete(entry, Outcome{Err: verdict.New(verdict.NotRun, contextReason(ctx), "the deadline passed or the request was cancelled before it started").WithRetryAfter(notStartedRetryAfter)})
		return entry, entry.execution, false, nil
	}
	return entry, entry.execution, true, nil
}

// execute runs the function and completes the entry's execution with its outcome.
func (r *Runner) execute(caller context.Context, entry *windowEntry, execute func(context.Context) Outcome) {
	deadline, ok := caller.Deadline()
	if !ok {
		deadline = time.Now().Add(r.settings.ExecutionTimeout)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), deadline)
	defer cancel()
	outcome := Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ServerError, "the execution failed")}
	defer func() {
		// A panic in one request must neither end the process nor leave the retries waiting for an outcome.
		if recovered := recover(); recovered != nil {
			outcome.Err.Detail = fmt.Sprintf("the execution panicked: %v", recovered)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.window.complete(entry, outcome)
	}()
	outcome = execute(ctx)
}
