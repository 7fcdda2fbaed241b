package program

import (
	"context"
	"flag"
	"os"

	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/standin/baseline"
)

var baselineCommand = command{"baseline", "an entry instance of the baseline, for comparison", runBaseline}

func runBaseline(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	file := flags.String("settings", "", "settings file of the instance, as for medlarlatch serve")
	share := flags.Int("share", 4, "number of entry instances that share the connections to the servers equally")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return err
	}
	parsed, faults := settings.Parse(*file, string(text))
	if err := faults.Err(); err != nil {
		return err
	}
	ctx = cancelOnInputEnd(ctx)
	instance := baseline.New(parsed.StoreURL, parsed.InstanceListURL, *share)
	_, stopCallers, err := serve(parsed.CallerAddress, instance.CallerHandler())
	if err != nil {
		return err
	}
	defer stopCallers()
	_, stopOperators, err := serve(parsed.OperatorAddress, instance.OperatorHandler())
	if err != nil {
		return err
	}
	defer stopOperators()
	instance.Poll(ctx)
	return nil
}
