package command

import (
	"context"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

var diffVerb = verb{
	name:      "diff",
	summary:   "prints what applying FILE would change in the store, or the changes from FILE to FILE2",
	arguments: "FILE [FILE2] [flags]",
	example:   "medlarlatch diff examples/paddlemark/catalogue.ini examples/guaman/catalogue.ini",
	options:   func() runner { return &diffOptions{} },
}

type diffOptions struct {
	operatorOptions
}

func (d *diffOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) != 1 && len(arguments) != 2 {
		return usageError("diff takes one or two files")
	}
	before, err := readCatalogue(environment, arguments[0])
	if err != nil {
		return err
	}
	var changes catalogue.Difference
	if len(arguments) == 2 {
		after, err := readCatalogue(environment, arguments[1])
		if err != nil {
			return err
		}
		changes = catalogue.Diff(before, after)
	} else if changes, err = d.diffAgainstStore(ctx, environment, before); err != nil {
		return err
	}
	if d.JSON {
		err = printJSON(environment.Output, changes)
	} else {
		_, err = fmt.Fprint(environment.Output, changes.String())
	}
	if err == nil && len(changes) > 0 {
		return exitErrorf(exitDiffers, "")
	}
	return err
}

func (d *diffOptions) diffAgainstStore(ctx context.Context, environment Environment, proposed catalogue.Catalogue) (catalogue.Difference, error) {
	o, err := d.resolve(environment)
	if err != nil {
		return nil, err
	}
	editor, err := o.editor()
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	current, _, err := editor.Read(bounded)
	if err != nil {
		return nil, err
	}
	changed, err := replacement(proposed).Apply(current)
	if err != nil {
		return nil, err
	}
	return catalogue.Diff(current, changed), nil
}
