package command

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/entry"
	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/telemetry"
)

var serveVerb = verb{
	name:      "serve",
	summary:   "runs an entry instance until SIGTERM or an interrupt, then stops it gracefully",
	arguments: "--settings FILE",
	example:   "medlarlatch serve --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &serveOptions{} },
}

type serveOptions struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" env:"MEDLARLATCH_SETTINGS" description:"process settings"`
}

func (s *serveOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("serve takes no arguments but its flags")
	}
	text, err := environment.ReadFile(s.Settings)
	if err != nil {
		return err
	}
	parsed, faults := settings.Parse(s.Settings, string(text))
	if err := faults.Err(); err != nil {
		return err
	}
	if err := telemetry.SetUpLog(parsed.LogLevel); err != nil {
		return err
	}
	return entry.Run(ctx, parsed)
}
