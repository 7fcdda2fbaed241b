// Package command holds the verbs of the program, one a file, found through one table.
//
// A verb parses its flags, does one thing and returns; Run turns its error into an exit code. Operators'
// verbs talk to the platform's store and read the entry instances' status. The package keeps no state
// between runs.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Environment is what a verb may use of its surroundings.
type Environment struct {
	Output, Errors io.Writer
	// ReadFile reads a file that an argument names.
	ReadFile func(name string) ([]byte, error)
	// WriteFile writes a file that a flag names.
	WriteFile func(name string, text []byte) error
	// Client is the HTTP client of operators' verbs; nil stands for one of its own.
	Client *http.Client
	Random *rand.Rand
	// Version is printed by the verb version.
	Version string
}

// verb is one line of the table.
type verb struct {
	name    string
	summary string
	// arguments is what follows the name in the usage line.
	arguments string
	// example is one whole command line.
	example string
	// options returns a new value whose fields are the flags.
	options func() runner
}

// runner is the parsed form of a command line.
type runner interface {
	run(ctx context.Context, environment Environment, arguments []string) error
}

// verbs returns the table. It is a function because the verb help reads it.
func verbs() []verb {
	return []verb{
		applyVerb, checkVerb, diffVerb, entryVerb, explainVerb, getVerb, helpVerb, instanceVerb, queryVerb, reportVerb, serveVerb, statusVerb,
		versionVerb, zoneVerb,
	}
}

func findVerb(name string) (verb, bool) {
	table := verbs()
	at := slices.IndexFunc(table, func(v verb) bool { return v.name == name })
	if at < 0 {
		return verb{}, false
	}
	return table[at], true
}

// Run runs the command line without the program's name and returns the exit code.
func Run(ctx context.Context, environment Environment, arguments []string) int {
	err := dispatch(ctx, environment, arguments)
	if err == nil {
		return int(exitDone)
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(environment.Errors, "medlarlatch:", strings.TrimRight(text, "\n"))
	}
	return int(codeOf(err))
}

func dispatch(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) == 0 {
		return usageError("no verb; try: medlarlatch help")
	}
	if arguments[0] == "--help" || arguments[0] == "-h" {
		arguments = []string{"help"}
	}
	chosen, ok := findVerb(arguments[0])
	if !ok {
		return usageError("unknown verb %q; try: medlarlatch help", arguments[0])
	}
	options := chosen.options()
	parser := flags.NewNamedParser("medlarlatch "+chosen.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = chosen.arguments
	if _, err := parser.AddGroup("Flags", "", options); err != nil {
		return err
	}
	rest, err := parser.ParseArgs(arguments[1:])
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		return printUsage(environment.Output, chosen)
	}
	if err != nil {
		return usageError("%v", err)
	}
	return options.run(ctx, environment, rest)
}

// printUsage writes the summary, the flags and the example of a verb.
func printUsage(output io.Writer, v verb) error {
	parser := flags.NewNamedParser("medlarlatch "+v.name, flags.None)
	parser.Usage = v.arguments
	if _, err := parser.AddGroup("Flags", "", v.options()); err != nil {
		return err
	}
	fmt.Fprintf(output, "%s: %s\n\n", v.name, v.summary)
	parser.WriteHelp(output)
	_, err := fmt.Fprintf(output, "\nExample:\n  %s\n", v.example)
	return err
}
