// Package entry assembles an entry instance from its components, and starts and stops them in order.
//
// An Instance owns the state that its components share: the membership with the ownership table, and the indexes that
// the query engine uses. It makes no decisions about queries itself; these are made by the packages that it connects,
// such as admission, query, replica and ticket.
package entry

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/admission"
	"github.com/medlarlatch/medlarlatch/internal/backend"
	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/peer"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/settings"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/internal/telemetry"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
)

const (
	// listPollInterval is the time between two reads of the instance list. It leaves a margin below the requirement
	// that a server gets no new work 3 s after the list reports it as leaving.
	listPollInterval = time.Second
	// heartbeatTimeout bounds one heartbeat. It is shorter than fleet.FenceTimeout by more than a heartbeat interval,
	// so that one peer that does not answer cannot delay the rounds until this instance may no longer send to its
	// servers.
	heartbeatTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in progress at a shutdown. It is longer than the longest deadline
	// that the catalogue allows.
	shutdownTimeout = 30 * time.Second
)

// Instance is one entry instance. It is created by New and serves while its method Run is running.
type Instance struct {
	settings     settings.Settings
	started      time.Time
	telemetry    *telemetry.Telemetry
	members      *members
	holder       *configuration.Holder
	distributor  *configuration.Distributor
	store        *coordination.Store
	list         *coordination.Instances
	transport    *backend.Transport
	owner        *replica.Owner
	node         *peer.Node
	engine       *query.Engine
	holdings     *snapshot.Holdings
	admission    *admission.Group
	runner       *ticket.Runner
	tickets      *ticket.Router
	partsRunner  *partsRunner
	burn         *burn.Recorder
	outOfService outOfServiceTimes
	// indexes are the parsed indexes that the query engine currently uses; nil before the first configuration.
	indexes atomic.Pointer[map[catalogue.ApplicationID]*snapshot.Index]

	listLoaded atomic.Bool // the instance list has been read at least once
	leaving    atomic.Bool
	// peerRevisions maps each peer's fleet.InstanceID to the reportedRevision that it last sent.
	peerRevisions sync.Map
}

