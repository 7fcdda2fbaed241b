package entry

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/settings"
)

func newTestInstance(t *testing.T, id fleet.InstanceID) *Instance {
	t.Helper()
	i, err := New(settings.Settings{
		Instance: id, Zone: "zone-a", Region: "r", Seed: 1, PeerKey: "0123456789abcdef0123456789abcdef",
		StoreURL: "http://127.0.0.1:1", InstanceListURL: "http://127.0.0.1:1", PlatformTimeout: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.node.Close)
	return i
}

// TestAskWithoutHeartbeats guards against fetching every document each second from an instance that watches the store
// but exchanges no heartbeats with this one, and against never asking it again once it has reported its revision.
func TestAskWithoutHeartbeats(t *testing.T) {
	is := is.New(t)
	asking, watcher := newTestInstance(t, "entry-1"), newTestInstance(t, "entry-2")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = watcher.node.Serve(listener) }()
	asking.members.applyEvent(func(m *fleet.Membership, now time.Time) fleet.Change {
		return m.ApplyInstanceList(now, []fleet.Entry{{ID: "entry-2", Zone: "zone-a", Region: "r", PeerAddress: listener.Addr().String()}}, nil)
	})
	adopt := func(revision uint64) {
		document := configuration.Document{Key: configuration.CatalogueKey, Revision: revision, Text: []byte("[configuration]\nformat = 1\n")}
		_, err := watcher.holder.Adopt(document, configuration.Source{})
		is.NoErr(err)
	}
	ask := func(known uint64) int {
		documents, err := configurationPeers{asking}.Fetch(t.Context(), "entry-2", configuration.Revisions{configuration.CatalogueKey: known})
		is.NoErr(err)
		return len(documents)
	}
	adopt(5)
	is.Equal(ask(0), 1)
	is.Equal(ask(5), 0)
	got, err := asking.node.GetConfiguration(t.Context(), "entry-2", 5)
	is.NoErr(err)
	is.Equal(len(got.Document), 0) // the answer carries no document

	asking.recordPeerRevision("entry-2", 5)
	adopt(6)
	is.Equal(ask(5), 0) // its report is recent
	time.Sleep(reportedRevisionTTL)
	is.Equal(ask(5), 1) // the notification of revision 6 was lost
}
