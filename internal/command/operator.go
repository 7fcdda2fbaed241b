package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// operatorOptions are the flags common to the verbs that call the platform or the entry instances.
type operatorOptions struct {
	Settings    string        `long:"settings" value-name:"FILE" env:"MEDLARLATCH_SETTINGS" description:"process settings that name the platform and the operator key"`
	Store       string        `long:"store" value-name:"URL" env:"MEDLARLATCH_STORE" description:"the platform's store, instead of the one in the settings"`
	Instances   string        `long:"instances" value-name:"URL" env:"MEDLARLATCH_INSTANCES" description:"the platform's instance list, instead of the one in the settings"`
	OperatorKey string        `long:"operator-key-file" value-name:"FILE" description:"file with the operator key, instead of the one in the settings"`
	Timeout     time.Duration `long:"timeout" value-name:"TIME" default:"15s" description:"time for the whole command"`
	JSON        bool          `long:"json" description:"write JSON"`
}

// callTimeout is the timeout of each call to the platform or an entry instance.
const callTimeout = 2 * time.Second

// operatorClient calls the platform and the entry instances. Its Store, Instances and key are those of the flags or
// else of the settings file; an empty one is unknown.
type operatorClient struct {
	operatorOptions
	environment Environment
	key         string
}

// resolve completes the flags from the settings file and reads the operator key.
func (options operatorOptions) resolve(environment Environment) (*operatorClient, error) {
	o := &operatorClient{operatorOptions: options, environment: environment}
	if options.Settings != "" {
		text, err := environment.ReadFile(options.Settings)
		if err != nil {
			return nil, err
		}
		parsed, faults := settings.Parse(options.Settings, string(text))
		if err := faults.Err(); err != nil {
			return nil, err
		}
		o.key = parsed.OperatorKey
		if o.Store == "" {
			o.Store = parsed.StoreURL
		}
		if o.Instances == "" {
			o.Instances = parsed.InstanceListURL
		}
	}
	if options.OperatorKey != "" {
		text, err := environment.ReadFile(options.OperatorKey)
		if err != nil {
			return nil, err
		}
		o.key = strings.TrimSpace(string(text))
	}
	return o, nil
}

func (o *operatorClient) coordinationOptions() coordination.Options {
	return coordination.Options{Client: o.environment.Client, Timeout: callTimeout, Random: o.environment.Random}
}

func (o *operatorClient) editor() (*configuration.Editor, error) {
	if o.Store == "" {
		return nil, usageError("the address of the store is not given; use --store or --settings")
	}
	return configuration.NewEditor(coordination.NewStore(o.Store, o.coordinationOptions()), o.environment.Random), nil
}

func (o *operatorClient) entryInstances(ctx context.Context) ([]fleet.Entry, error) {
	if o.Instances == "" {
		return nil, usageError("the address of the instance list is not given; use --instances or --settings")
	}
	entries, _, err := coordination.NewInstances(o.Instances, o.coordinationOptions()).List(ctx)
	return entries, err
}

// statusReport holds the fields of a response to GET /v1/status that this package needs, or the error of the call.
type statusReport struct {
	Instance fleet.InstanceID `json:"instance"`
	Zone     fleet.ZoneID     `json:"zone"`
	Ready    bool             `json:"ready"`
	// Reason is a string, so that a reason that only newer instances know does not fail the decoding of the report.
	Reason        string                       `json:"reason"`
	Configuration *httpapi.ConfigurationStatus `json:"configuration"`
	Servers       []struct {
		Slots int `json:"slots-share"`
	} `json:"servers,omitempty"`

	// Error is not part of the response. It is set if no report was received from the instance.
	Error string `json:"error,omitempty"`
	// raw is the response as received.
	raw json.RawMessage
}

// confirms reports whether the instance has the revision or a later one in force.
func (r statusReport) confirms(revision uint64) bool {
	return r.Error == "" && r.Configuration.Revision >= revision
}

// shareTotals returns the number of backend servers that the instance owns a share of, and the sum of their slots.
func (r statusReport) shareTotals() (servers, slots int) {
	for _, server := range r.Servers {
		if server.Slots > 0 {
			servers++
			slots += server.Slots
		}
	}
	return servers, slots
}

// statusReports calls all entry instances concurrently and returns one report for each, in the order of entries.
func (o *operatorClient) statusReports(ctx context.Context, entries []fleet.Entry) []statusReport {
	reports := make([]statusReport, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			raw, err := o.status(ctx, entry.OperatorAddress)
			if err == nil {
				err = json.Unmarshal(raw, &reports[i])
				reports[i].raw = raw
			}
			if err == nil && reports[i].Configuration == nil {
				err = errors.New("the report has no configuration")
			}
			reports[i].Instance, reports[i].Zone = entry.ID, entry.Zone
			if err != nil {
				reports[i].Error = err.Error()
			}
		})
	}
	group.Wait()
	return reports
}

