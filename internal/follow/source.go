package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// readerRole is the role of the instance that polls the store for its zone.
const readerRole = "reader"

// remoteReader returns the peer that this instance polls; false if it polls the store itself.
func (f *Follower) remoteReader(now time.Time) (directory.Instance, bool) {
	if !f.synced && f.position().Revision == 0 {
		return directory.Instance{}, false
	}
	found, ok := directory.SelectInstance(readerRole, f.Self.Zone, f.registeredInstances(), func(id fleet.InstanceID) bool { return now.Before(f.skipUntil[id]) })
	return found, ok && found.ID != f.Self.ID
}

func (f *Follower) registeredInstances() []directory.Instance {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.state.RegisteredInstances()
}

// pollPeer fetches an update from a peer and applies it. It fails if the peer does not answer, has had no contact with
// the store for so long that this instance may do better, or is behind this instance; the peer is then skipped for a
// while.
func (f *Follower) pollPeer(ctx context.Context, peer directory.Instance) bool {
	wait := f.peerWait(peer.ID, time.Now())
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	after := f.position()
	update, asOf, err := f.fetch(callCtx, peer, after, wait)
	f.peerStoreContact[peer.ID] = time.Now().Add(-update.Age)
	if err != nil || update.Age > f.maxPeerAge() || f.isOld(asOf) || !update.appliesTo(after) {
		if ctx.Err() == nil {
			klog.InfoS("Peer skipped", "instance", peer.ID, "age", update.Age, "revision", update.Position.Revision, "era", update.Position.Era,
				"own", after.Revision, "own-era", after.Era, "without-customers", update.Unmarked, "err", err)
			f.skipUntil[peer.ID] = time.Now().Add(peerRetryInterval)
		}
		f.listIfTooLarge(err)
		return false
	}
	f.applyUpdate(update)
	f.confirm(asOf)
	return true
}

// listIfTooLarge makes the next call to the store a list if a peer's update since the present position was too large.
func (f *Follower) listIfTooLarge(err error) {
	if errors.Is(err, ErrAnswerTooLarge) {
		f.synced = false
	}
}

// peerWait returns how long a peer may wait for a change before it answers. The wait ends when the peer's last contact
// with the store becomes too old, so that a reader that has lost the store delays no change beyond its bound.
func (f *Follower) peerWait(peer fleet.InstanceID, now time.Time) time.Duration {
	return min(f.PollInterval, max(minPeerWait, f.peerStoreContact[peer].Add(f.maxPeerAge()).Sub(now)))
}

// maxPeerAge returns how long ago a peer's last contact with the store may be: the peer's pause between two calls, plus
// its longest wait for changes, plus peerAgeMargin.
func (f *Follower) maxPeerAge() time.Duration { return f.PollInterval + maxWait + peerAgeMargin }

// appliesTo reports whether an instance at the position may apply the update: it sets the instance back neither in the
// store's history nor in its era, changes continue the same history, and no configuration in it lacks its customers.
func (u *Update) appliesTo(known Position) bool {
	return !u.Unmarked && !u.Position.Before(known) && (u.Full || u.Position.Era == known.Era)
}

// applyUpdate applies the update of a peer.
func (f *Follower) applyUpdate(update Update) {
	if update.Unusable {
		f.setUnusable(true)
	} else {
		f.observeUsable(update.Changes)
	}
	f.apply(update.Changes, update.Full, update.Position, update.Age)
	// The position is now the peer's, after which changes can be requested from the store as well.
	f.synced = true
}

// pollAnyPeer fetches an update from a peer of any zone, because the store does not answer this instance. It helps if
// the store still answers other instances and this one can reach them, also right after its start. It reports whether the
// peer answered.
func (f *Follower) pollAnyPeer(ctx context.Context) bool {
	now := time.Now()
	others := f.availablePeers(now)
	if len(others) == 0 {
		return false
	}
	peer := others[f.Random.IntN(len(others))]
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, asOf, err := f.fetch(callCtx, peer, f.position(), 0)
	if err != nil || update.Position.Revision == 0 { // the peer has no state itself
		f.skipUntil[peer.ID] = now.Add(peerRetryInterval)
		f.listIfTooLarge(err)
		return false
	}
	// A peer that cannot tell how old its knowledge is may have passed over a configuration that it cannot use.
	if update.appliesTo(f.position()) && (update.Known || f.MaxAge == 0) {
		f.applyUpdate(update) // even without changes it carries the time of the last contact with the store
		f.confirm(asOf)
	}
	return true
}

// seedInstances returns the seeds as instances, with their addresses as IDs.
func (f *Follower) seedInstances() []directory.Instance {
	var seeds []directory.Instance
	for _, address := range f.Seeds {
		if address != f.Self.PeerAddress {
			seeds = append(seeds, directory.Instance{ID: fleet.InstanceID(address), PeerAddress: address})
		}
	}
	return seeds
}

// availablePeers returns the peers that can be asked now. While no instance is known, these are the seeds, with their
// addresses as IDs.
func (f *Follower) availablePeers(now time.Time) []directory.Instance {
	known := f.registeredInstances()
	if len(known) == 0 {
		known = f.seedInstances()
	}
	return slices.DeleteFunc(known, func(instance directory.Instance) bool {
		return instance.ID == f.Self.ID || instance.PeerAddress == "" || instance.PeerAddress == f.Self.PeerAddress || now.Before(f.skipUntil[instance.ID])
	})
}
