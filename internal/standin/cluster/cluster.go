// Package cluster starts the stand-ins and several entry instances as separate processes on the loopback interface, for
// the demo, tests and measurements.
//
// A Cluster owns the processes that it started and kills only those, by their process IDs. The product itself starts no
// processes.
package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/standin"
)

// Keys of the generated settings. They need not be secret, because the processes listen on loopback only.
const (
	peerKey     = "loopback-peer-key-of-the-stand-ins"
	operatorKey = "loopback-operator-key-of-stand-ins"
)

// Addresses holds the addresses that the process of the stand-ins prints as one line of JSON when it is ready.
type Addresses struct {
	Store     string `json:"store"`
	Instances string `json:"instances"`
	Control   string `json:"control"`
}

// Options configure a cluster.
type Options struct {
	// Program is the executable that runs the commands of cmd/standin.
	Program string
	// Environment is added to the environment of every process, as KEY=VALUE.
	Environment []string
	// ServeProgram, if not empty, is the executable that runs the entry instances, with the arguments "serve --settings
	// FILE". Otherwise Program runs them with its command entry.
	ServeProgram string
	// Baseline runs the entry instances of internal/standin/baseline instead of the product's.
	Baseline bool
	Seed     uint64
	// Applications names the applications; none means all.
	Applications []string
	// Zones holds the zone of each entry instance; its length is their number.
	Zones []string
	// Versions lists the index versions that are published at the start.
	Versions []uint64
	// BalancerDelay is the time for which a leaving entry instance continues to serve, until the load balancer has
	// noticed.
	BalancerDelay time.Duration
	// Deadline replaces the deadlines of the example catalogues; zero keeps them. A test that expects complete answers
	// on a busy machine needs a longer one.
	Deadline time.Duration
	// Relays routes the connections between entry instances, and from them to the store and the instance list, through
	// relays, so that tests can interrupt them.
	Relays bool
	// Logs receives the standard error of the processes; nil discards it.
	Logs io.Writer
}

// Cluster is a set of running processes.
type Cluster struct {
	Options
	Entries []*Entry

	applications map[string]standin.Application
	addresses    Addresses
	standIns     *process
	store        *coordination.Store
	editor       *configuration.Editor
	directory    string
	client       *http.Client
	logMutex     sync.Mutex // serialises writes to Logs
	network      *network   // nil without Relays
}

// Entry is one entry instance: its addresses, its settings file and its process, if it was started.
type Entry struct {
	Name, Zone                                  string
	callerAddress, operatorAddress, peerAddress string
	settingsFile                                string
	process                                     *process
}

// Start starts the stand-ins and the entry instances and waits until every entry instance is ready. Close must be
// called, also after an error.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options, applications: make(map[string]standin.Application),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	applications, err := standin.Applications(options.Seed, options.Applications...)
	if err != nil {
		return c, err
	}
	for n, application := range applications {
		if options.Deadline > 0 {
			application.DeadlineMillis = int(options.Deadline.Milliseconds())
		}
		applications[n] = application
		c.applications[application.Name] = application
	}
	if c.directory, err = os.MkdirTemp("", "medlarlatch-cluster-"); err != nil {
		return c, err
	}
	if err := c.startStandIns(); err != nil {
		return c, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 9))
	c.store = coordination.NewStore("http://"+c.addresses.Store, coordination.Options{Timeout: time.Second, Random: random})
	c.editor = configuration.NewEditor(c.store, random)
	if err := c.writeConfiguration(ctx, applications); err != nil {
		return c, err
	}
	for n, zone := range options.Zones {
		entry, err := c.newEntry(n, zone)
		if err != nil {
			return c, err
		}
		c.Entries = append(c.Entries, entry)
	}
	if err := c.registerEntries(ctx); err != nil {
		return c, err
	}
	for n := range c.Entries {
		if err := c.StartEntry(n); err != nil {
			return c, err
		}
	}
	return c, c.WaitReady(ctx)
}

// startStandIns starts the process of the stand-ins and reads their addresses from its output.
func (c *Cluster) startStandIns() error {
	names, err := json.Marshal(c.Options.Applications)
	if err != nil {
		return err
	}
	p, output, err := c.start(c.Program, "all", "--seed", fmt.Sprint(c.Seed), "--applications", string(names))
	if err != nil {
		return err
	}
	c.standIns = p
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err != nil {
		return eris.Wrap(err, "starting the stand-ins: reading their addresses")
	}
	return eris.Wrap(json.Unmarshal(line, &c.addresses), "parsing the addresses of the stand-ins")
}

// writeConfiguration writes the first configuration to the store and publishes the first index versions.
func (c *Cluster) writeConfiguration(ctx context.Context, applications []standin.Application) error {
	if _, err := c.store.CompareAndSwap(ctx, configuration.CatalogueKey, []byte(standin.Configuration(applications)), 0); err != nil {
		return eris.Wrap(err, "writing the configuration")
	}
	return c.Publish(ctx, c.Versions...)
}

// Publish replaces the index documents of all applications in the store by documents with these versions.
func (c *Cluster) Publish(ctx context.Context, versions ...uint64) error {
	for _, application := range c.applications {
		current, err := c.store.Get(ctx, application.IndexKey())
		if err != nil {
			return err
		}
		if _, err := c.store.CompareAndSwap(ctx, application.IndexKey(), application.IndexDocument(versions...), current.Revision); err != nil {
			return err
		}
	}
	return nil
}

