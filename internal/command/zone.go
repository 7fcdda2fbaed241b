package command

import (
	"context"
	"strconv"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

var zoneVerb = verb{
	name:      "zone",
	summary:   "takes an availability zone out of service or brings it back",
	arguments: "out|in ZONE [--wait] [flags]",
	example:   "medlarlatch zone out zone-b --settings examples/paddlemark/settings-entry-1.ini --wait",
	options:   func() runner { return &zoneOptions{} },
}

type zoneOptions struct {
	operatorOptions
	Wait     bool `long:"wait" description:"wait until every entry instance has the change in force"`
	Unlisted bool `long:"unlisted" description:"accept a zone that has no instance in the instance list"`
}

func (z *zoneOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	out, name, err := parseOutOrIn("zone", arguments)
	if err != nil {
		return err
	}
	zone := fleet.ZoneID(name)
	edit := configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
			return current.WithZoneOutOfService(zone, out), nil
		},
		TargetText: func(current catalogue.Catalogue) string { return strconv.FormatBool(current.ZoneOutOfService(zone)) },
	}
	o, err := z.resolve(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, z.Timeout)
	defer cancel()
	if out && !z.Unlisted {
		if err := o.checkListed(bounded, name, func(listed fleet.ZoneID, _ string) bool { return listed == zone }); err != nil {
			return err
		}
	}
	return o.change(bounded, edit, z.Wait)
}

// parseOutOrIn parses the arguments of the verbs zone and instance. It reports whether the first is "out", and returns
// the name that follows.
func parseOutOrIn(verb string, arguments []string) (bool, string, error) {
	if len(arguments) != 2 || arguments[0] != "out" && arguments[0] != "in" {
		return false, "", usageError("%s takes \"out\" or \"in\" and a name", verb)
	}
	if !document.IsName(arguments[1]) {
		return false, "", usageError("%q is not a name; allowed: %s", arguments[1], document.NameAllowed)
	}
	return arguments[0] == "out", arguments[1], nil
}
