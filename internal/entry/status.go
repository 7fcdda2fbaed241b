package entry

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// stateElsewhere is the state that the status shows for a server that another instance owns.
const stateElsewhere = "elsewhere"

// reporter provides the readiness, status and burn report of the instance; it implements httpapi.Reporter.
type reporter struct{ *Instance }

// Ready implements httpapi.Reporter. If the instance is not ready, the reason says why.
func (r reporter) Ready() (bool, verdict.Reason) {
	current := r.catalogue()
	switch {
	case r.leaving.Load():
		return false, verdict.Leaving
	case !r.distributor.Ready() || !r.listLoaded.Load():
		return false, verdict.NotReady
	case current.ZoneOutOfService(r.settings.Zone):
		return false, verdict.ZoneOut
	case current.InstanceOutOfService(r.settings.Instance):
		return false, verdict.InstanceOut
	}
	return true, verdict.None
}

// Status implements httpapi.Reporter.
func (r reporter) Status() httpapi.Status {
	ready, reason := r.Ready()
	state := r.admission.State()
	counters, sent := r.engine.Counters(), r.transport.Stats()
	status := httpapi.Status{
		Instance: string(r.settings.Instance), Zone: string(r.settings.Zone), Region: string(r.settings.Region),
		Incarnation: r.runner.Incarnation().String(), Started: r.started, Ready: ready, Reason: reason,
		Indexes:   make(map[string][]uint64),
		Admission: httpapi.AdmissionStatus{Limit: state.Limit, InFlight: state.InFlight},
		Refusals:  r.telemetry.Refusals(),
		Load: httpapi.LoadStatus{
			Queries: counters.Queries.Load(), FirstAttempts: counters.FirstAttempts.Load(), Hedges: counters.Hedges.Load(),
			Retries: counters.Retries.Load(), SilentConnections: sent.Silent,
		},
	}
	if view := r.holder.Current(); view != nil {
		status.Configuration = httpapi.ConfigurationStatus{
			Revision: view.Revision, Since: view.Since, Origin: view.Source.Origin.String(), StoreAlive: r.distributor.StoreAlive(),
			WriteID: view.WriteID(), Peer: string(view.Source.Peer),
		}
	}
	if indexes := r.indexes.Load(); indexes != nil {
		for application, index := range *indexes {
			for _, version := range index.Versions() {
				status.Indexes[string(application)] = append(status.Indexes[string(application)], uint64(version.Version))
			}
		}
	}
	r.addPeersAndServers(&status)
	return status
}

// addPeersAndServers adds the peers and servers that this instance knows to the status. Slots, connections and the
// state of replicas are known only for the servers that this instance has claimed.
func (r reporter) addPeersAndServers(status *httpapi.Status) {
	reach, table := r.members.reachability.Load(), r.members.table.Load()
	current := r.catalogue()
	for _, entry := range reach.View().Entries() {
		if entry.ID == r.settings.Instance {
			continue
		}
		status.Peers = append(status.Peers, httpapi.PeerStatus{
			Instance: string(entry.ID), Zone: string(entry.Zone), Reachable: reach.Contact(entry.ID).Reachable,
			Leaving: entry.Leaving, OutOfService: current.ZoneOutOfService(entry.Zone) || current.InstanceOutOfService(entry.ID),
		})
	}
	own := make(map[fleet.ServerID]replica.Status)
	for _, server := range r.owner.Statuses() {
		own[server.Server] = server
	}
	for _, server := range reach.View().Servers() {
		owner, _ := table.Owner(server.ID)
		serverStatus := httpapi.ServerStatus{
			Server: string(server.ID), Service: string(server.Service), Zone: string(server.Zone), Owner: string(owner),
			State: stateElsewhere,
		}
		if slots, connections, ok := table.Claim(server.ID); ok {
			known := own[server.ID]
			serverStatus.SlotsShare, serverStatus.ConnectionsShare = slots, connections
			serverStatus.State, serverStatus.Reason, serverStatus.Since = known.State.String(), known.Reason, known.Since
			serverStatus.InFlight, serverStatus.Queued, serverStatus.Ramp = known.InUse, known.Queued, known.Ramp
			serverStatus.ConnectionsOpen, _ = r.transport.Connections(server.ID)
		}
		switch {
		case current.ZoneOutOfService(server.Zone):
			serverStatus.State, serverStatus.Reason, serverStatus.Since = "out", verdict.ZoneOut, r.outOfService.zoneSince(server.Zone)
		case current.InstanceOutOfService(fleet.InstanceID(server.ID)):
			serverStatus.State, serverStatus.Reason, serverStatus.Since = "out", verdict.InstanceOut, r.outOfService.instanceSince(fleet.InstanceID(server.ID))
		case server.Leaving && serverStatus.State != replica.Leaving.String():
			// Only the instance list reports it as leaving, and the list does not say since when.
			serverStatus.Since = time.Time{}
			serverStatus.State, serverStatus.Reason = replica.Leaving.String(), verdict.Leaving
		}
		status.Servers = append(status.Servers, serverStatus)
	}
}

// publishMetrics registers metrics for the values that other packages keep.
func (i *Instance) publishMetrics() error {
	counters := i.engine.Counters()
	values := map[string]func() int64{
		"medlarlatch.parts.first":        counters.FirstAttempts.Load,
		"medlarlatch.parts.hedge":        counters.Hedges.Load,
		"medlarlatch.parts.retry":        counters.Retries.Load,
		"medlarlatch.connections.opened": func() int64 { return i.transport.Stats().Opened },
		"medlarlatch.connections.silent": func() int64 { return i.transport.Stats().Silent },
		"medlarlatch.answers.bad":        func() int64 { return i.transport.Stats().BadAnswers },
		"medlarlatch.documents.rejected": func() int64 { return int64(i.holder.RejectedCount()) },
	}
	for name, value := range values {
		if err := i.telemetry.RegisterCounter(name, "See docs/operators/status.md.", value); err != nil {
			return err
		}
	}
	gauges := map[string]func() float64{
		"medlarlatch.connections.open":       func() float64 { return float64(i.transport.Stats().Open) },
		"medlarlatch.queries.in_progress":    func() float64 { return float64(i.admission.State().InFlight) },
		"medlarlatch.configuration.revision": func() float64 { return float64(highestRevision(i.holder.Revisions())) },
	}
	for name, value := range gauges {
		if err := i.telemetry.RegisterGauge(name, "", "See docs/operators/status.md.", value); err != nil {
			return err
		}
	}
	return i.telemetry.RegisterGauge("medlarlatch.configuration.age", "s", "See docs/operators/status.md.", func() float64 {
		if view := i.holder.Current(); view != nil {
			return time.Since(view.Since).Seconds()
		}
		return -1
	})
}
