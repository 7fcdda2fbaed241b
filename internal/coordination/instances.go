package coordination

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Kinds and states of the instance list.
const (
	KindEntry         = "entry"
	KindBackendServer = "backend-server"
	StateLive         = "live"
	StateLeaving      = "leaving"
)

// Instance is one line of the instance list as its protocol has it.
type Instance struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is IP:port of a backend server.
	Address string `json:"address,omitempty"`
	// Peers and Operators are IP:port of an entry instance.
	Peers     string `json:"peers,omitempty"`
	Operators string `json:"operators,omitempty"`
	// Service is the service of a backend server.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
}

// InstanceList is the answer of GET /v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instances is the adapter of the instance list. It keeps the last list with its entity tag.
type Instances struct {
	caller
	tagged  *tagged
	entries []fleet.Entry
	servers []fleet.Server
}

// NewInstances returns an adapter of the instance list at the base URL.
func NewInstances(base string, options Options) *Instances {
	i := &Instances{caller: newCaller(base, options)}
	client := *i.options.Client
	i.tagged = &tagged{next: client.Transport}
	client.Transport = i.tagged
	i.options.Client = &client
	return i
}

// List returns the listed entry instances and backend servers, which the caller does not change. Any line that
// cannot be used makes the whole list unusable: half a list would look like a fleet that lost instances. One
// goroutine at a time calls it or Poll.
func (i *Instances) List(ctx context.Context) ([]fleet.Entry, []fleet.Server, error) {
	return i.list(ctx, i.read)
}

// Poll is List with a single attempt, for callers that read at intervals: with three, a fleet of daemons would
// make three times the calls during an outage of the list.
func (i *Instances) Poll(ctx context.Context) ([]fleet.Entry, []fleet.Server, error) {
	return i.list(ctx, i.once)
}

type reader func(ctx context.Context, kind, path string, timeout time.Duration, into any) (int, error)

func (i *Instances) list(ctx context.Context, read reader) ([]fleet.Entry, []fleet.Server, error) {
	var list InstanceList
	status, err := read(ctx, "instances", "/v1/instances", i.options.Timeout, &list)
	if err != nil {
		return nil, nil, err
	}
	if status == http.StatusNotModified {
		return i.entries, i.servers, nil
	}
	entries, servers, err := list.Split()
	if err != nil {
		return nil, nil, err
	}
	i.tagged.accept()
	i.entries, i.servers = entries, servers
	return entries, servers, nil
}

// Split checks the list and divides it by kind.
func (l InstanceList) Split() ([]fleet.Entry, []fleet.Server, error) {
	var entries []fleet.Entry
	var servers []fleet.Server
	seen := make(map[string]bool)
	for _, line := range l.Instances {
		if !document.IsName(line.ID) || !document.IsName(line.Zone) || seen[line.Kind+"/"+line.ID] {
			return nil, nil, badReply("instance %q in zone %q is not valid or occurs twice", line.ID, line.Zone)
		}
		seen[line.Kind+"/"+line.ID] = true
		leaving := line.State == StateLeaving
		if !leaving && line.State != StateLive {
			return nil, nil, badReply("instance %q has the unknown state %q", line.ID, line.State)
		}
		switch {
		case line.Kind == KindEntry && isAddress(line.Peers) && isAddress(line.Operators):
			entries = append(entries, fleet.Entry{
				ID: fleet.InstanceID(line.ID), Zone: fleet.ZoneID(line.Zone), Region: fleet.RegionID(line.Region),
				Peers: line.Peers, Operators: line.Operators, Leaving: leaving,
			})
		case line.Kind == KindBackendServer && isAddress(line.Address) && document.IsName(line.Service):
			servers = append(servers, fleet.Server{
				ID: fleet.ServerID(line.ID), Service: fleet.ServiceID(line.Service), Zone: fleet.ZoneID(line.Zone),
				Region: fleet.RegionID(line.Region), Address: line.Address, Leaving: leaving,
			})
		default:
			return nil, nil, badReply("instance %q of kind %q has no valid address or service", line.ID, line.Kind)
		}
	}
	return entries, servers, nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
