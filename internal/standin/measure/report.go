package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// printTables writes the tables to the output.
func (r *run) printTables() {
	out := tabwriter.NewWriter(r.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "case\tapplication\tsystem\tqueries\tcomplete\tpartial\trefused\tfailed\tp50 ms\tp99 ms\tcoverage\textra load %\tin flight/slots\tconnections/limit\tover slots\tcrashes")
	for _, row := range r.rows {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.4f\t%.2f\t%d/%d\t%d/%d\t%d\t%d\n", row.Case, row.Application, row.System,
			row.Queries, row.Complete, row.Partial, row.Refused, row.Failed, millis(row.P50), millis(row.P99), row.Coverage, 100*row.ExtraLoad,
			row.PeakInFlight, row.Slots, row.PeakConnections, row.ConnectionLimit, row.RequestsOverSlots, row.ColdOverloads)
	}
	_ = out.Flush()
	fmt.Fprintln(out, "\nload\tapplication\tsystem\toffered/s\tgoodput/s\trefused\twith retry-after\tfailed\tanswer p99 ms\trefusal p50 ms\trefusal p99 ms\tin flight/slots\tover slots")
	for _, row := range r.overloadRows {
		fmt.Fprintf(out, "%.1f times\t%s\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d/%d\t%d\n", row.CapacityMultiple, row.Application, row.System, row.Offered,
			row.Goodput, row.Refused, row.WithRetryAfter, row.Failed, millis(row.AnswerP99), millis(row.RefusalP50), millis(row.RefusalP99),
			row.PeakInFlight, row.Slots, row.RequestsOverSlots)
	}
	_ = out.Flush()
}

// saveFiles writes the results as CSV files, and the charts of them as SVG files, to the directory.
func (r *run) saveFiles() error {
	var data strings.Builder
	data.WriteString("case,application,system,queries,whole,partial,refused,failed,p50-ms,p99-ms,coverage,extra-load-percent,peak-in-flight,slots,peak-connections,connection-limit,over-slots,fell-over\n")
	for _, row := range r.rows {
		fmt.Fprintf(&data, "%q,%s,%s,%d,%d,%d,%d,%d,%.1f,%.1f,%.4f,%.2f,%d,%d,%d,%d,%d,%d\n", row.Case, row.Application, row.System,
			row.Queries, row.Complete, row.Partial, row.Refused, row.Failed, millis(row.P50), millis(row.P99), row.Coverage, 100*row.ExtraLoad,
			row.PeakInFlight, row.Slots, row.PeakConnections, row.ConnectionLimit, row.RequestsOverSlots, row.ColdOverloads)
	}
	var loads strings.Builder
	loads.WriteString("times-capacity,application,system,offered,goodput,refused,with-retry-after,failed,answer-p99-ms,refusal-p99-ms\n")
	for _, row := range r.overloadRows {
		fmt.Fprintf(&loads, "%.1f,%s,%s,%.0f,%.0f,%d,%d,%d,%.1f,%.1f\n", row.CapacityMultiple, row.Application, row.System, row.Offered, row.Goodput,
			row.Refused, row.WithRetryAfter, row.Failed, millis(row.AnswerP99), millis(row.RefusalP99))
	}
	files := map[string]string{"system.csv": data.String(), "overload.csv": loads.String(), "goodput.svg": r.goodputChart().svg()}
	for _, application := range comparedApplications {
		for name, c := range r.charts(application) {
			files[name+"-"+application+".svg"] = c.svg()
		}
	}
	if err := os.MkdirAll(r.Directory, 0o755); err != nil {
		return err
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(r.Directory, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// charts returns the charts of one application, keyed by the prefix of their file names.
func (r *run) charts(application string) map[string]chart {
	values := map[string]func(Row) float64{
		"p99":          func(row Row) float64 { return millis(row.P99) },
		"extra-load":   func(row Row) float64 { return 100 * row.ExtraLoad },
		"not-whole":    func(row Row) float64 { return 100 * float64(row.Queries-row.Complete) / float64(max(row.Queries, 1)) },
		"peak-in-slot": func(row Row) float64 { return 100 * float64(row.PeakInFlight) / float64(max(row.Slots, 1)) },
	}
	titles := map[string]string{
		"p99": "p99 of answers, ms", "extra-load": "queries at the servers above the parts asked for, %",
		"not-whole": "queries not answered whole, %", "peak-in-slot": "most requests in flight at a server, % of its slots",
	}
	all := make(map[string]chart)
	for name, value := range values {
		c := chart{title: application + ": " + titles[name], series: []string{"baseline", "medlarlatch"}}
		for _, row := range r.rows {
			if row.Application != application {
				continue
			}
			index := slices.Index(c.groups, row.Case)
			if index < 0 {
				index = len(c.groups)
				c.groups = append(c.groups, row.Case)
				c.values = append(c.values, make([]float64, len(c.series)))
			}
			c.values[index][slices.Index(c.series, row.System)] = value(row)
		}
		all[name] = c
	}
	return all
}

// goodputChart returns the chart of answers per second under overload.
func (r *run) goodputChart() chart {
	c := chart{title: overloadedApplication + ": answers in time per second", series: []string{"baseline", "medlarlatch"}}
	for _, row := range r.overloadRows {
		if row.Application != overloadedApplication {
			continue
		}
		group := fmt.Sprintf("%.1f times capacity", row.CapacityMultiple)
		index := slices.Index(c.groups, group)
		if index < 0 {
			index = len(c.groups)
			c.groups = append(c.groups, group)
			c.values = append(c.values, make([]float64, len(c.series)))
		}
		c.values[index][slices.Index(c.series, row.System)] = row.Goodput
	}
	return c
}
