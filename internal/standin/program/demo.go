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

// demoLimit ends the demo in any case; its phases take less.
const demoLimit = 42 * time.Second

var demoVerb = verb{"demo", "both deployments on loopback: queries, faults and what was seen", runDemo}

// demoLoad is the number of queries a second of each application of the example catalogues.
var demoLoad = map[string]int{
	"marshal-search": 40, "printing": 2, "club-entries": 10, "waiver-intake": 5,
	"handheld-tokens": 40, "feed-ordering": 2, "corral-ledger": 10, "guide-scheduling": 5,
}

// demo is one run: a cluster, a load and the promises that were broken.
type demo struct {
	cluster   *cluster.Cluster
	generator *cluster.Generator
	load      map[string]int
	// zones holds the zone of each backend server.
	zones  map[string]string
	broken []string
	// watched carries the queries that watchZone saw, within 3 s and after, to the end of its phase.
	watched chan [2]int64
	// answered and settled count the answers, and those to queries that must not run twice, of all phases.
	answered, settled int
}

func runDemo(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	options, err := processOptions(flags, arguments)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	started := time.Now()
	c, err := cluster.Start(ctx, options)
	defer c.Close()
	if err != nil {
		return err
	}
	d := &demo{cluster: c, zones: make(map[string]string), load: demoLoad, watched: make(chan [2]int64, 1)}
	if d.generator, err = c.NewGenerator(); err != nil {
		return err
	}
	status, err := c.Status(ctx, 0)
	if err != nil {
		return err
	}
	for _, server := range status.Servers {
		d.zones[server.Server] = server.Zone
	}
	fmt.Printf("4 entry instances in 3 zones before the %d backend servers of both deployments; up in %.1f s\n",
		len(d.zones), time.Since(started).Seconds())
	go d.generator.Follow(ctx)
	if err := d.phases(ctx); err != nil {
		return err
	}
	fmt.Printf("\n%d answers checked row by row; ended after %.1f s\n", d.answered, time.Since(started).Seconds())
	if len(d.broken) > 0 {
		for _, promise := range d.broken {
			fmt.Println("BROKEN:", promise)
		}
		return fmt.Errorf("%d promises were broken", len(d.broken))
	}
	fmt.Println("no wrong answer, no duplicate, no server above its slots or connections")
	return nil
}

// processOptions parses the flags of the verbs that start the processes of a whole system.
func processOptions(flags *flag.FlagSet, arguments []string) (cluster.Options, error) {
	options := cluster.Options{
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1}, BalancerLag: time.Second,
	}
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the data, the queries and the service times")
	flags.StringVar(&options.Serve, "serve", "", "program whose verb serve runs the entry instances; empty means this one's verb entry")
	logs := flags.Bool("logs", false, "print the processes' log lines")
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

// phase is one part of the demo: a change, then the load, then the change back.
type phase struct {
	name    string
	seconds float64
	before  func(ctx context.Context) error
	after   func(ctx context.Context) error
}

func (d *demo) phases(ctx context.Context) error {
	fault := func(server, faults string) func(context.Context) error {
		return func(ctx context.Context) error { return d.cluster.Fault(ctx, server, faults) }
	}
	all := []phase{
		{"first queries, all servers cold", 2, nil, nil},
		{"steady", 4, nil, nil},
		{"new index version, other partitions", 4, func(ctx context.Context) error { return d.cluster.Publish(ctx, 1, 2) }, nil},
		{"one replica 20 times slower", 4, fault("marshal-search-03-a", `{"slow-factor":20}`), fault("marshal-search-03-a", `{"slow-factor":1}`)},
		{"one replica cold, crashes above 1", 4, fault("handheld-tokens-05-a", `{"cold":true,"cold-crash":true}`), nil},
		{"one replica frozen", 4, fault("marshal-search-07-b", `{"frozen":true}`), fault("marshal-search-07-b", `{"frozen":false}`)},
		{"zone-b taken out", 5, d.zone(true), d.zoneOut},
		{"zone-b back", 4, d.zone(false), d.zoneBack},
	}
	for _, p := range all {
		if err := d.run(ctx, p); err != nil {
			return fmt.Errorf("phase %q: %w", p.name, err)
		}
	}
	return nil
}

func (d *demo) zone(out bool) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := d.cluster.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue { return current.WithZoneOut("zone-b", out) })
		if err != nil || !out {
			return err
		}
		go d.watchZone(ctx)
		return nil
	}
}

// watchZone counts the queries that reach servers of zone-b later than 3 s after it was taken out.
func (d *demo) watchZone(ctx context.Context) {
	time.Sleep(3 * time.Second)
	before := d.received(ctx, "zone-b")
	time.Sleep(1500 * time.Millisecond)
	after := d.received(ctx, "zone-b")
	d.watched <- [2]int64{before, after - before}
}

// zoneOut checks what watchZone saw.
func (d *demo) zoneOut(context.Context) error {
	seen := <-d.watched
	fmt.Printf("    queries at zone-b's servers: %d within 3 s, %d in the 1.5 s after that\n", seen[0], seen[1])
	if seen[0] < 0 || seen[1] != 0 {
		d.broken = append(d.broken, "a zone that was taken out received new work after 3 s")
	}
	return nil
}

