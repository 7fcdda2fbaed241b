package measure

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

const (
	overloaded = "marshal-search"
	// slowFactor makes the servers slow enough for the machine to offer five times what they bear.
	slowFactor = `{"slow-factor":10}`
	// capacity is the queries a second of the overloaded application that its slots serve: 6 slots for each
	// shard, 6 * 1000 / 32.5: 30 ms in the median and 32.5 ms in the mean (log-normal with sigma 0.4).
	capacity        = 184
	overloadSeconds = 4
	// settleSeconds of the same load come before what is measured.
	settleSeconds = 2
)

// loadRow is what one application came to at one load.
type loadRow struct {
	System, Application string
	// Times is the offered load of the overloaded application over its capacity.
	Times                              float64
	Offered, Goodput                   float64
	Refused, WithRetryAfter, Failed    int
	AnswerP99, RefusalP50, RefusalP99  time.Duration
	OverSlots, PeakInFlight, SlotLimit int
}

// overload loads one application with multiples of its capacity, next to a batch and a settlement application whose
// servers are not slow.
func (r *run) overload(ctx context.Context, s *system) error {
	a := s.cluster.Application(overloaded)
	for _, id := range servers(a) {
		if err := s.cluster.Fault(ctx, id, slowFactor); err != nil {
			return err
		}
	}
	s.generator.Run(ctx, cluster.Load{PerSecond: map[string]int{overloaded: int(capacity / 2)}, Seconds: 2})
	for _, times := range []float64{0.5, 1, 2, 5} {
		load := map[string]int{overloaded: int(times * capacity), "printing": 20, "waiver-intake": 20}
		s.generator.Run(ctx, cluster.Load{PerSecond: load, Seconds: settleSeconds})
		if err := s.cluster.ResetObserved(ctx); err != nil {
			return err
		}
		outcomes := s.generator.Run(ctx, cluster.Load{PerSecond: load, Seconds: overloadSeconds})
		report, err := s.cluster.Observed(ctx)
		if err != nil {
			return err
		}
		for _, name := range []string{overloaded, "waiver-intake", "printing"} {
			o := outcomes[name]
			row := loadRow{
				System: s.name, Application: name, Times: times, Offered: float64(o.Queries) / overloadSeconds,
				Goodput: float64(o.Whole+o.Partial) / overloadSeconds, Refused: o.Refused, WithRetryAfter: o.WithRetryAfter, Failed: o.Failed,
				AnswerP99: o.Latencies.Percentile(99), RefusalP50: o.Refusals.Percentile(50), RefusalP99: o.Refusals.Percentile(99),
			}
			for _, id := range servers(s.cluster.Application(name)) {
				seen := report.Servers[id]
				row.OverSlots += int(seen.OverSlots)
				row.PeakInFlight, row.SlotLimit = max(row.PeakInFlight, seen.PeakInFlight), seen.Slots
			}
			r.loads = append(r.loads, row)
		}
	}
	return ctx.Err()
}