// Edit changes the catalogue through an editor, as an operator's verbs do, and returns its new revision.
func (c *Cluster) Edit(ctx context.Context, change func(catalogue.Catalogue) catalogue.Catalogue) (uint64, error) {
	accepted, err := c.editor.Apply(ctx, configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) { return change(current), nil },
	})
	return accepted.Revision, err
}

// newEntry reserves the addresses of an entry instance and writes its settings file.
func (c *Cluster) newEntry(n int, zone string) (*Entry, error) {
	e := &Entry{Name: fmt.Sprintf("entry-%d", n+1), Zone: zone}
	addresses := []*string{&e.callerAddress, &e.operatorAddress, &e.peerAddress}
	for _, address := range addresses {
		var err error
		if *address, err = reserveAddress(); err != nil {
			return nil, err
		}
	}
	storeAddress, listAddress, err := c.platformAddresses(n, zone)
	if err != nil {
		return nil, err
	}
	e.settingsFile = filepath.Join(c.directory, e.Name+".ini")
	text := fmt.Sprintf(`[instance]
name = %s
zone = %s
region = region-1
[listen]
callers = %s
operators = %s
peers = %s
[platform]
store = http://%s
instances = http://%s
[keys]
peer-key = %s
operator-key = %s
[shutdown]
balancer-lag = %s
`, e.Name, zone, e.callerAddress, e.operatorAddress, e.peerAddress, storeAddress, listAddress, peerKey, operatorKey, c.BalancerDelay)
	return e, os.WriteFile(e.settingsFile, []byte(text), 0o600)
}

// registerEntries adds the entry instances to the instance list, which already contains the backend servers.
func (c *Cluster) registerEntries(ctx context.Context) error {
	var listed coordination.InstanceList
	if err := c.callJSON(ctx, http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		return err
	}
	for _, e := range c.Entries {
		listed.Instances = append(listed.Instances, coordination.Instance{
			ID: e.Name, Kind: coordination.KindEntry, Zone: e.Zone, Region: "region-1", PeerAddress: e.peerAddress, OperatorAddress: e.operatorAddress,
			State: coordination.StateLive,
		})
	}
	return c.callJSON(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/instances", listed, nil)
}

// callJSON sends a request with the operator key and decodes the JSON response into target unless it is nil. It encodes
// the body as JSON; a string is sent as it is. A status of 400 or above is an error.
func (c *Cluster) callJSON(ctx context.Context, method, url string, body, target any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if raw, ok := body.(string); ok {
		text = []byte(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, response.StatusCode, answer)
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(answer, target)
}

// SetServerFaults changes the faults of a backend server; faults is a JSON object with some of the fields of
// standin.Faults.
func (c *Cluster) SetServerFaults(ctx context.Context, server, faults string) error {
	return c.callJSON(ctx, http.MethodPost, "http://"+c.addresses.Control+"/control/"+server, faults, nil)
}

// SetStoreFaults replaces the faults of the store; faults is a JSON object of the type Faults of package store.
func (c *Cluster) SetStoreFaults(ctx context.Context, faults string) error {
	return c.callJSON(ctx, http.MethodPut, "http://"+c.addresses.Store+"/control/faults", faults, nil)
}

// Observed returns the counts of requests and connections of the backend servers.
func (c *Cluster) Observed(ctx context.Context) (standin.Report, error) {
	var report standin.Report
	err := c.callJSON(ctx, http.MethodGet, "http://"+c.addresses.Control+"/control", nil, &report)
	return report, err
}

// ResetObserved resets the counts of the backend servers.
func (c *Cluster) ResetObserved(ctx context.Context) error {
	return c.callJSON(ctx, http.MethodPost, "http://"+c.addresses.Control+"/control/reset", nil, nil)
}

// Status returns the status of an entry instance.
func (c *Cluster) Status(ctx context.Context, n int) (httpapi.Status, error) {
	var status httpapi.Status
	err := c.callJSON(ctx, http.MethodGet, "http://"+c.Entries[n].operatorAddress+"/v1/status", nil, &status)
	return status, err
}

// Ready reports whether the readiness endpoint of an entry instance answers that it is ready.
func (c *Cluster) Ready(ctx context.Context, n int) bool {
	return c.callJSON(ctx, http.MethodGet, "http://"+c.Entries[n].operatorAddress+"/readyz", nil, nil) == nil
}

// WaitReady waits, for at most 15 s, until all entry instances are ready and every listed server has an owner that may
// send to it.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		if c.allReadyAndOwned(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("the entry instances did not become ready within 15 s")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// allReadyAndOwned reports whether all entry instances are ready and the slots that they own cover every server. The
// baseline owns no slots, so that only readiness counts there.
func (c *Cluster) allReadyAndOwned(ctx context.Context) bool {
	servers, owned := 0, 0
	for n := range c.Entries {
		if c.Baseline {
			if !c.Ready(ctx, n) {
				return false
			}
			continue
		}
		status, err := c.Status(ctx, n)
		if err != nil || !status.Ready {
			return false
		}
		servers = len(status.Servers)
		for _, server := range status.Servers {
			if server.SlotsShare > 0 {
				owned++
			}
		}
	}
	return c.Baseline || servers > 0 && owned == servers
}
