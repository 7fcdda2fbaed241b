package program

import (
	"context"
	"flag"
	"os"

	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/standin/baseline"
)

var baselineVerb = verb{"baseline", "a plain entry instance to measure against", runBaseline}

func runBaseline(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	file := flags.String("settings", "", "settings of the instance, as for medlarlatch serve")
	share := flags.Int("share", 4, "number of entry instances, each of which has an equal part of the connections")
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
	ctx = untilInputEnds(ctx)
	plain := baseline.New(parsed.Store, parsed.Instances, *share)
	_, stopCallers, err := serve(parsed.Callers, plain.Callers())
	if err != nil {
		return err
	}
	defer stopCallers()
	_, stopOperators, err := serve(parsed.Operators, plain.Operators())
	if err != nil {
		return err
	}
	defer stopOperators()
	plain.Follow(ctx)
	return nil
}
