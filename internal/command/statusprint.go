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

// shownServers bounds the backend servers that are listed without --servers.
const shownServers = 10

// explain writes what the instances report beyond the revision: backend servers and refusals.
func (s *statusOptions) explain(output io.Writer, reports []report) error {
	var all []httpapi.Status
	for _, r := range reports {
		if r.Error != "" {
			continue
		}
		var status httpapi.Status
		if err := json.Unmarshal(r.raw, &status); err != nil {
			fmt.Fprintf(output, "the rest of the report of %s cannot be read: %v\n", r.Instance, err)
			continue
		}
		all = append(all, status)
	}
	for _, write := range []func(io.Writer, []httpapi.Status) error{s.writeServers, writeDisagreements, writeRefusals} {
		if err := write(output, all); err != nil {
			return err
		}
	}
	return nil
}

// ownedServer is a server as an instance reports it that may send to it, or as any reports it if none may.
type ownedServer struct {
	httpapi.ServerStatus
	by string
}

// owned merges the servers of all reports. More than one instance may own a share of one server.
func owned(all []httpapi.Status) []ownedServer {
	claimed := make(map[string]bool)
	var lines, others []ownedServer
	for _, status := range all {
		for _, server := range status.Servers {
			if server.Slots > 0 {
				claimed[server.Server] = true
				lines = append(lines, ownedServer{server, status.Instance})
			} else {
				if server.State == "elsewhere" {
					server.State = "unknown" // its owner gave no report, or there is none
				}
				others = append(others, ownedServer{server, cmp.Or(server.Owner, "none")})
			}
		}
	}
	for _, server := range others {
		if !claimed[server.Server] {
			claimed[server.Server] = true
			lines = append(lines, server)
		}
	}
	slices.SortStableFunc(lines, func(a, b ownedServer) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.by, b.by))
	})
	return lines
}

func (s *statusOptions) writeServers(output io.Writer, all []httpapi.Status) error {
	lines := owned(all)
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
		lines = slices.DeleteFunc(lines, func(l ownedServer) bool { return l.State == "warm" || l.State == "cold" || l.State == "warming" })
	}
	if !s.Servers && len(lines) > shownServers {
		hidden = len(lines) - shownServers
		lines = lines[:shownServers]
	}
	if len(lines) == 0 {
		_, err := fmt.Fprintln(output, "all of them are in use or warming up; --servers lists them")
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tZONE\tOWNER\tSTATE\tREASON\tSINCE\tSLOTS\tRAMP\tIN FLIGHT\tWAITING\tCONNECTIONS")
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d of %d\n", l.Server, l.Zone, l.by, l.State, l.Reason, since(l.Since),
			l.Slots, l.Ramp, l.InFlight, l.Waiting, l.Open, l.Connections)
	}
	if hidden > 0 {
		fmt.Fprintf(table, "and %d more; --servers lists them\n", hidden)
	}
	return table.Flush()
}

// writeDisagreements lists the peers that an instance cannot reach or knows as leaving.
func writeDisagreements(output io.Writer, all []httpapi.Status) error {
	for _, status := range all {
		for _, peer := range status.Peers {
			var states []string
			for _, state := range []struct {
				holds bool
				name  string
			}{{!peer.Reachable, "does not reach"}, {peer.Leaving, "knows as leaving"}, {peer.Out, "knows as out"}} {
				if state.holds {
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

func writeRefusals(output io.Writer, all []httpapi.Status) error {
	refused := false
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, status := range all {
		for _, reason := range slices.Sorted(maps.Keys(status.Refusals)) {
			if !refused {
				fmt.Fprintln(output)
				fmt.Fprintln(table, "REFUSED BY\tSINCE\tREASON\tCOUNT")
			}
			refused = true
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", status.Instance, since(status.Started), reason, status.Refusals[reason])
		}
	}
	if len(all) > 0 && !refused {
		fmt.Fprintln(output, "no instance has refused a query since its start")
	}
	return table.Flush()
}

// since writes a time to the second; a time that is not known is a dash.
func since(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// readiness writes whether an instance is ready, else why not.
func readiness(ready bool, reason string) string {
	if ready || reason == "" {
		return fmt.Sprint(ready)
	}
	return "no: " + reason
}

// origin writes where a configuration came from, and whether the instance reads the store itself.
func origin(c httpapi.ConfigurationStatus) string {
	from := c.Origin
	if c.Peer != "" {
		from += " " + c.Peer
	}
	if c.StoreAlive {
		from += ", watches the store"
	}
	return from
}
