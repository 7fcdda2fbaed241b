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
	access
	Servers bool `long:"servers" description:"list every backend server, also those in use"`
}

func (s *statusOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("status takes no arguments")
	}
	o, err := s.open(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	entries, err := o.entries(bounded)
	if err != nil {
		return err
	}
	reports := o.reports(bounded, entries)
	if err := s.print(environment, reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Error != "" {
			return coded(exitPlatform, "not every entry instance gave a report")
		}
	}
	return nil
}

func (s *statusOptions) print(environment Environment, reports []report) error {
	if s.JSON {
		whole := make([]any, len(reports))
		for i, r := range reports {
			whole[i] = r
			if r.Error == "" && json.Valid(r.raw) {
				whole[i] = r.raw
			}
		}
		return printJSON(environment.Output, whole)
	}
	table := tabwriter.NewWriter(environment.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tZONE\tREADY\tREVISION\tIN FORCE SINCE\tFROM\tSERVERS\tSLOTS")
	for _, r := range reports {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t%s\tno report\t-\t-\t%s\t-\t-\n", r.Instance, r.Zone, r.Error)
			continue
		}
		servers, slots := r.shares()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\n", r.Instance, r.Zone, readiness(r.Ready, r.Reason), r.Configuration.Revision,
			since(r.Configuration.Since), origin(*r.Configuration), servers, slots)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return s.explain(environment.Output, reports)
}