func (o *operatorClient) status(ctx context.Context, address string) ([]byte, error) {
	return o.get(ctx, address, "/v1/status")
}

func (o *operatorClient) client() *http.Client {
	if o.environment.Client != nil {
		return o.environment.Client
	}
	return http.DefaultClient
}

// changeResult is the output of a verb that changes the catalogue in the store.
type changeResult struct {
	Revision uint64 `json:"revision"`
	// RevisionIsUpperBound is set if the document in the store already had a later write on top of the change. Revision
	// is then that of the later write, and the change has a lower one.
	RevisionIsUpperBound bool                 `json:"at-most,omitempty"`
	WriteID              string               `json:"write-id"`
	Change               catalogue.Difference `json:"change"`
	// Confirmed and Missing are the instances that do and do not have the revision in force. They are set with --wait.
	Confirmed []fleet.InstanceID `json:"confirmed,omitempty"`
	Missing   []fleet.InstanceID `json:"missing,omitempty"`
}

// change applies the edit to the catalogue in the store and prints the result. If wait is set, it first waits until
// every entry instance in the instance list has the new revision in force, or ctx ends.
func (o *operatorClient) change(ctx context.Context, edit configuration.Edit, wait bool) error {
	editor, err := o.editor()
	if err != nil {
		return err
	}
	applied, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	result := changeResult{Revision: applied.Revision, RevisionIsUpperBound: applied.RevisionIsUpperBound, WriteID: applied.WriteID, Change: applied.Change}
	var waitErr error
	if wait {
		waitErr = o.awaitConfirmation(ctx, &result)
	}
	if o.JSON {
		if err := printJSON(o.environment.Output, result); err != nil {
			return err
		}
		return waitErr
	}
	output := o.environment.Output
	fmt.Fprint(output, result.Change.String())
	if result.RevisionIsUpperBound {
		fmt.Fprintf(output, "accepted, and in force with the later revision %d\n", result.Revision)
	} else {
		fmt.Fprintf(output, "accepted at revision %d\n", result.Revision)
	}
	if wait && waitErr == nil {
		fmt.Fprintf(output, "in force at %d entry instances\n", len(result.Confirmed))
	}
	return waitErr
}

// pollInterval is the pause between two rounds of status calls to all entry instances.
const pollInterval = 200 * time.Millisecond

// awaitConfirmation calls all listed entry instances until each of them has the revision of the result in force. It
// returns an error if ctx ends before.
func (o *operatorClient) awaitConfirmation(ctx context.Context, result *changeResult) error {
	for {
		entries, err := o.entryInstances(ctx)
		reports := o.statusReports(ctx, entries)
		// Skip a round during which ctx ended: its calls failed without saying anything about the instances.
		if err == nil && ctx.Err() == nil {
			result.Confirmed, result.Missing = nil, nil
			for _, r := range reports {
				if r.confirms(result.Revision) {
					result.Confirmed = append(result.Confirmed, r.Instance)
				} else {
					result.Missing = append(result.Missing, r.Instance)
				}
			}
			if len(result.Missing) == 0 && len(entries) > 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			if len(result.Missing) > 0 {
				return exitErrorf(exitUnconfirmed, "accepted at revision %d; not confirmed by %v", result.Revision, result.Missing)
			}
			return exitErrorf(exitUnconfirmed, "accepted at revision %d; no entry instance could be called before the timeout: %v", result.Revision, err)
		case <-time.After(pollInterval):
		}
	}
}

// checkListed returns an error if no item of the instance list matches, because a change for a misspelt name would be
// accepted and have no effect. It only warns if the list cannot be read, and does nothing if its address is not given.
func (o *operatorClient) checkListed(ctx context.Context, name string, matches func(fleet.ZoneID, string) bool) error {
	if o.Instances == "" {
		return nil
	}
	entries, servers, err := coordination.NewInstances(o.Instances, o.coordinationOptions()).List(ctx)
	if err != nil {
		fmt.Fprintln(o.environment.ErrorOutput, "medlarlatch: warning: the name could not be checked against the instance list:", err)
		return nil
	}
	for _, entry := range entries {
		if matches(entry.Zone, string(entry.ID)) {
			return nil
		}
	}
	for _, server := range servers {
		if matches(server.Zone, string(server.ID)) {
			return nil
		}
	}
	return exitErrorf(exitInvalid, "%q is not in the instance list; use --unlisted to change it anyway", name)
}

func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// queryExitCode returns the exit code of a query that was refused or failed with the verdict.
func queryExitCode(v verdict.Verdict) exitCode {
	if v == verdict.NotRun {
		return exitNotRun
	}
	return exitMayHaveRun
}
