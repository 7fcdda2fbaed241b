// Command standin runs the stand-ins of the outside systems, and the demo.
//
// It holds nothing; package program and those below own all state. The product never imports or starts it.
package main

import (
	"os"

	"github.com/medlarlatch/medlarlatch/internal/standin/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:]))
}