// Run runs an entry instance until ctx ends and then shuts it down gracefully: requests in progress are completed, for
// at most shutdownTimeout.
func Run(ctx context.Context, s settings.Settings) error {
	i, err := New(s)
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// New builds the components. It starts nothing and opens no socket.
func New(s settings.Settings) (*Instance, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	i := &Instance{settings: s, started: time.Now(), holdings: snapshot.NewHoldings(), burn: burn.New(string(s.Instance), string(s.Zone))}
	var err error
	if i.telemetry, err = telemetry.New(string(s.Instance), string(s.Zone)); err != nil {
		return nil, err
	}
	i.holder = configuration.NewHolder(checkIndex)
	self := fleet.Entry{ID: s.Instance, Zone: s.Zone, Region: s.Region, PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress}
	i.members = newMembers(self)
	i.transport = backend.New(backend.Options{Connections: i.connectionLimit})
	i.owner = replica.New(replica.Dependencies{
		Self: s.Instance, Transport: i.transport, Server: i.members.server, Catalogue: i.catalogue,
		Claim: func(id fleet.ServerID) (int, int, bool) { return i.members.table.Load().Claim(id) },
		Fresh: func() bool { return i.members.reachability.Load().Fresh(time.Now()) },
		// Not derived from the seed: the prefix of request ids must differ between two starts with the same seed.
		Random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		Go:     newWorkerPool().run,
	})
	if err := i.connectPeers(); err != nil {
		return nil, err
	}
	i.engine = query.New(s.Zone, sender{i}, i.members, i.holdings, s.Seed)
	i.admission = admission.NewGroup(admission.DefaultLimits())
	i.tickets = ticket.NewRouter(i.runner, i.node, i.executeTicket)
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
	i.store = coordination.NewStore(s.StoreURL, coordination.Options{Timeout: s.PlatformTimeout, Random: random(1)})
	i.list = coordination.NewInstances(s.InstanceListURL, coordination.Options{Timeout: s.PlatformTimeout, Random: random(2)})
	i.distributor = configuration.NewDistributor(i.holder, i.store, configurationPeers{i}, i, random(3))
	return i, i.publishMetrics()
}

// connectPeers creates the ticket runner and the peer node, which announces the runner's incarnation to peers.
func (i *Instance) connectPeers() error {
	var err error
	i.runner, err = ticket.New(ticket.Settings{Instance: i.settings.Instance, Key: []byte(i.settings.PeerKey)}, cryptorand.Reader)
	if err != nil {
		return eris.Wrap(err, "create ticket runner")
	}
	tlsConfig, err := loadTLS(i.settings)
	if err != nil {
		return err
	}
	i.partsRunner = &partsRunner{instance: i}
	i.node, err = peer.New(peer.Settings{
		Instance: i.settings.Instance, Incarnation: i.runner.Incarnation(), Zone: i.settings.Zone,
		Key: []byte(i.settings.PeerKey), TLS: tlsConfig, Limits: peer.Limits{SilenceTimeout: heartbeatTimeout},
	}, peer.Handlers{
		Parts: i.partsRunner, Heartbeats: heartbeatHandler{i}, Tickets: ticketRunner{i},
		Configuration: configurationSource{i}, Handover: handoverHandler{i},
	}, i.members.address, &net.Dialer{}, cryptorand.Reader)
	return eris.Wrap(err, "create peer node")
}

// Run starts all components and serves until ctx ends or a listener fails, then stops them.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	// The components outlive ctx: a leaving instance continues to serve for settings.BalancerDelay.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	failed := make(chan error, 3)
	callers := httpapi.NewLimitedServerFrom(httpapi.NewCallerServer(service{i}, i.telemetry))
	operators := httpapi.NewOperatorServer(reporter{i}, i.telemetry.Handler(), []byte(i.settings.OperatorKey))
	group.Go(func() { failed <- ignoreClosed(operators.Serve(listeners.operators)) })
	group.Go(func() { failed <- ignoreClosed(i.node.Serve(listeners.peers)) })
	group.Go(func() { tuneGC(workCtx) })
	group.Go(func() { i.pollInstanceList(workCtx) })
	group.Go(func() { i.runHeartbeats(workCtx) })
	group.Go(func() { i.watchConfiguration(workCtx) })
	group.Go(func() { i.applyChanges(workCtx) })
	group.Go(func() { i.pollServerStates(workCtx) })
	group.Go(func() { i.distributor.Run(workCtx) })
	group.Go(func() { failed <- ignoreClosed(callers.Serve(listeners.callers)) })
	klog.InfoS("Entry instance started", "instance", i.settings.Instance, "zone", i.settings.Zone, "callers", i.settings.CallerAddress)
	select {
	case <-ctx.Done():
		err = i.leave(callers)
	case err = <-failed:
	}
	stop()
	_ = callers.Close()
	i.node.Close()
	i.transport.Close()
	_ = operators.Close()
	group.Wait()
	klog.InfoS("Entry instance stopped", "instance", i.settings.Instance)
	return err
}

// leave shuts the instance down gracefully. It reports not ready, announces to the peers that this instance leaves, so
// that they take over its servers, continues to serve for settings.BalancerDelay, and then waits for the requests in
// progress of callers and peers.
func (i *Instance) leave(callers *httpapi.LimitedServer) error {
	klog.InfoS("Entry instance shutting down", "instance", i.settings.Instance, "balancer-lag", i.settings.BalancerDelay)
	i.leaving.Store(true)
	i.members.applyEvent(func(m *fleet.Membership, now time.Time) fleet.Change { return m.Leave(now) })
	i.heartbeatRound(context.Background())
	time.Sleep(i.settings.BalancerDelay)
	boundedCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := callers.Shutdown(boundedCtx)
	return eris.Wrap(firstError(err, i.partsRunner.waitIdle(boundedCtx)), "wait for requests in progress at shutdown")
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// catalogue returns the current catalogue. It is empty until a configuration has been adopted.
func (i *Instance) catalogue() catalogue.Catalogue {
	if view := i.holder.Current(); view != nil {
		return view.Catalogue
	}
	return catalogue.Catalogue{}
}
