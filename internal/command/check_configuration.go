package command

import (
	"fmt"
	"strings"

	"github.com/medlarlatch/medlarlatch/internal/inspection"
	"github.com/medlarlatch/medlarlatch/platform"
)

// inspect checks a configuration of the users' platform and, if a second one is given, compares it with that. Errors lead
// to exitInvalid, differences without an error to exitDiffers; warnings alone do not change the exit code.
func (c *checkOptions) inspect(environment Environment) error {
	proposed, err := readConfiguration(environment, c.Configuration)
	if err != nil {
		return err
	}
	findings, changes := inspection.Inspect(proposed), []inspection.Change{}
	if c.Against != "" {
		inForce, err := readConfiguration(environment, c.Against)
		if err != nil {
			return err
		}
		changes = append(changes, inspection.Compare(inForce, proposed)...)
	}
	if c.JSON {
		err = printJSON(environment.Output, map[string]any{"findings": append([]inspection.Finding{}, findings...), "changes": changes})
	} else {
		_, err = fmt.Fprint(environment.Output, inspectionText(proposed, findings, changes))
	}
	errors := 0
	for _, finding := range findings {
		if finding.Severity == inspection.Error {
			errors++
		}
	}
	switch {
	case err != nil:
		return err
	case errors > 0:
		return exitErrorf(exitInvalid, "%d errors", errors)
	case len(changes) > 0:
		return exitErrorf(exitDiffers, "")
	}
	return nil
}

func readConfiguration(environment Environment, file string) (*inspection.Configuration, error) {
	text, err := environment.ReadFile(file)
	if err != nil {
		return nil, err
	}
	configuration, err := platform.DecodeConfiguration(text)
	if err != nil {
		return nil, exitErrorf(exitInvalid, "%s: not a configuration: %v", file, err)
	}
	return configuration, nil
}

// inspectionText returns the findings and the changes, one a line, after a line that says how much was checked.
func inspectionText(c *inspection.Configuration, findings []inspection.Finding, changes []inspection.Change) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d: %d routes, %d services, %d customers, %d findings\n", c.Version, len(c.Routes), len(c.Services), len(c.Customers), len(findings))
	for _, finding := range findings {
		fmt.Fprintln(&text, finding)
	}
	for _, change := range changes {
		fmt.Fprintln(&text, "change:", change)
	}
	return text.String()
}
