package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

var statusVerb = verb{
	name:      "status",
	summary:   "prints the configuration in force at every entry instance",
	arguments: "[flags]",
	example:   "medlarlatch status --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &statusOptions{} },
}

type statusOptions struct {
	access
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
	fmt.Fprintln(table, "INSTANCE\tZONE\tREADY\tREVISION\tSINCE\tFROM")
	for _, r := range reports {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t%s\tno report\t-\t-\t%s\n", r.Instance, r.Zone, r.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\t%s\n", r.Instance, r.Zone, r.Ready, r.Configuration.Revision, r.Configuration.Since, r.Configuration.Origin)
	}
	return table.Flush()
}
