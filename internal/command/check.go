package command

import (
	"context"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/settings"
)

var checkVerb = verb{
	name:      "check",
	summary:   "checks settings, catalogues and the users' platform's configurations, offline, and prints every fault",
	arguments: "[--settings FILE] [--catalogue FILE] [--configuration FILE [--against FILE]] [--json]",
	example:   "medlarlatch check --catalogue examples/paddlemark/catalogue.ini",
	options:   func() runner { return &checkOptions{} },
}

type checkOptions struct {
	Settings  []string `long:"settings" value-name:"FILE" description:"process settings; may be repeated"`
	Catalogue []string `long:"catalogue" value-name:"FILE" description:"catalogue; may be repeated"`

	Configuration string `long:"configuration" value-name:"FILE" description:"configuration of the users' platform, in JSON"`
	Against       string `long:"against" value-name:"FILE" description:"the configuration in force, to compare with"`

	JSON bool `long:"json" description:"write JSON"`
}

func (c *checkOptions) run(_ context.Context, environment Environment, arguments []string) error {
	if c.Configuration != "" && len(arguments)+len(c.Settings)+len(c.Catalogue) == 0 {
		return c.inspect(environment)
	}
	if len(arguments) > 0 || len(c.Settings)+len(c.Catalogue) == 0 || c.Configuration+c.Against != "" {
		return usageError("check takes --settings FILE, --catalogue FILE or both, or --configuration FILE with or without --against FILE")
	}
	faults := document.Faults{}
	for _, file := range c.Settings {
		text, err := environment.ReadFile(file)
		if err != nil {
			return err
		}
		_, found := settings.Parse(file, string(text))
		faults = append(faults, found...)
	}
	for _, file := range c.Catalogue {
		text, err := environment.ReadFile(file)
		if err != nil {
			return err
		}
		_, found := catalogue.Parse(file, string(text))
		faults = append(faults, found...)
	}
	if c.JSON {
		if err := printJSON(environment.Output, map[string]any{"faults": faults}); err != nil {
			return err
		}
		if len(faults) > 0 {
			return exitErrorf(exitInvalid, "%d faults", len(faults))
		}
		return nil
	}
	if err := faults.Err(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(environment.Output, "no faults in %d files\n", len(c.Settings)+len(c.Catalogue))
	return err
}
