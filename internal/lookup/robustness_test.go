package lookup

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// senderFunc adapts a function to a Sender.
type senderFunc func(ctx context.Context, request *Request, to directory.Replica, bounds SendLimits) Outcome

func (s senderFunc) Send(ctx context.Context, request *Request, to directory.Replica, bounds SendLimits) Outcome {
	return s(ctx, request, to, bounds)
}

// TestPanicInSend guards against a panic while an answer is read that ends the process, or that is reported as a
// request that has not run.
func TestPanicInSend(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) })
		healthy := s.engine.sender
		s.engine.sender = senderFunc(func(ctx context.Context, request *Request, to directory.Replica, bounds SendLimits) Outcome {
			if to.Service == "s0" {
				time.Sleep(work)
				panic("a mistake in a decoder")
			}
			return healthy.Send(ctx, request, to, bounds)
		})
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil)
		is.Equal(result.MissingShards, 1)
		result = s.run(s.singleRoute)
		is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
		is.Equal(s.engine.Running(), int64(0))
	})
}

// TestMemoryOfRequests guards against requests that are started when there is no memory for their answers, and against
// memory that is never released.
func TestMemoryOfRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) })
		account := memory.New(4 << 20) // of which one route may hold a quarter
		s.engine.memory = account
		s.engine.sender = senderFunc(func(_ context.Context, _ *Request, _ directory.Replica, bounds SendLimits) Outcome {
			outcome := good(work).outcome
			if !bounds.ReserveMemory(64 << 10) {
				return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer}
			}
			time.Sleep(work)
			outcome.Body = bytes.Repeat([]byte{1}, 64<<10)
			return outcome
		})
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil)
		is.Equal(result.MissingShards, 0)
		is.Equal(len(result.Records), s.fanoutRoute.MaxRecords*recordSize)
		is.Equal(account.Used(), int64(0))

		ofRoute := s.engine.OpenReservation(s.fanoutRoute)
		is.True(ofRoute.Take(1 << 20))
		is.True(!ofRoute.Take(1))
		result = s.run(s.fanoutRoute)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.True(result.Failure.RetryAfter > 0)
		is.True(s.run(s.singleRoute).Failure == nil) // one route does not take the memory of the others
		ofRoute.Close()
		is.True(s.run(s.fanoutRoute).Failure == nil)

		ofOthers := account.OpenReservation()
		is.True(ofOthers.Take(4 << 20))
		is.Equal(s.run(s.singleRoute).Failure.Verdict, verdict.NotRun)
		ofOthers.Close()
		is.True(s.run(s.singleRoute).Failure == nil)
		is.Equal(account.Used(), int64(0))
	})
}

// TestPartLimit guards against a limit that applies to a new route before the sizes of its parts are known, and against
// parts that are never limited.
func TestPartLimit(t *testing.T) {
	is := is.New(t)
	var sizes partSizes
	for range minPartSamples - 1 {
		sizes.observe(400)
	}
	is.Equal(sizes.limit(), int64(0))
	sizes.observe(400)
	is.Equal(sizes.limit(), int64(minPartLimit))
	sizes.observe(100_000)
	is.Equal(sizes.limit(), int64(partSizeFactor*100_000))
}
