package entry

// Connects the configuration to the store, the peers and the components that depend on it.

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/peer"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
)

// checkIndex returns an error for an index document that cannot be parsed, so that it is not adopted.
func checkIndex(document configuration.Document) error {
	_, err := snapshot.ParseIndex(strings.TrimPrefix(document.Key, configuration.IndexKeyPrefix), document.Text)
	return err
}

// highestRevision returns the highest of the revisions. The store numbers the revisions of all keys in one sequence, so
// a peer with a higher one has a newer document.
func highestRevision(revisions configuration.Revisions) uint64 {
	highest := uint64(0)
	for _, revision := range revisions {
		highest = max(highest, revision)
	}
	return highest
}

// reportedRevisionTTL is how long a peer's report that it has nothing newer is valid. Heartbeats renew it in time. A
// peer that exchanges no heartbeats with this instance reports its revision only with a change, and the notification of
// the next change can be lost.
const reportedRevisionTTL = 4 * fleet.HeartbeatInterval

// reportedRevision is the highest revision that a peer has reported, and the time of the report.
type reportedRevision struct {
	revision uint64
	at       time.Time
}

// recordPeerRevision records the highest revision of a peer and causes a fetch from the peer if it is newer than that
// of this instance.
func (i *Instance) recordPeerRevision(from fleet.InstanceID, revision uint64) {
	i.peerRevisions.Store(from, reportedRevision{revision, time.Now()})
	if revision > highestRevision(i.holder.Revisions()) {
		i.distributor.HandlePeerRevisions(from, configuration.Revisions{configuration.CatalogueKey: revision})
	}
}

// Plan implements configuration.Planner. The plan counts on peers that are reachable and not leaving.
func (i *Instance) Plan() configuration.Plan {
	reach := i.members.reachability.Load()
	return configuration.NewPlan(reach.View(), i.members.self, func(entry fleet.Entry) bool {
		return !entry.Leaving && reach.Contact(entry.ID).Reachable
	})
}

// configurationPeers exchanges configuration documents with peers; it implements configuration.Peers.
type configurationPeers struct{ *Instance }

// Notify notifies a peer of the highest revision that this instance has.
func (p configurationPeers) Notify(ctx context.Context, to fleet.InstanceID, revisions configuration.Revisions) error {
	return p.node.ConfigurationChanged(ctx, to, highestRevision(revisions))
}

// Fetch fetches the peer's documents if it has a newer one. A peer that has reported no newer revision within
// reportedRevisionTTL is not asked. In zones of more than 9 entry instances most of the instances that watch the store
// exchange no heartbeats with this one; they are asked with the revision known here and answer without documents while
// they have nothing newer.
func (p configurationPeers) Fetch(ctx context.Context, from fleet.InstanceID, known configuration.Revisions) ([]configuration.Document, error) {
	if last, ok := p.peerRevisions.Load(from); ok {
		if last := last.(reportedRevision); last.revision <= highestRevision(known) && time.Since(last.at) < reportedRevisionTTL {
			return nil, nil
		}
	}
	got, err := p.node.GetConfiguration(ctx, from, highestRevision(known))
	if err != nil || len(got.Document) == 0 {
		return nil, err
	}
	var documents []configuration.Document
	err = json.Unmarshal(got.Document, &documents)
	return documents, err
}

// configurationSource answers peers that request the configuration or notify this instance of a change.
type configurationSource struct{ *Instance }

// Configuration implements peer.ConfigurationSource. The result has no documents if the peer's revision is up to date.
func (s configurationSource) Configuration(_ context.Context, known uint64) (peer.Configuration, error) {
	revision := highestRevision(s.holder.Revisions())
	if revision <= known {
		return peer.Configuration{Revision: revision}, nil
	}
	text, err := json.Marshal(s.holder.Newer(nil))
	return peer.Configuration{Revision: revision, Document: text}, err
}

// ConfigurationChanged implements peer.ConfigurationSource.
func (s configurationSource) ConfigurationChanged(_ context.Context, from fleet.InstanceID, revision uint64) {
	s.recordPeerRevision(from, revision)
}

// watchConfiguration applies each adopted configuration until ctx ends.
func (i *Instance) watchConfiguration(ctx context.Context) {
	for {
		changed := i.holder.Changed()
		if view := i.holder.Current(); view != nil {
			i.burn.Update(view.Catalogue)
			i.outOfService.update(view)
			i.members.adoptCatalogue(view.Catalogue)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// indexCache keeps the parsed indexes, so that a change of the fleet does not parse them again. It is not safe for
// concurrent use.
type indexCache struct {
	parsed    map[catalogue.ApplicationID]*snapshot.Index
	revisions map[catalogue.ApplicationID]uint64
}

func newIndexCache() *indexCache {
	return &indexCache{
		parsed: make(map[catalogue.ApplicationID]*snapshot.Index), revisions: make(map[catalogue.ApplicationID]uint64),
	}
}

// parsedIndexes returns the parsed indexes of the view in a new map. An index that cannot be parsed is logged and left
// out.
func (x *indexCache) parsedIndexes(view *configuration.View) map[catalogue.ApplicationID]*snapshot.Index {
	all := make(map[catalogue.ApplicationID]*snapshot.Index, len(view.Indexes))
	for application, document := range view.Indexes {
		if x.revisions[application] != document.Revision {
			index, err := snapshot.ParseIndex(string(application), document.Text)
			if err != nil {
				klog.ErrorS(err, "Index document could not be parsed", "application", application)
				continue
			}
			x.parsed[application], x.revisions[application] = index, document.Revision
		}
		all[application] = x.parsed[application]
	}
	return all
}
