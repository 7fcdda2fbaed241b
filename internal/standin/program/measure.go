package program

import (
	"context"
	"flag"
	"os"

	"github.com/medlarlatch/medlarlatch/internal/standin/measure"
)

var measureVerb = verb{"measure", "medlarlatch beside the baseline, both as processes on loopback: table and plots", runMeasure}

func runMeasure(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	options := measure.Options{Output: os.Stdout}
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the data, the queries and the service times")
	flags.StringVar(&options.Directory, "plots", "", "directory for the plots and their data; empty for none")
	flags.Float64Var(&options.Seconds, "seconds", 7, "length of the load of each case")
	flags.StringVar(&options.Only, "only", "", "run only the cases whose name contains this text")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	var err error
	if options.Program, err = os.Executable(); err != nil {
		return err
	}
	return measure.Run(ctx, options)
}
