package command

import (
	"context"
	"fmt"
)

var helpVerb = verb{
	name:      "help",
	summary:   "prints the verbs, the usage of one verb, or the exit codes",
	arguments: "[VERB | exit-codes]",
	example:   "medlarlatch help apply",
	options:   func() runner { return &helpOptions{} },
}

type helpOptions struct{}

func (h *helpOptions) run(_ context.Context, environment Environment, arguments []string) error {
	output := environment.Output
	if len(arguments) > 1 {
		return usageError("help takes at most one VERB")
	}
	if len(arguments) == 0 {
		fmt.Fprint(output, "medlarlatch VERB [arguments]\n\n")
		for _, v := range verbs() {
			fmt.Fprintf(output, "  %-10s %s\n", v.name, v.summary)
		}
		_, err := fmt.Fprint(output, "\nmedlarlatch help VERB prints the usage of a verb, medlarlatch help exit-codes the exit codes.\n")
		return err
	}
	if arguments[0] == "exit-codes" {
		printExitCodes(output)
		return nil
	}
	v, ok := findVerb(arguments[0])
	if !ok {
		return usageError("unknown verb %q; try: medlarlatch help", arguments[0])
	}
	return printUsage(output, v)
}
