package program

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/entry"
	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/internal/standin/instances"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
	"github.com/medlarlatch/medlarlatch/internal/telemetry"
)

var (
	allVerb = verb{"all", "store, instance list and all backend servers in one process", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return host(ctx, flags, arguments, true)
	}}
	backendVerb = verb{"backend", "backend servers in one process", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return host(ctx, flags, arguments, false)
	}}
	storeVerb = verb{"store", "the platform's key-value store", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return serveOne(ctx, flags, arguments, store.New())
	}}
	instancesVerb = verb{"instances", "the platform's instance list, empty at first", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return serveOne(ctx, flags, arguments, instances.New())
	}}
	entryVerb = verb{"entry", "an entry instance that ends with its standard input", runEntry}
)

// host runs backend servers and, with platform set, a store and a list that names the servers. It prints the
// addresses as one line of JSON.
func host(ctx context.Context, flags *flag.FlagSet, arguments []string, withPlatform bool) error {
	seed := flags.Uint64("seed", 1, "seed of the data, the service times and the start marks")
	names := flags.String("applications", "[]", "JSON list of applications; empty means all")
	zones := flags.String("zones", "zone-a,zone-b,zone-c", "zones of the servers")
	address := flags.String("ip", "127.0.0.1", "address to listen on")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	var chosen []string
	if err := json.Unmarshal([]byte(*names), &chosen); err != nil {
		return fmt.Errorf("--applications: %w", err)
	}
	applications, err := standin.Applications(*seed, chosen...)
	if err != nil {
		return err
	}
	free := net.JoinHostPort(*address, "0")
	servers, err := standin.NewHost(standin.HostOptions{
		Applications: applications, Zones: strings.Split(*zones, ","), Seed: *seed, IP: *address, Control: free, Held: []uint64{1, 2},
	})
	if err != nil {
		return err
	}
	defer servers.Close()
	addresses := cluster.Addresses{Control: servers.ControlAddress()}
	if withPlatform {
		lines := make([]coordination.Instance, 0, len(servers.Servers()))
		for _, server := range servers.Servers() {
			options := server.Options()
			lines = append(lines, coordination.Instance{
				ID: options.ID, Kind: coordination.KindBackendServer, Zone: options.Zone, Region: "region-1",
				Address: server.Address(), Service: options.Service, State: coordination.StateLive,
			})
		}
		var closeStore, closeList func()
		if addresses.Store, closeStore, err = serve(free, store.New()); err != nil {
			return err
		}
		defer closeStore()
		if addresses.Instances, closeList, err = serve(free, instances.New(lines...)); err != nil {
			return err
		}
		defer closeList()
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	<-untilInputEnds(ctx).Done()
	return nil
}

func serveOne(ctx context.Context, flags *flag.FlagSet, arguments []string, handler http.Handler) error {
	address := flags.String("listen", "127.0.0.1:0", "address to listen on")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	at, stop, err := serve(*address, handler)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println(at)
	<-untilInputEnds(ctx).Done()
	return nil
}

func serve(address string, handler http.Handler) (at string, stop func(), err error) {
	listening, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listening) }()
	return listening.Addr().String(), func() { _ = server.Close() }, nil
}

func runEntry(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	file := flags.String("settings", "", "settings of the instance")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return err
	}
	parsed, faults := settings.Parse(*file, string(text))
	if err := faults.Err(); err != nil {
		return err
	}
	if err := telemetry.SetUpLog(parsed.LogLevel); err != nil {
		return err
	}
	return entry.Run(untilInputEnds(ctx), parsed)
}
