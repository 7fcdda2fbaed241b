package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// restore replaces the content of the store by that of an earlier revision. The revisions after it are given out again.
func (s *fakeStore) restore(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.events
	s.events, s.others, s.revision = nil, nil, 0
	s.present = make(map[fleet.ServerID]directory.Change)
	for _, e := range kept {
		if e.revision <= revision {
			s.add(e.change)
		}
	}
}

// TestConfigurationAfterRestore guards against a configuration that never takes effect because the restored store
// confirms it under a revision that instances have already seen for another change.
func TestConfigurationAfterRestore(t *testing.T) {
	for name, writtenBefore := range map[string]int{"revision below the known one": 1, "revision equal to the known one": 3, "revision above the known one": 6} {
		t.Run(name, func(t *testing.T) {
			runInstances(t, []fleet.InstanceID{"i1", "i2", "i3"}, func(is *is.I, s *fakeStore, i *fakeInstances) {
				s.stopHeartbeats()
				time.Sleep(2 * pollInterval)
				_, copied, _ := s.List(t.Context())
				for range 4 {
					s.write(replica("r3"))
				}
				time.Sleep(2 * pollInterval)
				s.restore(copied)
				time.Sleep(2*pollInterval + pollInterval/2)
				for range writtenBefore {
					s.write(replica("r3"))
				}
				s.write(configuration(2))
				for range 4 {
					s.write(replica("r3"))
				}
				time.Sleep(maxPropagationDelay)
				for _, id := range []fleet.InstanceID{"i1", "i2", "i3"} {
					is.Equal(i.view(id).Table.Version(), uint64(2))
				}
			})
		})
	}
}
