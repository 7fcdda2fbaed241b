package program

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/internal/standin/relay"
)

var clusterCommand = command{"cluster", "the processes of the demo, controlled by the lines of standard input until it ends", runCluster}

const clusterUsage = `lines: load SECONDS | fault SERVER JSON | store JSON | list JSON | listed ID STATE |
       cut ZONE | join ZONE | term INSTANCE | kill INSTANCE | start INSTANCE | ready`

// runCluster runs a cluster whose faults and load are controlled by lines of standard input. It serves to try the
// operators' commands and to produce the transcripts in the operators' documentation.
func runCluster(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	options, err := parseClusterOptions(flags, arguments)
	if err != nil {
		return err
	}
	options.Applications = []string{"marshal-search", "handheld-tokens", "corral-ledger"}
	options.Relays = true
	c, err := cluster.Start(ctx, options)
	defer c.Close()
	if err != nil {
		return err
	}
	for n, entry := range c.Entries {
		fmt.Printf("%s %s callers %s settings %s\n", entry.Name, entry.Zone, c.CallerAddress(n), c.SettingsFile(n))
	}
	generator, err := c.NewGenerator()
	if err != nil {
		return err
	}
	go generator.PollReady(ctx)
	lines := bufio.NewScanner(os.Stdin)
	for ctx.Err() == nil && lines.Scan() {
		if err := executeLine(ctx, c, generator, lines.Text()); err != nil {
			fmt.Println("error:", err)
			continue
		}
		fmt.Println("done:", lines.Text())
	}
	return lines.Err()
}

// executeLine executes one line of standard input; clusterUsage lists the lines.
func executeLine(ctx context.Context, c *cluster.Cluster, generator *cluster.Generator, line string) error {
	action, rest, _ := strings.Cut(line, " ")
	first, second, _ := strings.Cut(rest, " ")
	switch action {
	case "load":
		seconds, err := strconv.ParseFloat(rest, 64)
		if err != nil {
			return err
		}
		generator.Run(ctx, cluster.Load{PerSecond: map[string]int{"marshal-search": 40, "handheld-tokens": 40, "corral-ledger": 10}, Seconds: seconds})
		return nil
	case "fault":
		return c.SetServerFaults(ctx, first, second)
	case "store":
		return c.SetStoreFaults(ctx, rest)
	case "list":
		return c.SetInstanceListFaults(ctx, rest)
	case "listed":
		return c.SetInstanceState(ctx, first, second)
	case "cut", "join":
		state := relay.Open
		if action == "cut" {
			state = relay.Held
		}
		c.SetZoneLinks(rest, state, state)
		c.SetPlatformLinks(rest, state)
		return nil
	case "ready":
		return c.WaitReady(ctx)
	case "term", "kill", "start":
		return controlProcess(c, action, rest)
	default:
		return fmt.Errorf("%s", clusterUsage)
	}
}

// controlProcess terminates, kills or starts the entry instance with the name.
func controlProcess(c *cluster.Cluster, action, name string) error {
	for n, entry := range c.Entries {
		switch {
		case entry.Name != name:
		case action == "term":
			if err := c.Signal(n, syscall.SIGTERM); err != nil {
				return err
			}
			return c.Wait(n, time.Minute)
		case action == "kill":
			return c.Signal(n, syscall.SIGKILL)
		default:
			return c.StartEntry(n)
		}
	}
	return fmt.Errorf("no entry instance %q", name)
}
