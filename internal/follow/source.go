package follow

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// readerDuty names the instance of a zone that reads the store for the others.
const readerDuty = "reader"

// reader returns the peer that this instance asks; false if it reads the store itself.
func (f *Follower) reader(now time.Time) (directory.Instance, bool) {
	if !f.listed && f.revision() == 0 {
		return directory.Instance{}, false
	}
	found, ok := directory.First(readerDuty, f.Self.Zone, f.present(), func(id fleet.InstanceID) bool { return now.Before(f.passed[id]) })
	return found, ok && found.ID != f.Self.ID
}

func (f *Follower) present() []directory.Instance {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.state.Present()
}

// ask takes the news of a peer. It fails if the peer does not answer, has not heard the store for so long that this
// instance may do better, or is behind this instance; then the peer is passed over for a while.
func (f *Follower) ask(ctx context.Context, peer directory.Instance) bool {
	wait := f.patience(peer.ID, time.Now())
	bounded, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	after := f.revision()
	news, err := f.Peers.News(bounded, peer.Peers, after, wait)
	f.peerHeard[peer.ID] = time.Now().Add(-news.Age)
	if err != nil || news.Age > f.freshFor() || news.Revision < after {
		if ctx.Err() == nil {
			klog.InfoS("Peer passed over", "instance", peer.ID, "age", news.Age, "revision", news.Revision, "own", after, "err", err)
			f.passed[peer.ID] = time.Now().Add(peerPause)
		}
		return false
	}
	f.learn(news)
	return true
}

// patience is how long a peer may wait for something new: not beyond the moment at which its news are too old, so that a
// reader that has lost the store delays no change beyond its bound.
func (f *Follower) patience(peer fleet.InstanceID, now time.Time) time.Duration {
	return min(f.Pause, max(leastPatience, f.peerHeard[peer].Add(f.freshFor()).Sub(now)))
}

// freshFor is how old a peer's news may be: its pause between two calls, and the longest call for changes with some time
// for its answer.
func (f *Follower) freshFor() time.Duration { return f.Pause + longestWait + freshMargin }

func (f *Follower) learn(news News) {
	f.take(news.Changes, news.Whole, news.Revision, news.Age)
	// The position is now the peer's, from which the store can be asked as well.
	f.listed = true
}

// askAnyone asks a peer of any zone for what it has, because the store does not answer this instance. It answers a store
// that serves other machines, and a machine that is cut off from the store only, also one that has just started.
func (f *Follower) askAnyone(ctx context.Context) {
	now := time.Now()
	others := f.others(now)
	if len(others) == 0 {
		return
	}
	peer := others[f.Random.IntN(len(others))]
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	news, err := f.Peers.News(bounded, peer.Peers, f.revision(), 0)
	if err != nil || news.Revision == 0 { // it knows nothing itself
		f.passed[peer.ID] = now.Add(peerPause)
		return
	}
	if news.Revision >= f.revision() {
		f.learn(news) // without a change it still says that the store is there
	}
}

// others returns the peers that can be asked now; while none is known, the seeds under their addresses.
func (f *Follower) others(now time.Time) []directory.Instance {
	known := f.present()
	if len(known) == 0 {
		for _, address := range f.Seeds {
			known = append(known, directory.Instance{ID: fleet.InstanceID(address), Peers: address})
		}
	}
	return slices.DeleteFunc(known, func(instance directory.Instance) bool {
		return instance.ID == f.Self.ID || instance.Peers == "" || instance.Peers == f.Self.Peers || now.Before(f.passed[instance.ID])
	})
}
