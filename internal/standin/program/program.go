// Package program holds the verbs of cmd/standin: the stand-ins as processes, and the demo.
//
// A verb runs until its standard input ends or it is interrupted, so that no process stays behind when the one
// that started it has ended. The package keeps no state between runs.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

type verb struct {
	name    string
	summary string
	run     func(ctx context.Context, flags *flag.FlagSet, arguments []string) error
}

func verbs() []verb {
	return []verb{allVerb, backendVerb, baselineVerb, clusterVerb, demoVerb, entryVerb, instancesVerb, measureVerb, storeVerb}
}

// Run runs a command line without the program's name and returns the exit code.
func Run(arguments []string) int {
	table := verbs()
	at := -1
	if len(arguments) > 0 {
		at = slices.IndexFunc(table, func(v verb) bool { return v.name == arguments[0] })
	}
	if at < 0 {
		fmt.Fprintln(os.Stderr, "usage: standin VERB [FLAGS]")
		for _, v := range table {
			fmt.Fprintf(os.Stderr, "  %-10s %s\n", v.name, v.summary)
		}
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("standin "+table[at].name, flag.ContinueOnError)
	if err := table[at].run(ctx, flags, arguments[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", table[at].name, err)
		return 1
	}
	return 0
}

// untilInputEnds returns a context that also ends with the standard input.
func untilInputEnds(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return ctx
}
