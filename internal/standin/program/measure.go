package program

import (
	"context"
	"flag"
	"os"

	"github.com/medlarlatch/medlarlatch/internal/standin/measure"
)

var measureCommand = command{"measure", "compare medlarlatch with the baseline, both as processes on loopback: tables and plots", runMeasure}

func runMeasure(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	options := measure.Options{Output: os.Stdout}
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the data, the queries and the service times")
	flags.StringVar(&options.Directory, "plots", "", "directory for the plots and their data; if empty, none are written")
	flags.Float64Var(&options.Seconds, "seconds", 7, "duration of the load of each case in seconds")
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
