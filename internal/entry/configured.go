package entry

// Connects the configuration to the store, the peers and the parts that depend on it.

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

// checkIndex refuses an index document that the engine could not use.
func checkIndex(document configuration.Document) error {
	_, err := snapshot.ParseIndex(strings.TrimPrefix(document.Key, configuration.IndexPrefix), document.Text)
	return err
}

// latest returns the highest of the store's revisions, which are global: a peer with a higher one has something
// newer.
func latest(revisions configuration.Revisions) uint64 {
	highest := uint64(0)
	for _, revision := range revisions {
		highest = max(highest, revision)
	}
	return highest
}

// saidFor is how long a peer's word that it has nothing newer counts. Heartbeats repeat it in time. A peer that
// exchanges none says it only with a change, and the notification of the next change can be lost.
const saidFor = 4 * fleet.HeartbeatInterval

// said is the highest revision that a peer said it has, and when.
type said struct {
	revision uint64
	at       time.Time
}

// heardRevision notes what a peer has and fetches it if it is newer.
func (i *Instance) heardRevision(from fleet.InstanceID, revision uint64) {
	i.peerRevisions.Store(from, said{revision, time.Now()})
	if revision > latest(i.holder.Revisions()) {
		i.spreader.Heard(from, configuration.Revisions{configuration.Key: revision})
	}
}

// Plan implements configuration.Guide.
func (i *Instance) Plan() configuration.Plan {
	reach := i.members.reach.Load()
	return configuration.NewPlan(reach.View(), i.members.self, func(entry fleet.Entry) bool {
		return !entry.Leaving && reach.Contact(entry.ID).Reachable
	})
}

// configurationPeers implements configuration.Peers.
type configurationPeers struct{ *Instance }

// Tell tells a peer the highest revision that this instance has.
func (p configurationPeers) Tell(ctx context.Context, to fleet.InstanceID, revisions configuration.Revisions) error {
	return p.node.ConfigurationChanged(ctx, to, latest(revisions))
}

// Ask fetches the peer's documents if it has a newer one. A peer whose last heartbeat had nothing newer is not
// asked. In zones of more than 9 entry instances most watchers exchange no heartbeats with this one; they are asked
// with the revision known here and answer without documents while they have nothing newer.
func (p configurationPeers) Ask(ctx context.Context, from fleet.InstanceID, known configuration.Revisions) ([]configuration.Document, error) {
	if last, ok := p.peerRevisions.Load(from); ok {
		if last := last.(said); last.revision <= latest(known) && time.Since(last.at) < saidFor {
			return nil, nil
		}
	}
	got, err := p.node.GetConfiguration(ctx, from, latest(known))
	if err != nil || len(got.Document) == 0 {
		return nil, err
	}
	var documents []configuration.Document
	err = json.Unmarshal(got.Document, &documents)
	return documents, err
}

// configurationSource answers peers that ask.
type configurationSource struct{ *Instance }

// Configuration implements peer.ConfigurationSource.
func (s configurationSource) Configuration(_ context.Context, known uint64) (peer.Configuration, error) {
	revision := latest(s.holder.Revisions())
	if revision <= known {
		return peer.Configuration{Revision: revision}, nil
	}
	text, err := json.Marshal(s.holder.Newer(nil))
	return peer.Configuration{Revision: revision, Document: text}, err
}

// ConfigurationChanged implements peer.ConfigurationSource.
func (s configurationSource) ConfigurationChanged(_ context.Context, from fleet.InstanceID, revision uint64) {
	s.heardRevision(from, revision)
}

// followConfiguration applies each adopted document until ctx ends.
func (i *Instance) followConfiguration(ctx context.Context) {
	for {
		changed := i.holder.Changed()
		if view := i.holder.Current(); view != nil {
			i.burn.Update(view.Catalogue)
			i.outages.update(view)
			i.members.adopt(view.Catalogue)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// indexes keeps the parsed indexes, so that a change of the fleet does not parse them again.
type indexes struct {
	parsed    map[catalogue.ApplicationID]*snapshot.Index
	revisions map[catalogue.ApplicationID]uint64
}

func newIndexes() *indexes {
	return &indexes{
		parsed: make(map[catalogue.ApplicationID]*snapshot.Index), revisions: make(map[catalogue.ApplicationID]uint64),
	}
}

// of returns the indexes of the view in a map of its own.
func (x *indexes) of(view *configuration.View) map[catalogue.ApplicationID]*snapshot.Index {
	all := make(map[catalogue.ApplicationID]*snapshot.Index, len(view.Indexes))
	for application, document := range view.Indexes {
		if x.revisions[application] != document.Revision {
			index, err := snapshot.ParseIndex(string(application), document.Text)
			if err != nil {
				klog.ErrorS(err, "Index not used", "application", application)
				continue
			}
			x.parsed[application], x.revisions[application] = index, document.Revision
		}
		all[application] = x.parsed[application]
	}
	return all
}
