package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// fakeSources stands in for a store and 24 watchers at the same revision, one of which may have a newer one. The first
// frozen watchers that are asked do not answer. It counts the watchers asked and the documents sent.
type fakeSources struct {
	storeDown bool
	frozen    int32
	newer     fleet.InstanceID

	asked, sent atomic.Int32
}

func documentAt(revision uint64) []configuration.Document {
	return []configuration.Document{{Key: configuration.CatalogueKey, Revision: revision, Text: []byte("[configuration]\nformat = 1\n")}}
}

func (s *fakeSources) Plan() (plan configuration.Plan) {
	for i := range 24 {
		plan.OtherZoneWatchers = append(plan.OtherZoneWatchers, fleet.InstanceID(fmt.Sprintf("entry-%02d", i)))
	}
	return plan
}

func (*fakeSources) Notify(context.Context, fleet.InstanceID, configuration.Revisions) error {
	return nil
}

func (s *fakeSources) Fetch(ctx context.Context, peer fleet.InstanceID, known configuration.Revisions) ([]configuration.Document, error) {
	if s.asked.Add(1) <= s.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(10 * time.Millisecond)
	revision := uint64(5)
	if peer == s.newer {
		revision = 6
	}
	if known[configuration.CatalogueKey] >= revision {
		return nil, nil
	}
	s.sent.Add(1)
	return documentAt(revision), nil
}

func (s *fakeSources) Get(context.Context, string) (configuration.Document, error) {
	return configuration.Document{}, errors.New("not used")
}

func (s *fakeSources) CompareAndSwap(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, errors.New("not used")
}

func (s *fakeSources) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]configuration.Document, error) {
	if s.storeDown || after > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(5 * time.Millisecond)
	return documentAt(5), nil
}

// TestInitialSyncFetchesFewCopies guards against an instance that fetches every document from every watcher when it
// starts, and against one that misses the only watcher with a newer revision.
func TestInitialSyncFetchesFewCopies(t *testing.T) {
	cases := map[string]struct {
		sources *fakeSources
		maxSent int32
		want    uint64
	}{
		"store up":                 {&fakeSources{}, 1, 5},
		"store down":               {&fakeSources{storeDown: true}, 1, 5},
		"store up, one newer":      {&fakeSources{newer: "entry-17"}, 2, 6},
		"store down, one newer":    {&fakeSources{storeDown: true, newer: "entry-17"}, 2, 6},
		"store down, first frozen": {&fakeSources{storeDown: true, frozen: 1}, 24, 5},
		"store up, 23 frozen":      {&fakeSources{frozen: 23}, 1, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				holder := configuration.NewHolder(nil)
				distributor := configuration.NewDistributor(holder, tc.sources, tc.sources, tc.sources, seeded(1))
				go distributor.Run(ctx)
				time.Sleep(1500 * time.Millisecond)
				is.True(distributor.Ready())
				is.Equal(holder.Current().Revision, tc.want)
				is.True(tc.sources.asked.Load() >= 24) // every watcher is asked
				is.True(tc.sources.sent.Load() <= tc.maxSent)
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
