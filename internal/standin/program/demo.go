package program

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// demoTimeout bounds the run time of the demo; its phases take less.
const demoTimeout = 42 * time.Second

var demoCommand = command{"demo", "both deployments on loopback: queries under faults, and the measured results", runDemo}

// demoRates holds the queries per second of each application of the example catalogues.
var demoRates = map[string]int{
	"marshal-search": 40, "printing": 2, "club-entries": 10, "waiver-intake": 5,
	"handheld-tokens": 40, "feed-ordering": 2, "corral-ledger": 10, "guide-scheduling": 5,
}

// demo is one run of the demo: a cluster, a load and the violations that the checks found.
type demo struct {
	cluster   *cluster.Cluster
	generator *cluster.Generator
	rates     map[string]int
	// zoneByServer holds the zone of each backend server.
	zoneByServer map[string]string
	violations   []string
	// zoneOutCounts passes the counts of countZoneOutQueries to checkZoneOut: the queries that reached the zone within
	// 3 s after it was taken out, and those that came later.
	zoneOutCounts chan [2]int64
	// checkedAnswers counts the answers of all phases; nonIdempotentAnswers counts those to queries that must not run
	// twice.
	checkedAnswers, nonIdempotentAnswers int
}

func runDemo(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	options, err := parseClusterOptions(flags, arguments)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	started := time.Now()
	c, err := cluster.Start(ctx, options)
	defer c.Close()
	if err != nil {
		return err
	}
	d := &demo{cluster: c, zoneByServer: make(map[string]string), rates: demoRates, zoneOutCounts: make(chan [2]int64, 1)}
	if d.generator, err = c.NewGenerator(); err != nil {
		return err
	}
	status, err := c.Status(ctx, 0)
	if err != nil {
		return err
	}
	for _, server := range status.Servers {
		d.zoneByServer[server.Server] = server.Zone
	}
	fmt.Printf("4 entry instances in 3 zones before the %d backend servers of both deployments; up in %.1f s\n",
		len(d.zoneByServer), time.Since(started).Seconds())
	go d.generator.PollReady(ctx)
	if err := d.runPhases(ctx); err != nil {
		return err
	}
	fmt.Printf("\n%d answers checked row by row; ended after %.1f s\n", d.checkedAnswers, time.Since(started).Seconds())
	if len(d.violations) > 0 {
		for _, violation := range d.violations {
			fmt.Println("BROKEN:", violation)
		}
		return fmt.Errorf("%d checks failed", len(d.violations))
	}
	fmt.Println("no wrong answer, no duplicate, no server above its slots or connections")
	return nil
}

// parseClusterOptions parses the flags of the commands that start a cluster of entry instances and stand-ins.
func parseClusterOptions(flags *flag.FlagSet, arguments []string) (cluster.Options, error) {
	options := cluster.Options{
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerDelay: time.Second,
	}
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the data, the queries and the service times")
	flags.StringVar(&options.ServeProgram, "serve", "", "program whose serve command runs the entry instances; if empty, the entry command of this program")
	logs := flags.Bool("logs", false, "print the log lines of the processes")
	if err := flags.Parse(arguments); err != nil {
		return options, err
	}
	if *logs {
		options.Logs = os.Stderr
	}
	var err error
	options.Program, err = os.Executable()
	return options, err
}

// phase is one phase of the demo: before makes a change, the load runs, and after checks or undoes the change. Either
// function may be nil.
type phase struct {
	name    string
	seconds float64
	before  func(ctx context.Context) error
	after   func(ctx context.Context) error
}

