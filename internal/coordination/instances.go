package coordination

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Kinds and states of the instances in the instance list.
const (
	KindEntry         = "entry"
	KindBackendServer = "backend-server"
	StateLive         = "live"
	StateLeaving      = "leaving"
)

// Instance is one item of the instance list, as its protocol encodes it.
type Instance struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the IP:port of a backend server.
	Address string `json:"address,omitempty"`
	// PeerAddress and OperatorAddress are the IP:port addresses of an entry instance for its peers and for operators.
	PeerAddress     string `json:"peers,omitempty"`
	OperatorAddress string `json:"operators,omitempty"`
	// Service is the service that a backend server belongs to.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
}

// InstanceList is the response body of GET /v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instances reads the instance list. It keeps the last list that could be used, with its entity tag.
type Instances struct {
	httpClient
	conditional *conditionalTransport
	entries     []fleet.Entry
	servers     []fleet.Server
}

// NewInstances returns an adapter of the instance list at the base URL.
func NewInstances(baseURL string, options Options) *Instances {
	i := &Instances{httpClient: newHTTPClient(baseURL, options)}
	client := *i.options.Client
	i.conditional = &conditionalTransport{next: client.Transport}
	client.Transport = i.conditional
	i.options.Client = &client
	return i
}

// List returns the listed entry instances and backend servers. The caller must not modify them. One item that cannot be
// used makes the whole list unusable, because a partial list would look like a fleet that has lost instances. List and
// Poll must not be called concurrently.
func (i *Instances) List(ctx context.Context) ([]fleet.Entry, []fleet.Server, error) {
	return i.list(ctx, i.readWithRetry)
}

// Poll is List with a single attempt, for callers that read at intervals. With three attempts, a fleet of daemons would
// make three times the calls during an outage of the list.
func (i *Instances) Poll(ctx context.Context) ([]fleet.Entry, []fleet.Server, error) {
	return i.list(ctx, i.readOnce)
}

// readFunc is the type of readOnce and readWithRetry.
type readFunc func(ctx context.Context, kind, path string, timeout time.Duration, target any) (int, error)

// list reads the list and returns the kept one if the platform reports that it has not changed.
func (i *Instances) list(ctx context.Context, read readFunc) ([]fleet.Entry, []fleet.Server, error) {
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
	i.conditional.acceptLatest()
	i.entries, i.servers = entries, servers
	return entries, servers, nil
}

// Split validates the list and divides it by kind.
func (l InstanceList) Split() ([]fleet.Entry, []fleet.Server, error) {
	var entries []fleet.Entry
	var servers []fleet.Server
	seen := make(map[string]bool)
	for _, instance := range l.Instances {
		if !document.IsName(instance.ID) || !document.IsName(instance.Zone) || seen[instance.Kind+"/"+instance.ID] {
			return nil, nil, badResponse("instance %q in zone %q is not valid or occurs twice", instance.ID, instance.Zone)
		}
		seen[instance.Kind+"/"+instance.ID] = true
		leaving := instance.State == StateLeaving
		if !leaving && instance.State != StateLive {
			return nil, nil, badResponse("instance %q has the unknown state %q", instance.ID, instance.State)
		}
		switch {
		case instance.Kind == KindEntry && isAddress(instance.PeerAddress) && isAddress(instance.OperatorAddress):
			entries = append(entries, fleet.Entry{
				ID: fleet.InstanceID(instance.ID), Zone: fleet.ZoneID(instance.Zone), Region: fleet.RegionID(instance.Region),
				PeerAddress: instance.PeerAddress, OperatorAddress: instance.OperatorAddress, Leaving: leaving,
			})
		case instance.Kind == KindBackendServer && isAddress(instance.Address) && document.IsName(instance.Service):
			servers = append(servers, fleet.Server{
				ID: fleet.ServerID(instance.ID), Service: fleet.ServiceID(instance.Service), Zone: fleet.ZoneID(instance.Zone),
				Region: fleet.RegionID(instance.Region), Address: instance.Address, Leaving: leaving,
			})
		default:
			return nil, nil, badResponse("instance %q of kind %q has no valid address or service", instance.ID, instance.Kind)
		}
	}
	return entries, servers, nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
