// Package measure runs medlarlatch and the baseline as separate processes on loopback through the same cases and
// compares them.
//
// A run owns two clusters, one of each kind, and loads them in turn, so that neither disturbs the other. What
// reached the servers is counted by the servers. The package decides no pass or failure.
package measure

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

// limit ends a run in any case.
const limit = 200 * time.Second

// Options configure a run.
type Options struct {
	// Program runs the verbs of cmd/standin.
	Program string
	Seed    uint64
	// Directory is where plots and data go; empty for none.
	Directory string
	// Seconds is the length of each load.
	Seconds float64
	// Only restricts the run to cases whose name contains it.
	Only   string
	Output io.Writer
}

// rates are the queries a second of every application of both deployments.
var rates = map[string]int{
	"marshal-search": 100, "printing": 3, "club-entries": 20, "waiver-intake": 10,
	"handheld-tokens": 100, "feed-ordering": 3, "guide-scheduling": 20, "corral-ledger": 10,
}

// compared are the applications of the tables: one of each deployment with a fan-out of 20.
var compared = []string{"marshal-search", "handheld-tokens"}

// Row is what one application came to in one case.
type Row struct {
	Case, System, Application        string
	Queries, Whole, Partial, Refused int
	Failed                           int
	P50, P99                         time.Duration
	// Coverage is the answered shards over those of all queries, also of refused ones.
	Coverage float64
	// ExtraLoad is what reached the servers over the parts of the queries, less one.
	ExtraLoad                               float64
	PeakInFlight, Slots, Connections, Limit int
	OverSlots, FellOver, RefusedConnections int64
}

type system struct {
	name      string
	cluster   *cluster.Cluster
	generator *cluster.Generator
	version   uint64
}

type run struct {
	Options
	systems []*system
	rows    []Row
	loads   []loadRow
}

// Run measures and writes the tables and plots.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r := &run{Options: options}
	defer func() {
		for _, s := range r.systems {
			s.cluster.Close()
		}
	}()
	for _, name := range []string{"baseline", "medlarlatch"} {
		if err := r.start(ctx, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	for _, c := range cases() {
		if !strings.Contains(c.name, options.Only) {
			continue
		}
		for _, s := range r.systems {
			if err := r.one(ctx, s, c); err != nil {
				return fmt.Errorf("%s, %s: %w", s.name, c.name, err)
			}
		}
	}
	if strings.Contains("overload", options.Only) {
		for _, s := range r.systems {
			if err := r.overload(ctx, s); err != nil {
				return fmt.Errorf("%s, overload: %w", s.name, err)
			}
		}
	}
	r.print()
	if options.Directory == "" {
		return nil
	}
	return r.save()
}

func (r *run) start(ctx context.Context, name string) error {
	names := make([]string, 0, len(rates))
	for _, application := range append(standin.Paddlemark(r.Seed), standin.Guaman(r.Seed)...) {
		names = append(names, application.Name)
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Program: r.Program, Seed: r.Seed, Applications: names, Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"},
		Versions: []uint64{1}, BalancerLag: time.Second, Baseline: name == "baseline",
	})
	s := &system{name: name, cluster: c, version: 1}
	r.systems = append(r.systems, s)
	if err != nil {
		return err
	}
	if s.generator, err = c.NewGenerator(); err != nil {
		return err
	}
	go s.generator.Follow(ctx)
	// The first load warms the servers up and is not measured.
	s.generator.Run(ctx, cluster.Load{PerSecond: rates, Seconds: 5})
	return nil
}

// one runs a case at one system.
func (r *run) one(ctx context.Context, s *system, c experiment) error {
	if err := s.cluster.ResetObserved(ctx); err != nil {
		return err
	}
	if c.before != nil {
		if err := c.before(ctx, s); err != nil {
			return err
		}
	}
	outcomes := s.generator.Run(ctx, cluster.Load{PerSecond: rates, Seconds: r.Seconds})
	report, err := s.cluster.Observed(ctx)
	if err != nil {
		return err
	}
	for _, name := range compared {
		r.rows = append(r.rows, s.row(c.name, name, outcomes[name], report))
	}
	if c.after != nil {
		if err := c.after(ctx, s); err != nil {
			return err
		}
		// What the fault left behind is not part of the next case.
		s.generator.Run(ctx, cluster.Load{PerSecond: rates, Seconds: 1})
	}
	return ctx.Err()
}

// row composes a row from what callers and servers saw.
func (s *system) row(name, application string, outcome *cluster.Outcome, report standin.Report) Row {
	a := s.cluster.Application(application)
	row := Row{
		Case: name, System: s.name, Application: application,
		Queries: outcome.Queries, Whole: outcome.Whole, Partial: outcome.Partial, Refused: outcome.Refused, Failed: outcome.Failed,
		P50: outcome.Latencies.Percentile(50), P99: outcome.Latencies.Percentile(99),
	}
	parts := outcome.Asked + (outcome.Refused+outcome.Failed)*len(a.Index(s.version))
	row.Coverage = float64(outcome.Answered) / float64(max(parts, 1))
	var reached int64
	for _, id := range servers(a) {
		seen := report.Servers[id]
		reached += seen.Queries
		row.PeakInFlight, row.Slots = max(row.PeakInFlight, seen.PeakInFlight), seen.Slots
		row.Connections, row.Limit = max(row.Connections, seen.PeakConnections), seen.Limit
		row.OverSlots += seen.OverSlots
		row.FellOver += seen.FellOver
		row.RefusedConnections += seen.Refused
	}
	row.ExtraLoad = float64(reached)/float64(max(parts, 1)) - 1
	return row
}

// servers returns the names of an application's servers.
func servers(a standin.Application) []string {
	var all []string
	for number := range a.Services {
		for replica := range a.Replicas {
			all = append(all, fmt.Sprintf("%s-%c", a.Service(number+1), 'a'+replica))
		}
	}
	return all
}
