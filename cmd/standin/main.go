// Command standin runs the stand-ins of the systems that medlarlatch depends on, and the demo.
//
// Package program and those it imports own all state. Command medlarlatch never imports or starts it.
package main

import (
	"os"

	"github.com/medlarlatch/medlarlatch/internal/standin/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:]))
}
