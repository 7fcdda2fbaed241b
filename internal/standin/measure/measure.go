// Package measure compares medlarlatch with the baseline: both run as separate processes on loopback through the same
// cases.
//
// A run owns two clusters, one of each system, and loads them in turn, so that neither disturbs the other. The requests
// that reached the servers are counted by the servers. The package only reports results; it makes no pass or fail
// decision.
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

// runTimeout bounds the duration of a run.
const runTimeout = 200 * time.Second

// Options configure a run.
type Options struct {
	// Program is the path of a program that runs the commands of cmd/standin.
	Program string
	Seed    uint64
	// Directory is the directory for plots and data; if empty, none are written.
	Directory string
	// Seconds is the duration of the load of each case.
	Seconds float64
	// Only restricts the run to the cases whose name contains this text; the empty text selects all.
	Only string
	// Output receives the tables.
	Output io.Writer
}

// rates holds the queries per second of each application of both deployments.
var rates = map[string]int{
	"marshal-search": 100, "printing": 3, "club-entries": 20, "waiver-intake": 10,
	"handheld-tokens": 100, "feed-ordering": 3, "guide-scheduling": 20, "corral-ledger": 10,
}

// comparedApplications are the applications that the tables show: one of each deployment, with a fan-out of 20 shards.
var comparedApplications = []string{"marshal-search", "handheld-tokens"}

// Row holds the results of one application of one system in one case.
type Row struct {
	Case, System, Application           string
	Queries, Complete, Partial, Refused int
	Failed                              int
	P50, P99                            time.Duration
	// Coverage is the number of answered shards divided by the shards of all queries, including refused and failed
	// ones.
	Coverage float64
	// ExtraLoad is the number of requests that reached the servers divided by the shards of all queries, minus 1.
	ExtraLoad float64
	// PeakInFlight and PeakConnections are the highest values of any server; the limits are those of each server.
	PeakInFlight, Slots, PeakConnections, ConnectionLimit int
	RequestsOverSlots, ColdOverloads, RefusedConnections  int64
}

// system is one of the compared systems with its cluster; version is the index version of its first queries.
type system struct {
	name      string
	cluster   *cluster.Cluster
	generator *cluster.Generator
	version   uint64
}

// run is one run of the comparison with the results so far.
type run struct {
	Options
	systems      []*system
	rows         []Row
	overloadRows []overloadRow
}

// Run runs the comparison and writes the tables, and the plots if options name a directory for them.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
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
			if err := r.runCase(ctx, s, c); err != nil {
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
	r.printTables()
	if options.Directory == "" {
		return nil
	}
	return r.saveFiles()
}

// start starts the cluster of a system and warms it up.
func (r *run) start(ctx context.Context, name string) error {
	names := make([]string, 0, len(rates))
	for _, application := range append(standin.Paddlemark(r.Seed), standin.Guaman(r.Seed)...) {
		names = append(names, application.Name)
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Program: r.Program, Seed: r.Seed, Applications: names, Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"},
		Versions: []uint64{1}, BalancerDelay: time.Second, Baseline: name == "baseline",
	})
	s := &system{name: name, cluster: c, version: 1}
	r.systems = append(r.systems, s)
	if err != nil {
		return err
	}
	if s.generator, err = c.NewGenerator(); err != nil {
		return err
	}
	go s.generator.PollReady(ctx)
	// This load only warms up the servers and is not measured.
	s.generator.Run(ctx, cluster.Load{PerSecond: rates, Seconds: 5})
	return nil
}

// runCase runs a case on one system and records its rows.
func (r *run) runCase(ctx context.Context, s *system, c measuredCase) error {
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
	for _, name := range comparedApplications {
		r.rows = append(r.rows, s.newRow(c.name, name, outcomes[name], report))
	}
	if c.after != nil {
		if err := c.after(ctx, s); err != nil {
			return err
		}
		// This load is not measured, so that after-effects of the change do not count for the next case.
		s.generator.Run(ctx, cluster.Load{PerSecond: rates, Seconds: 1})
	}
	return ctx.Err()
}

// newRow returns the row of an application from the results of the callers and the reports of the servers.
func (s *system) newRow(name, application string, outcome *cluster.Outcome, report standin.Report) Row {
	a := s.cluster.Application(application)
	row := Row{
		Case: name, System: s.name, Application: application,
		Queries: outcome.Queries, Complete: outcome.Complete, Partial: outcome.Partial, Refused: outcome.Refused, Failed: outcome.Failed,
		P50: outcome.Latencies.Percentile(50), P99: outcome.Latencies.Percentile(99),
	}
	parts := outcome.Asked + (outcome.Refused+outcome.Failed)*len(a.Index(s.version))
	row.Coverage = float64(outcome.Answered) / float64(max(parts, 1))
	var reached int64
	for _, id := range serverIDs(a) {
		seen := report.Servers[id]
		reached += seen.Queries
		row.PeakInFlight, row.Slots = max(row.PeakInFlight, seen.PeakInFlight), seen.Slots
		row.PeakConnections, row.ConnectionLimit = max(row.PeakConnections, seen.PeakConnections), seen.ConnectionLimit
		row.RequestsOverSlots += seen.OverSlots
		row.ColdOverloads += seen.ColdOverloads
		row.RefusedConnections += seen.RefusedConnections
	}
	row.ExtraLoad = float64(reached)/float64(max(parts, 1)) - 1
	return row
}

// serverIDs returns the ids of the servers of an application.
func serverIDs(a standin.Application) []string {
	var all []string
	for number := range a.Services {
		for replica := range a.Replicas {
			all = append(all, fmt.Sprintf("%s-%c", a.Service(number+1), 'a'+replica))
		}
	}
	return all
}
