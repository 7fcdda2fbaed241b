// Command standin runs the stand-ins of the outside systems, and the demo.
package main

import (
	"os"

	"github.com/medlarlatch/medlarlatch/internal/standin/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:]))
}
