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
	allCommand = command{"all", "store, instance list and all backend servers in one process", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return runHost(ctx, flags, arguments, true)
	}}
	backendCommand = command{"backend", "backend servers in one process", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return runHost(ctx, flags, arguments, false)
	}}
	storeCommand = command{"store", "the platform's key-value store", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return runServer(ctx, flags, arguments, store.New())
	}}
	instancesCommand = command{"instances", "the platform's instance list, empty at first", func(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
		return runServer(ctx, flags, arguments, instances.New())
	}}
	entryCommand = command{"entry", "an entry instance that stops when its standard input ends", runEntry}
)

// runHost runs backend servers and, if withPlatform is set, also a store and an instance list with the servers. It
// prints the addresses as one line of JSON.
func runHost(ctx context.Context, flags *flag.FlagSet, arguments []string, withPlatform bool) error {
	seed := flags.Uint64("seed", 1, "seed of the data, the service times and the start marks of the servers")
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
	anyPort := net.JoinHostPort(*address, "0")
	servers, err := standin.NewHost(standin.HostOptions{
		Applications: applications, Zones: strings.Split(*zones, ","), Seed: *seed, IP: *address, Control: anyPort, HeldVersions: []uint64{1, 2},
	})
	if err != nil {
		return err
	}
	defer servers.Close()
	addresses := cluster.Addresses{Control: servers.ControlAddress()}
	if withPlatform {
		listed := make([]coordination.Instance, 0, len(servers.Servers()))
		for _, server := range servers.Servers() {
			options := server.Options()
			listed = append(listed, coordination.Instance{
				ID: options.ID, Kind: coordination.KindBackendServer, Zone: options.Zone, Region: "region-1",
				Address: server.Address(), Service: options.Service, State: coordination.StateLive,
			})
		}
		var closeStore, closeInstances func()
		if addresses.Store, closeStore, err = serve(anyPort, store.New()); err != nil {
			return err
		}
		defer closeStore()
		if addresses.Instances, closeInstances, err = serve(anyPort, instances.New(listed...)); err != nil {
			return err
		}
		defer closeInstances()
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	<-cancelOnInputEnd(ctx).Done()
	return nil
}

// runServer serves one HTTP handler and prints the address on which it listens.
func runServer(ctx context.Context, flags *flag.FlagSet, arguments []string, handler http.Handler) error {
	address := flags.String("listen", "127.0.0.1:0", "address to listen on")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	boundAddress, stop, err := serve(*address, handler)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println(boundAddress)
	<-cancelOnInputEnd(ctx).Done()
	return nil
}

// serve starts an HTTP server and returns the address on which it listens, with a function that closes the server.
func serve(address string, handler http.Handler) (boundAddress string, stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// runEntry runs an entry instance with the settings file that the flags name.
func runEntry(ctx context.Context, flags *flag.FlagSet, arguments []string) error {
	file := flags.String("settings", "", "settings file of the instance")
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
	return entry.Run(cancelOnInputEnd(ctx), parsed)
}
