package command

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
)

var applyVerb = verb{
	name:      "apply",
	summary:   "replaces the catalogue in the platform's store",
	arguments: "FILE [--wait] [flags]",
	example:   "medlarlatch apply --settings examples/paddlemark/settings-entry-1.ini --wait examples/paddlemark/catalogue.ini",
	options:   func() runner { return &applyOptions{} },
}

type applyOptions struct {
	operatorOptions
	Wait           bool `long:"wait" description:"wait until every entry instance has the change in force"`
	OverUnreadable bool `long:"over-unreadable" description:"replace a catalogue in the store that cannot be read; zones and instances that it takes out are lost"`
}

func (a *applyOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("apply takes one FILE")
	}
	proposed, err := readCatalogue(environment, arguments[0])
	if err != nil {
		return err
	}
	o, err := a.resolve(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	edit := replacement(proposed)
	edit.ReplaceUnreadable = a.OverUnreadable
	return o.change(bounded, edit, a.Wait)
}

// replacement returns the edit that replaces the document in the store by the proposed catalogue. A file written by get
// has a write id or a base revision; it replaces the whole document, and is a conflict if the document has changed
// since. With any other file, the zones and instances that are out of service stay out, because its author may not have
// known of them.
func replacement(proposed catalogue.Catalogue) configuration.Edit {
	edit := configuration.Edit{Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
		changed := proposed
		for _, zone := range current.ZonesOutOfService() {
			changed = changed.WithZoneOutOfService(zone, true)
		}
		for _, instance := range current.InstancesOutOfService() {
			changed = changed.WithInstanceOutOfService(instance, true)
		}
		return changed, nil
	}}
	edit.BaseRevision = proposed.Base()
	ids := proposed.WriteIDs()
	if len(ids) > 0 {
		edit.BaseWriteID = ids[0]
	}
	if len(ids) > 0 || edit.BaseRevision.Known {
		edit.Apply = func(catalogue.Catalogue) (catalogue.Catalogue, error) { return proposed, nil }
	}
	return edit
}

func readCatalogue(environment Environment, file string) (catalogue.Catalogue, error) {
	text, err := environment.ReadFile(file)
	if err != nil {
		return catalogue.Catalogue{}, err
	}
	parsed, faults := catalogue.Parse(file, string(text))
	return parsed, faults.Err()
}