func (d *demo) runPhases(ctx context.Context) error {
	fault := func(server, faults string) func(context.Context) error {
		return func(ctx context.Context) error { return d.cluster.SetServerFaults(ctx, server, faults) }
	}
	phases := []phase{
		{"first queries, all servers cold", 2, nil, nil},
		{"steady", 4, nil, nil},
		{"new index version, other partitions", 4, func(ctx context.Context) error { return d.cluster.Publish(ctx, 1, 2) }, nil},
		{"one replica 20 times slower", 4, fault("marshal-search-03-a", `{"slow-factor":20}`), fault("marshal-search-03-a", `{"slow-factor":1}`)},
		{"one replica cold, crashes above 1", 4, fault("handheld-tokens-05-a", `{"cold":true,"cold-crash":true}`), nil},
		{"one replica frozen", 4, fault("marshal-search-07-b", `{"frozen":true}`), fault("marshal-search-07-b", `{"frozen":false}`)},
		{"zone-b taken out", 5, d.setZoneOut(true), d.checkZoneOut},
		{"zone-b back", 4, d.setZoneOut(false), d.checkZoneBack},
	}
	for _, p := range phases {
		if err := d.runPhase(ctx, p); err != nil {
			return fmt.Errorf("phase %q: %w", p.name, err)
		}
	}
	return nil
}

// setZoneOut returns a function that takes zone-b out of service or puts it back. Once the zone is out, the function
// starts countZoneOutQueries.
func (d *demo) setZoneOut(out bool) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := d.cluster.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithZoneOutOfService("zone-b", out)
		})
		if err != nil || !out {
			return err
		}
		go d.countZoneOutQueries(ctx)
		return nil
	}
}

// countZoneOutQueries counts the queries that reach servers of zone-b within 3 s after it was taken out, and in the
// following 1.5 s.
func (d *demo) countZoneOutQueries(ctx context.Context) {
	time.Sleep(3 * time.Second)
	before := d.queriesInZone(ctx, "zone-b")
	time.Sleep(1500 * time.Millisecond)
	after := d.queriesInZone(ctx, "zone-b")
	d.zoneOutCounts <- [2]int64{before, after - before}
}

// checkZoneOut checks that no query reached zone-b later than 3 s after it was taken out.
func (d *demo) checkZoneOut(context.Context) error {
	counts := <-d.zoneOutCounts
	fmt.Printf("    queries at zone-b's servers: %d within 3 s, %d in the 1.5 s after that\n", counts[0], counts[1])
	if counts[0] < 0 || counts[1] != 0 {
		d.violations = append(d.violations, "zone-b received queries later than 3 s after it was taken out")
	}
	return nil
}

// queriesInZone returns the number of queries that reached the servers of a zone in this phase, or -1 if the counts
// cannot be read.
func (d *demo) queriesInZone(ctx context.Context, zone string) (count int64) {
	report, err := d.cluster.Observed(ctx)
	if err != nil {
		return -1
	}
	for id, seen := range report.Servers {
		if d.zoneByServer[id] == zone {
			count += seen.Queries
		}
	}
	return count
}

// checkZoneBack checks that zone-b receives queries again after it was put back in service.
func (d *demo) checkZoneBack(ctx context.Context) error {
	count := d.queriesInZone(ctx, "zone-b")
	fmt.Printf("    queries at zone-b's servers: %d\n", count)
	if count <= 0 {
		d.violations = append(d.violations, "zone-b received no queries after it was put back")
	}
	return nil
}

