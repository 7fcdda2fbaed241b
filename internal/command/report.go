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
	access
	All  bool   `long:"all" description:"also show services that spent nothing"`
	HTML string `long:"html" value-name:"FILE" description:"also write one HTML page with a plot of burn over time"`
}

func (r *reportOptions) run(ctx context.Context, environment Environment, arguments []string) error {
	if len(arguments) != 1 || arguments[0] != "burn" {
		return usageError("report takes the name of a report: burn")
	}
	o, err := r.open(environment)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	entries, err := o.entries(bounded)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return coded(exitPlatform, "the instance list has no entry instance")
	}
	report, unasked := o.burn(bounded, entries)
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
	if err == nil && unasked > 0 {
		return coded(exitPlatform, "%d of %d entry instances gave no counts", unasked, len(entries))
	}
	return err
}

// burn asks all entry instances at the same time and merges their counts. An instance that gave none is a gap over
// the whole history.
func (o *operator) burn(ctx context.Context, entries []fleet.Entry) (report burn.Report, unasked int) {
	type result struct {
		snapshot burn.Snapshot
		err      error
	}
	results := make([]result, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			text, err := o.read(ctx, entry.Operators, "/v1/burn")
			if err == nil {
				err = json.Unmarshal(text, &results[i].snapshot)
			}
			if err == nil && results[i].snapshot.Started.IsZero() {
				err = fmt.Errorf("the answer is no burn report")
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
			Instance: string(entry.ID), Zone: string(entry.Zone), From: now.Add(-burn.Minutes * time.Minute), To: now,
			Cause: "no counts: " + results[i].err.Error(),
		})
	}
	return burn.Merge(now, snapshots, gaps), len(gaps)
}

// read returns the answer of an entry instance's operator listener.
func (o *operator) read(ctx context.Context, address, path string) ([]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.key)
	reply, err := o.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", reply.StatusCode)
	}
	return io.ReadAll(io.LimitReader(reply.Body, 16<<20))
}
