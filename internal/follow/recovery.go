package follow

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// DeparturesMethod is the method by which an instance that has just started learns which replicas are draining or
// removed.
const DeparturesMethod = "departures"

// errNoState is returned for a peer that has read nothing of the store yet.
var errNoState = errors.New("the peer has no state")

// maxPeerRecoveries is the largest number of peers that are asked after a start for what the list of the store lacks.
const maxPeerRecoveries = 3

// recoverFromPeer asks peers, until one has answered, for what the list of the store may lack or get wrong: entries that
// a store restored from a copy has lost, and entries of departed replicas that were written late.
func (f *Follower) recoverFromPeer(ctx context.Context) {
	for _, peer := range f.recoveryPeers() {
		if f.peerRecoveries >= maxPeerRecoveries {
			return
		}
		f.peerRecoveries++
		err := f.recoverFrom(ctx, peer)
		if err == nil {
			f.peerRecoveries = maxPeerRecoveries
			return
		}
		klog.InfoS("Fetching the state of a peer failed", "instance", peer.ID, "try", f.peerRecoveries, "err", err)
	}
}

// recoveryPeers returns the peers that can be asked, in random order, those of this zone first. While no other instance
// is registered, these are the seeds.
func (f *Follower) recoveryPeers() []directory.Instance {
	candidates := f.registeredInstances()
	candidates = slices.DeleteFunc(candidates, func(i directory.Instance) bool { return i.ID == f.Self.ID || i.PeerAddress == "" })
	if len(candidates) == 0 {
		candidates = f.seedInstances()
	}
	f.Random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	slices.SortStableFunc(candidates, func(a, b directory.Instance) int {
		return cmp.Compare(f.distance(a.Zone), f.distance(b.Zone))
	})
	return candidates
}

// distance returns 0 for the zone of this instance and 1 for others.
func (f *Follower) distance(zone fleet.ZoneID) int {
	if zone == f.Self.Zone {
		return 0
	}
	return 1
}

// recoverFrom fetches the state of a peer, and the departures that it knows, and applies them.
func (f *Follower) recoverFrom(ctx context.Context, peer directory.Instance) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := f.Peers.FetchUpdate(callCtx, peer.PeerAddress, Position{}, 0)
	if err != nil {
		return err
	}
	if update.Position.Revision == 0 {
		return errNoState
	}
	departures, err := f.Peers.FetchDepartures(callCtx, peer.PeerAddress)
	if err != nil {
		return err
	}
	f.supplement(update)
	f.applyDepartures(departures)
	return nil
}

// supplement adds what the state of a peer has and the list of the store lacks, and publishes the view if it changed.
func (f *Follower) supplement(update Update) {
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	former := update.Position.Era < j.position.Era
	added := j.state.Supplement(update.Changes, former, time.Now())
	klog.InfoS("State of a peer compared", "changes", len(update.Changes), "added", len(added), "era", update.Position.Era, "own-era", j.position.Era)
	if len(added) > 0 {
		j.discardEntries() // the entries that peers were sent no longer lead to the present state
		f.publishView()
	}
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
