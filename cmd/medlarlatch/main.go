// Command medlarlatch runs an entry instance of the query tier, and is the command-line tool of its operators.
//
// It only collects what package command needs of the process: arguments, files, output, signals and version. That
// package and those it imports own all state and make all decisions.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/medlarlatch/medlarlatch/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	version := "unknown"
	if build, ok := debug.ReadBuildInfo(); ok {
		version = build.Main.Version
	}
	code := command.Run(ctx, command.Environment{
		Output:      os.Stdout,
		ErrorOutput: os.Stderr,
		ReadFile:    os.ReadFile,
		WriteFile:   func(name string, text []byte) error { return os.WriteFile(name, text, 0o644) },
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Version:     version,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
