package burn

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// shownServices and shownSpenders bound the services, and the spenders of one objective, in the text.
const (
	shownServices = 5
	shownSpenders = 4
)

// Name returns the application, or the application and the service.
func (k Key) Name() string {
	if k.Service == "" {
		return k.Application
	}
	return k.Application + "/" + k.Service
}

// Target returns the objective as text.
func (s Series) Target() string { return fmt.Sprintf("%g%% in %g ms", s.Percent, s.LatencyMillis) }

// Good returns the good queries of the history.
func (s Series) Good() (sum int64) {
	for _, b := range s.Buckets {
		sum += b.Good
	}
	return sum
}

// Bad returns the bad queries of the history.
func (s Series) Bad() (sum int64) {
	for _, b := range s.Buckets {
		sum += b.Bad
	}
	return sum
}

// Why returns the reason code; a late answer says so, with the reason of its first attempt if that failed.
func (s Spender) Why() string {
	switch {
	case s.Late && s.Reason == verdict.None:
		return "late"
	case s.Late:
		return "late after " + s.Reason.String()
	default:
		return s.Reason.String()
	}
}

// Group is what the spenders of an objective have in common.
type Group struct {
	By, Name     string
	Count, Total int64
}

func (g Group) String() string {
	return fmt.Sprintf("%s %s: %d of %d (%.0f%%)", g.By, g.Name, g.Count, g.Total, 100*float64(g.Count)/float64(g.Total))
}

// Groups returns the reason, zone, backend server and shard that spent most of the budget. The totals are those of
// the bounded list of spenders.
func (l Line) Groups() []Group {
	var groups []Group
	for _, by := range []struct {
		name string
		of   func(Spender) string
	}{
		{"reason", Spender.Why},
		{"zone", func(s Spender) string { return s.Zone }},
		{"server", func(s Spender) string { return s.Server }},
		{"shard", func(s Spender) string { return s.Shard }},
	} {
		sums, total := make(map[string]int64), int64(0)
		for _, s := range l.Spenders {
			sums[by.of(s)] += s.Count
			total += s.Count
		}
		delete(sums, "")
		names := slices.Collect(maps.Keys(sums))
		if len(names) == 0 {
			continue
		}
		most := slices.MaxFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(sums[a], sums[b]), cmp.Compare(b, a)) })
		groups = append(groups, Group{by.name, most, sums[most], total})
	}
	return groups
}

// WriteText writes the report for a terminal. Only the services that lost the most queries are in it, unless all is
// set.
func WriteText(output io.Writer, report Report, all bool) error {
	fmt.Fprintf(output, "burn rates at %s UTC, from %d entry instances\n", report.Taken.UTC().Format("2006-01-02 15:04:05"), len(report.Instances))
	if report.Complete {
		fmt.Fprintln(output, "no gap is known; instances that have left the instance list are not counted")
	} else {
		fmt.Fprintln(output, "DATA IS MISSING; instances that have left the instance list are not counted either:")
		for _, gap := range report.Gaps {
			fmt.Fprintf(output, "  %s (%s) from %s to %s: %s\n", gap.Instance, gap.Zone, clock(gap.From), clock(gap.To), gap.Cause)
		}
	}
	if len(report.Objectives) == 0 {
		_, err := fmt.Fprintln(output, "\nno query was counted")
		return err
	}
	fmt.Fprintln(output)
	shown := report.Objectives
	if !all {
		shown = worst(shown)
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OBJECTIVE\tTARGET\tGOOD\tBAD\t5m\t1h\t30m\t6h\tSTATE")
	for _, line := range shown {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d", line.Name(), line.Target(), line.Good(), line.Bad())
		for _, rate := range line.Burn {
			fmt.Fprintf(table, "\t%.2f", rate.Burn)
		}
		fmt.Fprintf(table, "\t%s%s\n", line.Alert, note(line))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if hidden := len(report.Objectives) - len(shown); hidden > 0 {
		fmt.Fprintf(output, "services not shown, which lost fewer queries: %d; --all shows them\n", hidden)
	}
	return writeSpenders(output, shown)
}

// worst returns the applications, and the services that lost the most queries, in the order of the report.
func worst(lines []Line) []Line {
	services := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Service == "" || l.Bad() == 0 })
	slices.SortStableFunc(services, func(a, b Line) int { return cmp.Compare(b.Bad(), a.Bad()) })
	kept := make(map[Key]bool)
	for _, line := range services[:min(len(services), shownServices)] {
		kept[line.Key] = true
	}
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Service != "" && !kept[l.Key] })
}

func note(line Line) string {
	if line.Differs {
		return ", instances differ in the objective"
	}
	return ""
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05") }

func writeSpenders(output io.Writer, lines []Line) error {
	for _, line := range lines {
		if len(line.Spenders) == 0 {
			continue
		}
		var most []string
		for _, group := range line.Groups() {
			most = append(most, group.String())
		}
		fmt.Fprintf(output, "\n%s: most by %s\n", line.Name(), strings.Join(most, ", "))
		table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  SHARD\tSERVER\tZONE\tWHY\tCOUNT")
		for _, s := range line.Spenders[:min(len(line.Spenders), shownSpenders)] {
			fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%d%s\n", dash(s.Shard), dash(s.Server), dash(s.Zone), s.Why(), s.Count, about(s))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		if more := len(line.Spenders) - shownSpenders; more > 0 {
			fmt.Fprintf(output, "  and %d more; --json shows them\n", more)
		}
	}
	return nil
}

func about(s Spender) string {
	if s.Excess > 0 {
		return fmt.Sprintf(" (at least %d)", s.Count-s.Excess)
	}
	return ""
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
