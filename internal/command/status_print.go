package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/httpapi"
)

// maxListedServers is the number of backend servers that are listed at most without --servers.
const maxListedServers = 10

// writeDetails writes the parts of the reports below the table of instances: backend servers, peers that are
// unreachable, leaving or out, and refusals.
func (s *statusOptions) writeDetails(output io.Writer, reports []statusReport) error {
	var all []httpapi.Status
	for _, r := range reports {
		if r.Error != "" {
			continue
		}
		var status httpapi.Status
		if err := json.Unmarshal(r.raw, &status); err != nil {
			fmt.Fprintf(output, "cannot decode the report of %s beyond its configuration: %v\n", r.Instance, err)
			continue
		}
		all = append(all, status)
	}
	for _, write := range []func(io.Writer, []httpapi.Status) error{s.writeServers, writePeerProblems, writeRefusals} {
		if err := write(output, all); err != nil {
			return err
		}
	}
	return nil
}

// serverLine is a backend server as reported by an instance that owns a share of it, or by any instance if none does.
type serverLine struct {
	httpapi.ServerStatus
	ownerName string
}

// mergeServers merges the servers of all reports into one list. A server of which several instances own a share has one
// line for each of them.
func mergeServers(all []httpapi.Status) []serverLine {
	listed := make(map[string]bool)
	var lines, notOwned []serverLine
	for _, status := range all {
		for _, server := range status.Servers {
			if server.SlotsShare > 0 {
				listed[server.Server] = true
				lines = append(lines, serverLine{server, status.Instance})
			} else {
				if server.State == "elsewhere" {
					server.State = "unknown" // no report of its owner was received, or it has no owner
				}
				notOwned = append(notOwned, serverLine{server, cmp.Or(server.Owner, "none")})
			}
		}
	}
	for _, server := range notOwned {
		if !listed[server.Server] {
			listed[server.Server] = true
			lines = append(lines, server)
		}
	}
	slices.SortStableFunc(lines, func(a, b serverLine) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.ownerName, b.ownerName))
	})
	return lines
}

func (s *statusOptions) writeServers(output io.Writer, all []httpapi.Status) error {
	lines := mergeServers(all)
	if len(lines) == 0 {
		return nil
	}
	states := make(map[string]int)
	for _, line := range lines {
		states[line.State]++
	}
	var counts []string
	for _, state := range slices.Sorted(maps.Keys(states)) {
		counts = append(counts, fmt.Sprintf("%s %d", state, states[state]))
	}
	fmt.Fprintf(output, "\nbackend servers: %s\n", strings.Join(counts, ", "))
	hidden := 0
	if !s.Servers {
		lines = slices.DeleteFunc(lines, func(l serverLine) bool { return l.State == "warm" || l.State == "cold" || l.State == "warming" })
	}
	if !s.Servers && len(lines) > maxListedServers {
		hidden = len(lines) - maxListedServers
		lines = lines[:maxListedServers]
	}
	if len(lines) == 0 {
		_, err := fmt.Fprintln(output, "all of them are in use or warming up; --servers lists them")
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tZONE\tOWNER\tSTATE\tREASON\tSINCE\tSLOTS\tRAMP\tIN FLIGHT\tWAITING\tCONNECTIONS")
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d of %d\n", l.Server, l.Zone, l.ownerName, l.State, l.Reason, formatTime(l.Since),
			l.SlotsShare, l.Ramp, l.InFlight, l.Queued, l.ConnectionsOpen, l.ConnectionsShare)
	}
	if hidden > 0 {
		fmt.Fprintf(table, "and %d more; --servers lists them\n", hidden)
	}
	return table.Flush()
}

// writePeerProblems writes a line for each peer that an instance cannot reach or that it knows as leaving or out of
// service.
func writePeerProblems(output io.Writer, all []httpapi.Status) error {
	for _, status := range all {
		for _, peer := range status.Peers {
			var states []string
			for _, state := range []struct {
				applies bool
				name    string
			}{{!peer.Reachable, "does not reach"}, {peer.Leaving, "knows as leaving"}, {peer.OutOfService, "knows as out"}} {
				if state.applies {
					states = append(states, state.name)
				}
			}
			if len(states) > 0 {
				fmt.Fprintf(output, "%s %s %s\n", status.Instance, strings.Join(states, " and "), peer.Instance)
			}
		}
	}
	return nil
}

// writeRefusals writes a table of the refused queries, by instance and reason.
func writeRefusals(output io.Writer, all []httpapi.Status) error {
	anyRefusal := false
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, status := range all {
		for _, reason := range slices.Sorted(maps.Keys(status.Refusals)) {
			if !anyRefusal {
				fmt.Fprintln(output)
				fmt.Fprintln(table, "REFUSED BY\tSINCE\tREASON\tCOUNT")
			}
			anyRefusal = true
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", status.Instance, formatTime(status.Started), reason, status.Refusals[reason])
		}
	}
	if len(all) > 0 && !anyRefusal {
		fmt.Fprintln(output, "no instance has refused a query since its start")
	}
	return table.Flush()
}

// formatTime formats a time to the second in UTC; the zero time gives a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// formatReadiness formats whether an instance is ready, with the reason if it is not and the reason is known.
func formatReadiness(ready bool, reason string) string {
	if ready || reason == "" {
		return fmt.Sprint(ready)
	}
	return "no: " + reason
}

// formatOrigin formats where an instance got its configuration, and whether it watches the store itself.
func formatOrigin(c httpapi.ConfigurationStatus) string {
	from := c.Origin
	if c.Peer != "" {
		from += " " + c.Peer
	}
	if c.StoreAlive {
		from += ", watches the store"
	}
	return from
}
