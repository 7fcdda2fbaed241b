// Package cluster starts the stand-ins and some entry instances as separate processes on loopback, for the demo,
// for tests and for measurements.
//
// A Cluster owns the processes that it started and ends only those, by their ids. The product starts no process;
// only this package does.
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

const (
	peerKey     = "loopback-peer-key-of-the-stand-ins"
	operatorKey = "loopback-operator-key-of-stand-ins"
)

// Addresses is what the process of the stand-ins prints when it is up.
type Addresses struct {
	Store     string `json:"store"`
	Instances string `json:"instances"`
	Control   string `json:"control"`
}

// Options describe a cluster.
type Options struct {
	// Program runs the verbs of cmd/standin; Environment is added to its environment.
	Program     string
	Environment []string
	// Serve runs entry instances in place of Program's verb entry; its arguments are "serve --settings FILE".
	Serve string
	// Baseline runs the plain entry instances of internal/standin/baseline in place of the product's.
	Baseline     bool
	Seed         uint64
	Applications []string
	// Zones holds the zone of each entry instance.
	Zones []string
	// Versions are the index versions published at first.
	Versions []uint64
	// BalancerLag is how long a leaving instance goes on serving.
	BalancerLag time.Duration
	// Deadline replaces the deadlines of the example catalogues. A test that asks for whole answers on a busy machine
	// needs a longer one; zero keeps them.
	Deadline time.Duration
	// Relays puts a link that can be cut on every way between entry instances and to the coordination.
	Relays bool
	// Logs receives what the processes write to standard error.
	Logs io.Writer
}

// Cluster is a set of running processes.
type Cluster struct {
	Options
	Entries []*Entry

	applications map[string]standin.Application
	addresses    Addresses
	stand        *process
	store        *coordination.Store
	editor       *configuration.Editor
	directory    string
	client       *http.Client
	logs         sync.Mutex
	network      *network
}

// Entry is one entry instance.
type Entry struct {
	Name, Zone                string
	callers, operators, peers string
	settings                  string
	process                   *process
}

// Start starts everything and waits until every entry instance is ready. Close must be called in any case.
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
	if err := c.configure(ctx, applications); err != nil {
		return c, err
	}
	for n, zone := range options.Zones {
		entry, err := c.newEntry(n, zone)
		if err != nil {
			return c, err
		}
		c.Entries = append(c.Entries, entry)
	}
	if err := c.list(ctx); err != nil {
		return c, err
	}
	for n := range c.Entries {
		if err := c.StartEntry(n); err != nil {
			return c, err
		}
	}
	return c, c.WaitReady(ctx)
}

func (c *Cluster) startStandIns() error {
	names, err := json.Marshal(c.Options.Applications)
	if err != nil {
		return err
	}
	p, output, err := c.start(c.Program, "all", "--seed", fmt.Sprint(c.Seed), "--applications", string(names))
	if err != nil {
		return err
	}
	c.stand = p
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err != nil {
		return eris.Wrap(err, "the stand-ins did not start")
	}
	return eris.Wrap(json.Unmarshal(line, &c.addresses), "addresses of the stand-ins")
}

func (c *Cluster) configure(ctx context.Context, applications []standin.Application) error {
	if _, err := c.store.CompareAndSwap(ctx, configuration.Key, []byte(standin.Configuration(applications)), 0); err != nil {
		return eris.Wrap(err, "configuration")
	}
	return c.Publish(ctx, c.Versions...)
}

// Publish writes these index versions of all applications to the store.
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

// Edit changes the catalogue as an operator does.
func (c *Cluster) Edit(ctx context.Context, change func(catalogue.Catalogue) catalogue.Catalogue) (uint64, error) {
	accepted, err := c.editor.Apply(ctx, configuration.Edit{
		Apply: func(current catalogue.Catalogue) (catalogue.Catalogue, error) { return change(current), nil },
	})
	return accepted.Revision, err
}

func (c *Cluster) newEntry(n int, zone string) (*Entry, error) {
	e := &Entry{Name: fmt.Sprintf("entry-%d", n+1), Zone: zone}
	addresses := []*string{&e.callers, &e.operators, &e.peers}
	for _, address := range addresses {
		var err error
		if *address, err = reserveAddress(); err != nil {
			return nil, err
		}
	}
	storeAddress, listAddress, err := c.platformOf(n, zone)
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(c.directory, e.Name+".ini")
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
`, e.Name, zone, e.callers, e.operators, e.peers, storeAddress, listAddress, peerKey, operatorKey, c.BalancerLag)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// list adds the entry instances to the instance list, which holds the backend servers already.
func (c *Cluster) list(ctx context.Context) error {
	var listed coordination.InstanceList
	if err := c.call(ctx, http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		return err
	}
	for _, e := range c.Entries {
		listed.Instances = append(listed.Instances, coordination.Instance{
			ID: e.Name, Kind: coordination.KindEntry, Zone: e.Zone, Region: "region-1", Peers: e.peers, Operators: e.operators,
			State: coordination.StateLive,
		})
	}
	return c.call(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/instances", listed, nil)
}

// call sends a JSON request and decodes the answer; a status of 400 or above is an error.
func (c *Cluster) call(ctx context.Context, method, url string, body, into any) error {
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
	if into == nil {
		return nil
	}
	return json.Unmarshal(answer, into)
}

// Fault changes the faults of a backend server.
func (c *Cluster) Fault(ctx context.Context, server, faults string) error {
	return c.call(ctx, http.MethodPost, "http://"+c.addresses.Control+"/control/"+server, faults, nil)
}

// StoreFaults replaces the faults of the store.
func (c *Cluster) StoreFaults(ctx context.Context, faults string) error {
	return c.call(ctx, http.MethodPut, "http://"+c.addresses.Store+"/control/faults", faults, nil)
}

// Observed returns what reached the backend servers.
func (c *Cluster) Observed(ctx context.Context) (standin.Report, error) {
	var report standin.Report
	err := c.call(ctx, http.MethodGet, "http://"+c.addresses.Control+"/control", nil, &report)
	return report, err
}

// ResetObserved sets the counts of the backend servers to zero.
func (c *Cluster) ResetObserved(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "http://"+c.addresses.Control+"/control/reset", nil, nil)
}

// Status returns the status of an entry instance.
func (c *Cluster) Status(ctx context.Context, n int) (httpapi.Status, error) {
	var status httpapi.Status
	err := c.call(ctx, http.MethodGet, "http://"+c.Entries[n].operators+"/v1/status", nil, &status)
	return status, err
}

// Ready tells whether an entry instance says that it is ready.
func (c *Cluster) Ready(ctx context.Context, n int) bool {
	return c.call(ctx, http.MethodGet, "http://"+c.Entries[n].operators+"/readyz", nil, nil) == nil
}

// WaitReady waits until all entry instances are ready and every listed server has an owner that may send.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		if c.settled(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("the entry instances did not become ready within 15 s")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// settled tells whether every instance is ready and the claims of all together cover every server.
func (c *Cluster) settled(ctx context.Context) bool {
	servers, claimed := 0, 0
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
			if server.Slots > 0 {
				claimed++
			}
		}
	}
	return c.Baseline || servers > 0 && claimed == servers
}
