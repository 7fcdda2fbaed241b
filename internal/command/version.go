package command

import (
	"context"
	"fmt"
)

var versionVerb = verb{
	name:      "version",
	summary:   "prints the version of the program",
	arguments: "[--json]",
	example:   "medlarlatch version",
	options:   func() runner { return &versionOptions{} },
}

type versionOptions struct {
	JSON bool `long:"json" description:"write JSON"`
}

func (v *versionOptions) run(_ context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("version takes no arguments")
	}
	if v.JSON {
		return printJSON(environment.Output, map[string]string{"version": environment.Version})
	}
	_, err := fmt.Fprintln(environment.Output, "medlarlatch", environment.Version)
	return err
}
