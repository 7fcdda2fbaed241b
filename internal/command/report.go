package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

var reportVerb = verb{
	name:      "report",
	summary:   "prints how fast the services spend their error budgets, and what spends them",
	arguments: "burn [--all] [--html FILE] [flags]",
	example:   "medlarlatch report burn --settings examples/paddlemark/settings-entry-1.ini",
	options:   func() runner { return &reportOptions{} },
}

type reportOptions struct {
	operatorOptions
	All  bool   `long:"all" description:"also show services that spent nothing"`
	HTML string `long:"html" value-name:"FILE" description:"also write one HTML page with a plot of burn over time"`
}

func (r *reportOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) != 1 || arguments[0] != "burn" {
		return usageError("report takes the name of a report: burn")
	}
	o, err := r.resolve(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	entries, err := o.entryInstances(bounded)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return exitErrorf(exitUnreachable, "the instance list has no entry instance")
	}
	report, missing := o.burn(bounded, entries)
	if r.HTML != "" {
		var page bytes.Buffer
		if err := burn.WritePage(&page, report); err != nil {
			return err
		}
		if err := environment.WriteFile(r.HTML, page.Bytes()); err != nil {
			return err
		}
	}
	if r.JSON {
		err = printJSON(environment.Output, report)
	} else {
		err = burn.WriteText(environment.Output, report, r.All)
	}
	if err == nil && missing > 0 {
		return exitErrorf(exitUnreachable, "%d of %d entry instances gave no counts", missing, len(entries))
	}
	return err
}

// burn reads the counts of all entry instances concurrently and merges them into a report. An instance whose counts
// could not be read is a gap over the whole period of the report; missing is the number of these instances.
func (o *operatorClient) burn(ctx context.Context, entries []fleet.Entry) (report burn.Report, missing int) {
	type result struct {
		snapshot burn.Snapshot
		err      error
	}
	results := make([]result, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			text, err := o.get(ctx, entry.OperatorAddress, "/v1/burn")
			if err == nil {
				err = json.Unmarshal(text, &results[i].snapshot)
			}
			if err == nil && results[i].snapshot.Started.IsZero() {
				err = fmt.Errorf("the answer is not a burn report: it has no start time")
			}
			results[i].err = err
		})
	}
	group.Wait()
	now := time.Now().UTC()
	var snapshots []burn.Snapshot
	var gaps []burn.Gap
	for i, entry := range entries {
		if results[i].err == nil {
			snapshots = append(snapshots, results[i].snapshot)
			continue
		}
		gaps = append(gaps, burn.Gap{
			Instance: string(entry.ID), Zone: string(entry.Zone), From: now.Add(-burn.HistoryMinutes * time.Minute), To: now,
			Cause: "no counts: " + results[i].err.Error(),
		})
	}
	return burn.Merge(now, snapshots, gaps), len(gaps)
}

// get returns the body of the response to a GET request to the operator listener of an entry instance, up to 16 MiB.
func (o *operatorClient) get(ctx context.Context, address, path string) ([]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.key)
	response, err := o.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, 16<<20))
}
