// Package program implements the commands of cmd/standin: the stand-ins of the platform and of the backend servers as
// processes, the demo, and the comparison of medlarlatch with the baseline.
//
// A command that serves runs until its standard input ends or it is interrupted, so that no process is left behind
// when its parent process ends. The package keeps no state between runs.
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

// command is one command of cmd/standin. The function run defines its flags on the flag set and parses the arguments.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, flags *flag.FlagSet, arguments []string) error
}

func commands() []command {
	return []command{allCommand, backendCommand, baselineCommand, clusterCommand, demoCommand, entryCommand, instancesCommand, measureCommand, storeCommand}
}

// Run runs the command that the arguments name and returns the exit code of the process: 0 after success, 1 after an
// error and 2 for an unknown command. The arguments do not include the name of the program.
func Run(arguments []string) int {
	table := commands()
	index := -1
	if len(arguments) > 0 {
		index = slices.IndexFunc(table, func(c command) bool { return c.name == arguments[0] })
	}
	if index < 0 {
		fmt.Fprintln(os.Stderr, "usage: standin COMMAND [FLAGS]")
		for _, c := range table {
			fmt.Fprintf(os.Stderr, "  %-10s %s\n", c.name, c.summary)
		}
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("standin "+table[index].name, flag.ContinueOnError)
	if err := table[index].run(ctx, flags, arguments[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", table[index].name, err)
		return 1
	}
	return 0
}

// cancelOnInputEnd returns a context that is also cancelled when the standard input ends.
func cancelOnInputEnd(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return ctx
}
