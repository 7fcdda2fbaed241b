// Command medlarlatch is the query tier and the tool of its operators.
//
// It holds nothing but the process's surroundings, which it passes to package command; that package and those below own
// all state. It never decides anything.
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
		Output:    os.Stdout,
		Errors:    os.Stderr,
		ReadFile:  os.ReadFile,
		WriteFile: func(name string, text []byte) error { return os.WriteFile(name, text, 0o644) },
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Version:   version,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