func (d *demo) runPhase(ctx context.Context, p phase) error {
	if err := d.cluster.ResetObserved(ctx); err != nil {
		return err
	}
	countsBefore, err := d.attemptCounts(ctx)
	if err != nil {
		return err
	}
	if p.before != nil {
		if err := p.before(ctx); err != nil {
			return err
		}
	}
	outcomes := d.generator.Run(ctx, cluster.Load{PerSecond: d.rates, Seconds: p.seconds})
	countsAfter, err := d.attemptCounts(ctx)
	if err != nil {
		return err
	}
	report, err := d.cluster.Observed(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\n%s (%.0f s)\n", p.name, p.seconds)
	for _, name := range slices.Sorted(maps.Keys(d.rates)) {
		d.printOutcome(name, outcomes[name])
	}
	d.printServers(report, countsAfter[0]-countsBefore[0], countsAfter[1]-countsBefore[1], countsAfter[2]-countsBefore[2])
	d.checkEffects(report, len(outcomes["corral-ledger"].Keys)+len(outcomes["waiver-intake"].Keys))
	if p.after != nil {
		return p.after(ctx)
	}
	return nil
}

// attemptCounts returns the first attempts, the hedges and the retries, each summed over the entry instances.
func (d *demo) attemptCounts(ctx context.Context) (sum [3]int64, err error) {
	for n := range d.cluster.Entries {
		status, err := d.cluster.Status(ctx, n)
		if err != nil {
			return sum, err
		}
		sum[0] += status.Load.FirstAttempts
		sum[1] += status.Load.Hedges
		sum[2] += status.Load.Retries
	}
	return sum, nil
}

func (d *demo) printOutcome(name string, outcome *cluster.Outcome) {
	fmt.Printf("  %-16s %4d queries: %4d complete, %d partial, %d refused, %d without an answer; coverage %.4f; p50 %.1f ms, p99 %.1f ms\n",
		name, outcome.Queries, outcome.Complete, outcome.Partial, outcome.Refused, outcome.Failed, outcome.Coverage(),
		millis(outcome.Latencies.Percentile(50)), millis(outcome.Latencies.Percentile(99)))
	for _, reason := range verdict.Reasons() {
		if outcome.Reasons[reason]+outcome.Missing[reason] > 0 {
			fmt.Printf("    %s: %d queries refused, %d shards missing\n", reason, outcome.Reasons[reason], outcome.Missing[reason])
		}
	}
	d.checkedAnswers += outcome.Complete + outcome.Partial
	for _, mismatch := range outcome.Mismatches {
		d.violations = append(d.violations, "wrong answer: "+mismatch.Error())
	}
}

func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

func (d *demo) printServers(report standin.Report, firsts, hedges, retries int64) {
	var received, shed, crashes, cancelled, overSlots int64
	peakInFlight := map[int]int{}
	maxConnections := 0
	for id, seen := range report.Servers {
		received += seen.Queries
		shed += seen.Shed
		crashes += seen.ColdOverloads
		cancelled += seen.Cancelled
		overSlots += seen.OverSlots
		peakInFlight[seen.Slots] = max(peakInFlight[seen.Slots], seen.PeakInFlight)
		maxConnections = max(maxConnections, seen.PeakConnections)
		if seen.PeakInFlight > seen.Slots {
			d.violations = append(d.violations, fmt.Sprintf("%s had %d requests in flight with %d slots", id, seen.PeakInFlight, seen.Slots))
		}
		if seen.RefusedConnections > 0 && seen.PeakConnections >= seen.ConnectionLimit {
			d.violations = append(d.violations, fmt.Sprintf("%s refused %d connections above its limit of %d", id, seen.RefusedConnections, seen.ConnectionLimit))
		}
	}
	fmt.Printf("  servers: %d first attempts, %.2f%% more reached them (%.2f%% hedges and %.2f%% retries asked for); peak in flight",
		firsts, percent(received-firsts, firsts), percent(hedges, firsts), percent(retries, firsts))
	for _, slots := range []int{2, 3, 4} {
		fmt.Printf(" %d of %d", peakInFlight[slots], slots)
	}
	fmt.Printf("; at most %d connections; %d shed, %d cancelled, %d above slots, %d crashes of cold servers\n",
		maxConnections, shed, cancelled, overSlots, crashes)
	byZone := make(map[string]int64)
	for id, seen := range report.Servers {
		byZone[d.zoneByServer[id]] += seen.Queries
	}
	fmt.Printf("  subrequests by zone: a %d, b %d, c %d\n", byZone["zone-a"], byZone["zone-b"], byZone["zone-c"])
}

func percent(part, whole int64) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// checkEffects checks that no key took effect more than once, and that every answered non-idempotent query took
// effect. The effects are counted since the start of the demo.
func (d *demo) checkEffects(report standin.Report, answered int) {
	if duplicates := report.Effects.Duplicates; len(duplicates) > 0 {
		d.violations = append(d.violations, fmt.Sprintf("%d keys ran more than once, such as %s", len(duplicates), duplicates[0]))
	}
	d.nonIdempotentAnswers += answered
	if report.Effects.Keys < d.nonIdempotentAnswers {
		d.violations = append(d.violations, fmt.Sprintf("%d settlements and waivers were answered and only %d took effect", d.nonIdempotentAnswers, report.Effects.Keys))
	}
}
