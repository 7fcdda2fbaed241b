package measure

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

const (
	overloadedApplication = "marshal-search"
	// slowServerFaults slows the servers down, so that one machine can offer five times their capacity.
	slowServerFaults = `{"slow-factor":10}`
	// capacityPerSecond is the number of queries per second that the slots of the overloaded application can serve:
	// 6 slots for each shard, 6 * 1000 / 32.5. The service time is log-normal with sigma 0.4, a median of 30 ms and a
	// mean of 32.5 ms.
	capacityPerSecond = 184
	// overloadSeconds is the duration of the measured load.
	overloadSeconds = 4
	// warmUpSeconds is the duration of the same load before the measured load.
	warmUpSeconds = 2
)

// overloadRow holds the results of one application of one system at one load.
type overloadRow struct {
	System, Application string
	// CapacityMultiple is the offered load of the overloaded application divided by its capacity.
	CapacityMultiple                       float64
	Offered, Goodput                       float64
	Refused, WithRetryAfter, Failed        int
	AnswerP99, RefusalP50, RefusalP99      time.Duration
	RequestsOverSlots, PeakInFlight, Slots int
}

// overload loads one application with multiples of its capacity, and beside it the batch application printing and the
// settlement application waiver-intake, whose servers are not slowed down.
func (r *run) overload(ctx context.Context, s *system) error {
	a := s.cluster.Application(overloadedApplication)
	for _, id := range serverIDs(a) {
		if err := s.cluster.SetServerFaults(ctx, id, slowServerFaults); err != nil {
			return err
		}
	}
	s.generator.Run(ctx, cluster.Load{PerSecond: map[string]int{overloadedApplication: int(capacityPerSecond / 2)}, Seconds: 2})
	for _, multiple := range []float64{0.5, 1, 2, 5} {
		load := map[string]int{overloadedApplication: int(multiple * capacityPerSecond), "printing": 20, "waiver-intake": 20}
		s.generator.Run(ctx, cluster.Load{PerSecond: load, Seconds: warmUpSeconds})
		if err := s.cluster.ResetObserved(ctx); err != nil {
			return err
		}
		outcomes := s.generator.Run(ctx, cluster.Load{PerSecond: load, Seconds: overloadSeconds})
		report, err := s.cluster.Observed(ctx)
		if err != nil {
			return err
		}
		for _, name := range []string{overloadedApplication, "waiver-intake", "printing"} {
			outcome := outcomes[name]
			row := overloadRow{
				System: s.name, Application: name, CapacityMultiple: multiple, Offered: float64(outcome.Queries) / overloadSeconds,
				Goodput: float64(outcome.Complete+outcome.Partial) / overloadSeconds, Refused: outcome.Refused, WithRetryAfter: outcome.WithRetryAfter, Failed: outcome.Failed,
				AnswerP99: outcome.Latencies.Percentile(99), RefusalP50: outcome.Refusals.Percentile(50), RefusalP99: outcome.Refusals.Percentile(99),
			}
			for _, id := range serverIDs(s.cluster.Application(name)) {
				seen := report.Servers[id]
				row.RequestsOverSlots += int(seen.OverSlots)
				row.PeakInFlight, row.Slots = max(row.PeakInFlight, seen.PeakInFlight), seen.Slots
			}
			r.overloadRows = append(r.overloadRows, row)
		}
	}
	return ctx.Err()
}
