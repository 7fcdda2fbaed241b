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

// Settings of a Runner. A zero bound takes its default.
type Settings struct {
	Instance fleet.InstanceID
	// Key is the peer key; it authenticates tickets.
	Key []byte
	// WindowCount is how many tickets the window holds; default 100,000.
	WindowCount int
	// Valid is how long an unused ticket can be used; default 10 min.
	Valid time.Duration
	// OutcomeBytes is the most that remembered answers take; default 32 MiB.
	OutcomeBytes int
	// Longest bounds an execution whose caller set no deadline; default 1 min.
	Longest time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.WindowCount == 0 {
		s.WindowCount = 100_000
	}
	if s.Valid == 0 {
		s.Valid = 10 * time.Minute
	}
	if s.OutcomeBytes == 0 {
		s.OutcomeBytes = 32 << 20
	}
	if s.Longest == 0 {
		s.Longest = time.Minute
	}
	return s
}

// Runner issues the tickets of one incarnation and runs each of them at most once.
type Runner struct {
	settings    Settings
	incarnation Incarnation

	mu     sync.Mutex
	window window
}

// New returns a runner with a fresh incarnation, which it draws from random. The source must be
// unpredictable outside tests: two processes with the same incarnation would both run a ticket.
func New(settings Settings, random io.Reader) (*Runner, error) {
	if settings.Instance == "" || len(settings.Instance) > maxInstance || len(settings.Key) < 16 {
		return nil, errors.New("tickets need an instance name of 1 to 100 bytes and a key of at least 16 bytes")
	}
	r := &Runner{settings: settings.withDefaults()}
	if _, err := io.ReadFull(random, r.incarnation[:]); err != nil {
		return nil, fmt.Errorf("draw an incarnation: %w", err)
	}
	r.window = newWindow(r.settings)
	return r, nil
}

// Incarnation returns the incarnation of this process.
func (r *Runner) Incarnation() Incarnation { return r.incarnation }

// Issue returns new tickets and how long they can be used. More tickets than the window holds are
// refused, since issuing them would expire the first of them at once.
func (r *Runner) Issue(count int) ([]string, time.Duration, error) {
	if count < 1 || count > r.settings.WindowCount {
		return nil, 0, verdict.New(verdict.NotRun, verdict.InvalidRequest,
			"%d tickets asked for, allowed are 1 to %d", count, r.settings.WindowCount)
	}
	first := make([]uint64, count)
	now := time.Now()
	r.mu.Lock()
	for i := range first {
		first[i] = r.window.issue(now)
	}
	r.mu.Unlock()
	texts := make([]string, count)
	for i, sequence := range first {
		texts[i] = name{r.settings.Instance, r.incarnation, sequence}.text(r.settings.Key)
	}
	return texts, r.settings.Valid, nil
}

// Run runs a ticket of this incarnation, waits for the run in progress, or returns what is remembered.
// The execution keeps the values and the deadline of the first caller's context but outlives the
// caller. A verdict of NotRun is final: the ticket is spent, because a caller that has been told
// NotRun sends the request again under another ticket while an earlier copy may still be on its way.
func (r *Runner) Run(ctx context.Context, text string, digest Digest, execute func(context.Context) Outcome) Outcome {
	ticket, refused := parse(r.settings.Key, text)
	if refused != nil {
		return Outcome{Err: refused}
	}
	if ticket.instance != r.settings.Instance || ticket.incarnation != r.incarnation {
		return Outcome{Err: unknown("the ticket was issued by an incarnation that is gone")}
	}
	found, current, first, refused := r.claim(ctx, ticket.sequence, digest)
	if refused != nil {
		return Outcome{Err: refused}
	}
	if first {
		go r.execute(ctx, found, execute)
	}
	select {
	case <-current.done:
		return current.outcome
	case <-ctx.Done():
	}
	// Both may be ready; an outcome is worth more than "may have run".
	if current.ended() {
		return current.outcome
	}
	return Outcome{Err: verdict.New(verdict.MayHaveRun, reasonOf(ctx), "the ticketed request is still running")}
}

func reasonOf(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.DeadlinePassed
	}
	return verdict.Cancelled
}

// claim finds the ticket's entry with its run, and reports whether this call is the one that executes it.
func (r *Runner) claim(ctx context.Context, sequence uint64, digest Digest) (*entry, *run, bool, *verdict.Error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.trim(now)
	found, refused := r.window.find(sequence, now)
	if refused != nil {
		return nil, nil, false, refused
	}
	if found.run != nil {
		if found.digest != digest {
			return nil, nil, false, verdict.New(verdict.NotRun, verdict.TicketReused, "the ticket belongs to another request")
		}
		return found, found.run, false, nil
	}
	r.window.use(sequence, found, digest)
	if ctx.Err() != nil {
		r.window.settle(found, Outcome{Err: verdict.New(verdict.NotRun, reasonOf(ctx), "the request came too late to run")})
		return found, found.run, false, nil
	}
	return found, found.run, true, nil
}

func (r *Runner) execute(caller context.Context, found *entry, execute func(context.Context) Outcome) {
	deadline, ok := caller.Deadline()
	if !ok {
		deadline = time.Now().Add(r.settings.Longest)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), deadline)
	defer cancel()
	outcome := Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ServerError, "the execution failed")}
	defer func() {
		// A panic in one request must neither end the process nor leave the repeats waiting.
		if failure := recover(); failure != nil {
			outcome.Err.Detail = fmt.Sprintf("the execution failed: %v", failure)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.window.settle(found, outcome)
	}()
	outcome = execute(ctx)
}
