// Package command implements the verbs (subcommands) of the medlarlatch program, one file per verb.
//
// Run looks the verb up in a table, parses its flags, runs it and maps its error to an exit code. The verbs for
// operators read and write the platform's store and read the status of the entry instances. The package keeps no state
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

// Environment holds the dependencies of a verb on the process and its host.
type Environment struct {
	Output, ErrorOutput io.Writer
	// ReadFile reads a file that an argument or a flag names.
	ReadFile func(name string) ([]byte, error)
	// WriteFile writes a file that a flag names.
	WriteFile func(name string, text []byte) error
	// Client is the HTTP client of all verbs that call a server; nil means http.DefaultClient, or a new client for
	// calls to the platform.
	Client *http.Client
	// Random makes write ids and the jitter of retries. It is not safe for concurrent use.
	Random *rand.Rand
	// Version is the version of the program, as the verb version prints it.
	Version string
}

// verb describes one subcommand: its help text and the constructor of its options.
type verb struct {
	name    string
	summary string
	// arguments is the part of the usage line after the name.
	arguments string
	// example is a complete command line, which the tests run.
	example string
	// options returns a new value for go-flags to parse the flags into.
	options func() runner
}

// runner is a verb with its parsed flags.
type runner interface {
	run(ctx context.Context, environment Environment, arguments []string) error
}

// verbs returns the table of verbs. It is a function, because as a variable it would depend on itself through the verb
// help, which the compiler rejects as an initialization cycle.
func verbs() []verb {
	return []verb{
		applyVerb, checkVerb, diffVerb, entryVerb, explainVerb, getVerb, helpVerb, instanceVerb, queryVerb, reportVerb, serveVerb, statusVerb,
		versionVerb, zoneVerb,
	}
}

func findVerb(name string) (verb, bool) {
	table := verbs()
	index := slices.IndexFunc(table, func(v verb) bool { return v.name == name })
	if index < 0 {
		return verb{}, false
	}
	return table[index], true
}

// Run runs a command line, given without the name of the program, and returns the exit code.
func Run(ctx context.Context, environment Environment, arguments []string) int {
	err := dispatch(ctx, environment, arguments)
	if err == nil {
		return int(exitDone)
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(environment.ErrorOutput, "medlarlatch:", strings.TrimRight(text, "\n"))
	}
	return int(exitCodeOf(err))
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

// printUsage writes the summary, the usage line, the flags and the example of a verb.
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
