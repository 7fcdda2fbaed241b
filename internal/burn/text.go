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

// maxShownServices and maxShownSpenders are the maximum numbers of services, and of spenders of one objective, in the
// text.
const (
	maxShownServices = 5
	maxShownSpenders = 4
)

// Name returns the application, followed by a slash and the service if there is one.
func (k Key) Name() string {
	if k.Service == "" {
		return k.Application
	}
	return k.Application + "/" + k.Service
}

// Target returns the objective as text, such as "99% in 100 ms".
func (s Series) Target() string { return fmt.Sprintf("%g%% in %g ms", s.Percent, s.LatencyMillis) }

// Good returns the number of good queries in the history.
func (s Series) Good() (sum int64) {
	for _, b := range s.Buckets {
		sum += b.Good
	}
	return sum
}

// Bad returns the number of bad queries in the history.
func (s Series) Bad() (sum int64) {
	for _, b := range s.Buckets {
		sum += b.Bad
	}
	return sum
}

// Why returns the reason code, or "late" for a late answer, followed by the reason of its first attempt if that failed.
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

// Group is a set of spenders with the same value Name of the attribute By. Count is their sum, and Total is that of all
// listed spenders of the objective.
type Group struct {
	By, Name     string
	Count, Total int64
}

// String implements fmt.Stringer.
func (g Group) String() string {
	return fmt.Sprintf("%s %s: %d of %d (%.0f%%)", g.By, g.Name, g.Count, g.Total, 100*float64(g.Count)/float64(g.Total))
}

// Groups returns the reason, the zone, the backend server and the shard with the highest counts of spenders. The totals
// are those of the bounded list of spenders.
func (l ObjectiveReport) Groups() []Group {
	var groups []Group
	for _, attribute := range []struct {
		name  string
		value func(Spender) string
	}{
		{"reason", Spender.Why},
		{"zone", func(s Spender) string { return s.Zone }},
		{"server", func(s Spender) string { return s.Server }},
		{"shard", func(s Spender) string { return s.Shard }},
	} {
		sums, total := make(map[string]int64), int64(0)
		for _, s := range l.Spenders {
			sums[attribute.value(s)] += s.Count
			total += s.Count
		}
		delete(sums, "")
		names := slices.Collect(maps.Keys(sums))
		if len(names) == 0 {
			continue
		}
		largest := slices.MaxFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(sums[a], sums[b]), cmp.Compare(b, a)) })
		groups = append(groups, Group{attribute.name, largest, sums[largest], total})
	}
	return groups
}

// WriteText writes the report for a terminal. It contains all applications, but only the services with the most bad
// queries, unless all is set.
func WriteText(output io.Writer, report Report, all bool) error {
	fmt.Fprintf(output, "burn rates at %s UTC, from %d entry instances\n", report.Taken.UTC().Format("2006-01-02 15:04:05"), len(report.Instances))
	if report.Complete {
		fmt.Fprintln(output, "no gap is known; instances that have left the instance list are not counted")
	} else {
		fmt.Fprintln(output, "DATA IS MISSING; instances that have left the instance list are not counted either:")
		for _, gap := range report.Gaps {
			fmt.Fprintf(output, "  %s (%s) from %s to %s: %s\n", gap.Instance, gap.Zone, formatTime(gap.From), formatTime(gap.To), gap.Cause)
		}
	}
	if len(report.Objectives) == 0 {
		_, err := fmt.Fprintln(output, "\nno query was counted")
		return err
	}
	fmt.Fprintln(output)
	shown := report.Objectives
	if !all {
		shown = selectShown(shown)
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OBJECTIVE\tTARGET\tGOOD\tBAD\t5m\t1h\t30m\t6h\tSTATE")
	for _, line := range shown {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d", line.Name(), line.Target(), line.Good(), line.Bad())
		for _, rate := range line.BurnRates {
			fmt.Fprintf(table, "\t%.2f", rate.BurnRate)
		}
		fmt.Fprintf(table, "\t%s%s\n", line.Alert, objectiveNote(line))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if hidden := len(report.Objectives) - len(shown); hidden > 0 {
		fmt.Fprintf(output, "services not shown, which lost fewer queries: %d; --all shows them\n", hidden)
	}
	return writeSpenders(output, shown)
}

// selectShown returns the applications and the services with the most bad queries, in the order of the report.
func selectShown(lines []ObjectiveReport) []ObjectiveReport {
	services := slices.DeleteFunc(slices.Clone(lines), func(l ObjectiveReport) bool { return l.Service == "" || l.Bad() == 0 })
	slices.SortStableFunc(services, func(a, b ObjectiveReport) int { return cmp.Compare(b.Bad(), a.Bad()) })
	kept := make(map[Key]bool)
	for _, line := range services[:min(len(services), maxShownServices)] {
		kept[line.Key] = true
	}
	return slices.DeleteFunc(slices.Clone(lines), func(l ObjectiveReport) bool { return l.Service != "" && !kept[l.Key] })
}

// objectiveNote returns the note on instances with different objectives, if there are any.
func objectiveNote(line ObjectiveReport) string {
	if line.ObjectivesDiffer {
		return ", instances differ in the objective"
	}
	return ""
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05") }

func writeSpenders(output io.Writer, lines []ObjectiveReport) error {
	for _, line := range lines {
		if len(line.Spenders) == 0 {
			continue
		}
		var groups []string
		for _, group := range line.Groups() {
			groups = append(groups, group.String())
		}
		fmt.Fprintf(output, "\n%s: most by %s\n", line.Name(), strings.Join(groups, ", "))
		table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  SHARD\tSERVER\tZONE\tWHY\tCOUNT")
		for _, s := range line.Spenders[:min(len(line.Spenders), maxShownSpenders)] {
			fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%d%s\n", orDash(s.Shard), orDash(s.Server), orDash(s.Zone), s.Why(), s.Count, excessNote(s))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		if more := len(line.Spenders) - maxShownSpenders; more > 0 {
			fmt.Fprintf(output, "  and %d more; --json shows them\n", more)
		}
	}
	return nil
}

// excessNote returns the lower bound of a spender's count if the count is not exact.
func excessNote(s Spender) string {
	if s.Excess > 0 {
		return fmt.Sprintf(" (at least %d)", s.Count-s.Excess)
	}
	return ""
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