// received counts the queries that reached a zone's servers in this phase; -1 if that cannot be read.
func (d *demo) received(ctx context.Context, zone string) (count int64) {
	report, err := d.cluster.Observed(ctx)
	if err != nil {
		return -1
	}
	for id, seen := range report.Servers {
		if d.zones[id] == zone {
			count += seen.Queries
		}
	}
	return count
}

// zoneBack checks that a zone that is in again gets work.
func (d *demo) zoneBack(ctx context.Context) error {
	count := d.received(ctx, "zone-b")
	fmt.Printf("    queries at zone-b's servers: %d\n", count)
	if count <= 0 {
		d.broken = append(d.broken, "a zone that was brought back received no work")
	}
	return nil
}

func (d *demo) run(ctx context.Context, p phase) error {
	if err := d.cluster.ResetObserved(ctx); err != nil {
		return err
	}
	sent, err := d.sent(ctx)
	if err != nil {
		return err
	}
	if p.before != nil {
		if err := p.before(ctx); err != nil {
			return err
		}
	}
	outcomes := d.generator.Run(ctx, cluster.Load{PerSecond: d.load, Seconds: p.seconds})
	now, err := d.sent(ctx)
	if err != nil {
		return err
	}
	report, err := d.cluster.Observed(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\n%s (%.0f s)\n", p.name, p.seconds)
	for _, name := range slices.Sorted(maps.Keys(d.load)) {
		d.print(name, outcomes[name])
	}
	d.printServers(report, now[0]-sent[0], now[1]-sent[1], now[2]-sent[2])
	d.checkEffects(report, len(outcomes["corral-ledger"].Keys)+len(outcomes["waiver-intake"].Keys))
	if p.after != nil {
		return p.after(ctx)
	}
	return nil
}

// sent sums first attempts, hedges and retries over the entry instances.
func (d *demo) sent(ctx context.Context) (sum [3]int64, err error) {
	for n := range d.cluster.Entries {
		status, err := d.cluster.Status(ctx, n)
		if err != nil {
			return sum, err
		}
		sum[0] += status.Load.Firsts
		sum[1] += status.Load.Hedges
		sum[2] += status.Load.Retries
	}
	return sum, nil
}

func (d *demo) print(name string, o *cluster.Outcome) {
	fmt.Printf("  %-16s %4d queries: %4d whole, %d partial, %d refused, %d without an answer; coverage %.4f; p50 %.1f ms, p99 %.1f ms\n",
		name, o.Queries, o.Whole, o.Partial, o.Refused, o.Failed, o.Coverage(),
		millis(o.Latencies.Percentile(50)), millis(o.Latencies.Percentile(99)))
	for _, reason := range verdict.Reasons() {
		if o.Reasons[reason]+o.Missing[reason] > 0 {
			fmt.Printf("    %s: %d queries refused, %d shards missing\n", reason, o.Reasons[reason], o.Missing[reason])
		}
	}
	d.answered += o.Whole + o.Partial
	for _, wrong := range o.Wrong {
		d.broken = append(d.broken, "wrong answer: "+wrong.Error())
	}
}

func millis(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func (d *demo) printServers(report standin.Report, firsts, hedges, retries int64) {
	var received, shed, fellOver, cancelled, over int64
	peak := map[int]int{}
	connections := 0
	for id, seen := range report.Servers {
		received += seen.Queries
		shed += seen.Shed
		fellOver += seen.FellOver
		cancelled += seen.Cancelled
		over += seen.OverSlots
		peak[seen.Slots] = max(peak[seen.Slots], seen.PeakInFlight)
		connections = max(connections, seen.PeakConnections)
		if seen.PeakInFlight > seen.Slots {
			d.broken = append(d.broken, fmt.Sprintf("%s had %d requests in flight with %d slots", id, seen.PeakInFlight, seen.Slots))
		}
		if seen.Refused > 0 && seen.PeakConnections >= seen.Limit {
			d.broken = append(d.broken, fmt.Sprintf("%s refused %d connections above its limit of %d", id, seen.Refused, seen.Limit))
		}
	}
	fmt.Printf("  servers: %d first attempts, %.2f%% more reached them (%.2f%% hedges and %.2f%% retries asked for); peak in flight",
		firsts, percent(received-firsts, firsts), percent(hedges, firsts), percent(retries, firsts))
	for _, slots := range []int{2, 3, 4} {
		fmt.Printf(" %d of %d", peak[slots], slots)
	}
	fmt.Printf("; at most %d connections; %d shed, %d cancelled, %d above slots, cold ones fell over %d times\n",
		connections, shed, cancelled, over, fellOver)
	byZone := make(map[string]int64)
	for id, seen := range report.Servers {
		byZone[d.zones[id]] += seen.Queries
	}
	fmt.Printf("  subrequests by zone: a %d, b %d, c %d\n", byZone["zone-a"], byZone["zone-b"], byZone["zone-c"])
}

func percent(part, whole int64) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// checkEffects compares what took effect with what callers were told.
func (d *demo) checkEffects(report standin.Report, answered int) {
	if duplicates := report.Effects.Duplicates; len(duplicates) > 0 {
		d.broken = append(d.broken, fmt.Sprintf("%d keys ran more than once, such as %s", len(duplicates), duplicates[0]))
	}
	d.settled += answered
	if report.Effects.Keys < d.settled {
		d.broken = append(d.broken, fmt.Sprintf("%d settlements and waivers were answered and only %d took effect", d.settled, report.Effects.Keys))
	}
}
