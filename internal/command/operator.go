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

// access is how operators' verbs reach the platform and the entry instances.
type access struct {
	Settings    string        `long:"settings" value-name:"FILE" env:"MEDLARLATCH_SETTINGS" description:"process settings that name the platform and the operator key"`
	Store       string        `long:"store" value-name:"URL" env:"MEDLARLATCH_STORE" description:"the platform's store, instead of the one in the settings"`
	Instances   string        `long:"instances" value-name:"URL" env:"MEDLARLATCH_INSTANCES" description:"the platform's instance list, instead of the one in the settings"`
	OperatorKey string        `long:"operator-key-file" value-name:"FILE" description:"file with the operator key, instead of the one in the settings"`
	Timeout     time.Duration `long:"timeout" value-name:"TIME" default:"15s" description:"time for the whole command"`
	JSON        bool          `long:"json" description:"write JSON"`
}

// callTimeout bounds each call of an operator's verb to the platform or an entry instance.
const callTimeout = 2 * time.Second

// operator is the access with its addresses resolved.
type operator struct {
	access
	environment Environment
	key         string
}

func (a access) open(environment Environment) (*operator, error) {
	o := &operator{access: a, environment: environment}
	if a.Settings != "" {
		text, err := environment.ReadFile(a.Settings)
		if err != nil {
			return nil, err
		}
		known, faults := settings.Parse(a.Settings, string(text))
		if err := faults.Err(); err != nil {
			return nil, err
		}
		o.key = known.OperatorKey
		if o.Store == "" {
			o.Store = known.Store
		}
		if o.Instances == "" {
			o.Instances = known.Instances
		}
	}
	if a.OperatorKey != "" {
		text, err := environment.ReadFile(a.OperatorKey)
		if err != nil {
			return nil, err
		}
		o.key = strings.TrimSpace(string(text))
	}
	return o, nil
}

func (o *operator) options() coordination.Options {
	return coordination.Options{Client: o.environment.Client, Timeout: callTimeout, Random: o.environment.Random}
}

func (o *operator) editor() (*configuration.Editor, error) {
	if o.Store == "" {
		return nil, usageError("the store is not known; give --store or --settings")
	}
	return configuration.NewEditor(coordination.NewStore(o.Store, o.options()), o.environment.Random), nil
}

func (o *operator) entries(ctx context.Context) ([]fleet.Entry, error) {
	if o.Instances == "" {
		return nil, usageError("the instance list is not known; give --instances or --settings")
	}
	entries, _, err := coordination.NewInstances(o.Instances, o.options()).List(ctx)
	return entries, err
}

// report is what this package reads of GET /v1/status.
type report struct {
	Instance fleet.InstanceID `json:"instance"`
	Zone     fleet.ZoneID     `json:"zone"`
	Ready    bool             `json:"ready"`
	// Reason is text, so that a reason that only a newer instance knows does not make the report unreadable.
	Reason        string                       `json:"reason"`
	Configuration *httpapi.ConfigurationStatus `json:"configuration"`
	Servers       []struct {
		Slots int `json:"slots-share"`
	} `json:"servers,omitempty"`

	// Error is set here if the instance gave no report.
	Error string `json:"error,omitempty"`
	// raw is the whole report.
	raw json.RawMessage
}

// confirms tells whether the instance has the revision or a later one in force.
func (r report) confirms(revision uint64) bool {
	return r.Error == "" && r.Configuration.Revision >= revision
}

// shares counts the servers that the instance may send to, and their slots.
func (r report) shares() (servers, slots int) {
	for _, server := range r.Servers {
		if server.Slots > 0 {
			servers++
			slots += server.Slots
		}
	}
	return servers, slots
}

// reports asks all entry instances at the same time, and returns a report for each of them.
func (o *operator) reports(ctx context.Context, entries []fleet.Entry) []report {
	reports := make([]report, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			raw, err := o.status(ctx, entry.Operators)
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

func (o *operator) status(ctx context.Context, address string) ([]byte, error) {
	return o.read(ctx, address, "/v1/status")
}

func (o *operator) client() *http.Client {
	if o.environment.Client != nil {
		return o.environment.Client
	}
	return http.DefaultClient
}

// accepted is the output of a change.
type accepted struct {
	Revision uint64 `json:"revision"`
	// AtMost is set if the change was found below a later one; its own revision is not above this one.
	AtMost  bool                 `json:"at-most,omitempty"`
	WriteID string               `json:"write-id"`
	Change  catalogue.Difference `json:"change"`
	// Confirmed and Missing are set with --wait.
	Confirmed []fleet.InstanceID `json:"confirmed,omitempty"`
	Missing   []fleet.InstanceID `json:"missing,omitempty"`
}

// change applies the edit, and with wait waits until every listed entry instance confirms it.
func (o *operator) change(ctx context.Context, edit configuration.Edit, wait bool) error {
	editor, err := o.editor()
	if err != nil {
		return err
	}
	done, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	result := accepted{Revision: done.Revision, AtMost: done.AtMost, WriteID: done.WriteID, Change: done.Change}
	var waited error
	if wait {
		waited = o.await(ctx, &result)
	}
	if o.JSON {
		if err := printJSON(o.environment.Output, result); err != nil {
			return err
		}
		return waited
	}
	output := o.environment.Output
	fmt.Fprint(output, result.Change.String())
	if result.AtMost {
		fmt.Fprintf(output, "accepted, and in force with the later revision %d\n", result.Revision)
	} else {
		fmt.Fprintf(output, "accepted at revision %d\n", result.Revision)
	}
	if wait && waited == nil {
		fmt.Fprintf(output, "in force at %d entry instances\n", len(result.Confirmed))
	}
	return waited
}

// awaitInterval is the time between rounds that read the revision in force.
const awaitInterval = 200 * time.Millisecond

func (o *operator) await(ctx context.Context, result *accepted) error {
	for {
		entries, err := o.entries(ctx)
		reports := o.reports(ctx, entries)
		// A round that the end of the time cut short says nothing about the instances.
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
				return coded(exitNotEverywhere, "accepted at revision %d; not confirmed by %v", result.Revision, result.Missing)
			}
			return coded(exitNotEverywhere, "accepted at revision %d; no entry instance could be asked: %v", result.Revision, err)
		case <-time.After(awaitInterval):
		}
	}
}

// checkListed returns an error if the instance list is readable and nothing in it matches: a change for
// a misspelt name would be accepted and have no effect.
func (o *operator) checkListed(ctx context.Context, name string, matches func(fleet.ZoneID, string) bool) error {
	if o.Instances == "" {
		return nil
	}
	entries, servers, err := coordination.NewInstances(o.Instances, o.options()).List(ctx)
	if err != nil {
		fmt.Fprintln(o.environment.Errors, "medlarlatch: warning: the name is not checked:", err)
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
	return coded(exitInvalid, "%q is not in the instance list; --unlisted changes it all the same", name)
}

func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// refusal returns the exit code of a refused query.
func refusal(v verdict.Verdict) exitCode {
	if v == verdict.NotRun {
		return exitNotRun
	}
	return exitMayHaveRun
}
