package command

import (
	"context"
	"strconv"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

var instanceVerb = verb{
	name:      "instance",
	summary:   "takes an entry instance or a backend server out of service or brings it back",
	arguments: "out|in INSTANCE [--wait] [flags]",
	example:   "medlarlatch instance out entry-2 --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &instanceOptions{} },
}

type instanceOptions struct {
	operatorOptions
	Wait     bool `long:"wait" description:"wait until every entry instance has the change in force"`
	Unlisted bool `long:"unlisted" description:"accept an instance that is not in the instance list"`
}

func (i *instanceOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	out, name, err := parseOutOrIn("instance", arguments)
	if err != nil {
		return err
	}
	instance := fleet.InstanceID(name)
	edit := configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
			return current.WithInstanceOutOfService(instance, out), nil
		},
		TargetText: func(current catalogue.Catalogue) string {
			return strconv.FormatBool(current.InstanceOutOfService(instance))
		},
	}
	o, err := i.resolve(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, i.Timeout)
	defer cancel()
	if out && !i.Unlisted {
		if err := o.checkListed(bounded, name, func(_ fleet.ZoneID, listed string) bool { return listed == name }); err != nil {
			return err
		}
	}
	return o.change(bounded, edit, i.Wait)
}
