package follow

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

// DeparturesMethod is the method by which an instance that has just started learns which replicas are draining or
// removed.
const DeparturesMethod = "departures"

// maxDepartureFetches is the largest number of times that departures are requested after a start; one is made after
// each full list of the store until a peer has answered.
const maxDepartureFetches = 3

// fetchDepartures asks a peer of this zone, or of another zone if there is none, which replicas are draining or
// removed: the list of the store may contain an entry that was written late.
func (f *Follower) fetchDepartures(ctx context.Context) {
	if f.departureFetches >= maxDepartureFetches {
		return
	}
	f.departureFetches++
	var candidates, otherZones []directory.Instance
	for _, instance := range f.registeredInstances() {
		switch {
		case instance.ID == f.Self.ID || instance.PeerAddress == "":
		case instance.Zone == f.Self.Zone:
			candidates = append(candidates, instance)
		default:
			otherZones = append(otherZones, instance)
		}
	}
	if len(candidates) == 0 {
		candidates = otherZones
	}
	if len(candidates) == 0 {
		return
	}
	peer := candidates[f.Random.IntN(len(candidates))]
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	departures, err := f.Peers.FetchDepartures(callCtx, peer.PeerAddress)
	if err != nil {
		klog.InfoS("Fetching departures failed", "instance", peer.ID, "try", f.departureFetches, "err", err)
		return
	}
	f.departureFetches = maxDepartureFetches
	f.applyDepartures(departures)
}

// applyDepartures applies the departures that a peer knows and publishes the view if it changed.
func (f *Follower) applyDepartures(departures []directory.Departure) {
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	changed := j.state.ApplyDepartures(departures, time.Now())
	klog.InfoS("Departures applied", "replicas", len(departures), "altered", changed)
	if changed {
		j.discardEntries() // the entries that peers were sent no longer lead to the present state
		f.publishView()
	}
}

// Departures returns the replicas that this instance knows to be draining or removed. It is safe for concurrent use.
func (f *Follower) Departures() []directory.Departure {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.state.Departures()
}

// AnswerDepartures handles a call of DeparturesMethod. It is a peerrpc.Handler.
func (f *Follower) AnswerDepartures(context.Context, json.RawMessage) (any, error) {
	return f.Departures(), nil
}

// FetchDepartures implements Peers.
func (c *Client) FetchDepartures(ctx context.Context, address string) ([]directory.Departure, error) {
	var departures []directory.Departure
	err := c.rpcClient.Call(ctx, address, DeparturesMethod, struct{}{}, &departures)
	return departures, err
}
