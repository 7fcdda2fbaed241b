package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

var statusVerb = verb{
	name:      "status",
	summary:   "explains every entry instance: configuration in force, backend servers, refusals",
	arguments: "[flags]",
	example:   "medlarlatch status --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &statusOptions{} },
}

type statusOptions struct {
	operatorOptions
	Servers bool `long:"servers" description:"list every backend server, also those in use"`
}

func (s *statusOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("status takes no arguments")
	}
	o, err := s.resolve(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	entries, err := o.entryInstances(bounded)
	if err != nil {
		return err
	}
	reports := o.statusReports(bounded, entries)
	if err := s.print(environment, reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Error != "" {
			return exitErrorf(exitUnreachable, "at least one entry instance gave no report")
		}
	}
	return nil
}

func (s *statusOptions) print(environment Environment, reports []statusReport) error {
	if s.JSON {
		values := make([]any, len(reports))
		for i, r := range reports {
			values[i] = r
			if r.Error == "" && json.Valid(r.raw) {
				values[i] = r.raw
			}
		}
		return printJSON(environment.Output, values)
	}
	table := tabwriter.NewWriter(environment.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tZONE\tREADY\tREVISION\tIN FORCE SINCE\tFROM\tSERVERS\tSLOTS")
	for _, r := range reports {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t%s\tno report\t-\t-\t%s\t-\t-\n", r.Instance, r.Zone, r.Error)
			continue
		}
		servers, slots := r.shareTotals()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\n", r.Instance, r.Zone, formatReadiness(r.Ready, r.Reason), r.Configuration.Revision,
			formatTime(r.Configuration.Since), formatOrigin(*r.Configuration), servers, slots)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return s.writeDetails(environment.Output, reports)
}
