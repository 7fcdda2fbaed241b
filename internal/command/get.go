package command

import (
	"context"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

var getVerb = verb{
	name:      "get",
	summary:   "prints the catalogue in the platform's store, for editing and apply",
	arguments: "[flags]",
	example:   "medlarlatch get --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &getOptions{} },
}

type getOptions struct {
	operatorOptions
}

func (g *getOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("get takes no arguments")
	}
	o, err := g.resolve(environment)
	if err != nil {
		return err
	}
	editor, err := o.editor()
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	current, revision, err := editor.Read(bounded)
	if err != nil {
		return err
	}
	if len(current.WriteIDs()) == 0 {
		current = current.WithBase(catalogue.BaseRevision{Revision: revision, Known: true})
	}
	if g.JSON {
		return printJSON(environment.Output, map[string]any{"revision": revision, "catalogue": current.Format()})
	}
	_, err = fmt.Fprintf(environment.Output, "; revision %d\n%s", revision, current.Format())
	return err
}
