package command

import (
	"context"

	"github.com/medlarlatch/medlarlatch/platform"
)

var entryVerb = verb{
	name:      "entry",
	summary:   "runs an entry instance on the users' platform until SIGTERM, then stops it gracefully",
	arguments: "[--settings FILE] [--metrics-port PORT]",
	example:   "medlarlatch entry --settings /etc/medlarlatch/node.conf --metrics-port 9464",
	options:   func() runner { return &entryOptions{} },
}

type entryOptions struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" env:"MEDLARLATCH_BOOT" description:"settings file that the platform writes, lines name=value"`
	Metrics  string `long:"metrics-port" value-name:"PORT" description:"port of the metrics, in the Prometheus format; none without it"`
}

func (e *entryOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("entry takes no arguments but its flags")
	}
	return platform.Run(ctx, platform.Options{
		SettingsFile: e.Settings,
		ReadFile:     environment.ReadFile,
		Metrics:      e.Metrics,
		Output:       environment.Output,
		Random:       environment.Random,
	})
}
