package follow

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

const (
	// maxJournalEntries and maxJournalBytes bound the changes that are kept for peers, which are also the largest
	// incremental update that a peer is sent. Only changes that had an effect are kept; a peer that is further behind gets
	// the full state. The bytes are an estimate of what the changes occupy, see changeBytes: one configuration of 1 MiB in
	// the store and all replicas of a large deployment fit into them.
	maxJournalEntries = 4096
	maxJournalBytes   = 8 << 20
	// minComparedChanges is the number of changes from which an incremental update is compared with the full state, which
	// is expensive to make. Fewer changes are hardly ever larger.
	minComparedChanges = 256
)

// Update is what one instance sends another.
type Update struct {
	// Position is the position in the store's history up to which the update is complete.
	Position Position
	// Age is how long ago the sender last had contact with the store, directly or through peers.
	Age time.Duration
	// KnownSinceRequest is the time, relative to the arrival of the request at the sender, as of which the sender knows
	// its configuration to be the store's newest; negative if it is before. Known is set if it knows such a time.
	KnownSinceRequest time.Duration
	Known             bool
	// Unmarked is set if the sender does not know of customers and has sent a configuration, which may have some.
	Unmarked bool
	// Unusable is set if the store has a newer configuration that the sender cannot use and so does not pass on.
	Unusable bool
	// Full is set if Changes is the full state instead of what changed.
	Full    bool
	Changes []directory.Change
}

// journal holds the directory and its latest changes, for this instance and its peers. Its mutex guards all its fields.
type journal struct {
	mutex   sync.Mutex
	state   *directory.Directory
	entries []journalEntry
	// bytes is the sum of the sizes of the entries.
	bytes                int
	maxEntries, maxBytes int
	// position is the latest known position in the store's history. The entries are of its era and complete after the
	// revision completeAfter.
	position      Position
	completeAfter uint64
	// lastStoreContact is when the state was last confirmed by the store, directly or through peers.
	lastStoreContact time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// journalEntry is one change that had an effect. It was made after the revision after, and at the revision at the
// latest.
type journalEntry struct {
	after, revision uint64
	change          directory.Change
	bytes           int // size of the change, see changeBytes
}

func newJournal() *journal {
	return &journal{state: directory.New(), changed: make(chan struct{}), maxEntries: maxJournalEntries, maxBytes: maxJournalBytes}
}

// record keeps changes that had an effect on the directory and were made between two revisions, and wakes waiting
// peers. Of the configurations only the latest is kept: a peer at any earlier position ignores those before it. The
// caller holds the mutex.
func (j *journal) record(changes []directory.Change, after, revision uint64) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if change.Table != nil {
			j.discardTable()
		}
		size := changeBytes(&change)
		j.entries = append(j.entries, journalEntry{after, revision, change, size})
		j.bytes += size
	}
	j.limitEntries()
	close(j.changed)
	j.changed = make(chan struct{})
}

// discardTable drops the entry of a configuration that a later one supersedes. The entries stay complete without it.
// The caller holds the mutex.
func (j *journal) discardTable() {
	if at := slices.IndexFunc(j.entries, func(e journalEntry) bool { return e.change.Table != nil }); at >= 0 {
		j.bytes -= j.entries[at].bytes
		j.entries = slices.Delete(j.entries, at, at+1)
	}
}

// limitEntries drops the oldest entries beyond the bounds. The caller holds the mutex.
func (j *journal) limitEntries() {
	excess := 0
	for excess < len(j.entries) && (len(j.entries)-excess > j.maxEntries || j.bytes > j.maxBytes) {
		j.bytes -= j.entries[excess].bytes
		excess++
	}
	if excess > 0 {
		j.completeAfter = j.entries[excess-1].revision
		j.entries = slices.Clone(j.entries[excess:])
	}
}

// discardEntries drops the entries when they no longer lead to the present state. After a full list the changes since
// the previous revision are not known, so a peer at a revision in between needs the full state. The caller holds the
// mutex.
func (j *journal) discardEntries() {
	j.completeAfter, j.entries, j.bytes = j.position.Revision, nil, 0
}

// waitForUpdate returns what a peer at the position does not have, and waits up to wait for the first change, or until
// the state has been confirmed once more. knownAsOf returns as of which time it was; the update has that time in
// KnownSinceRequest. It is safe for concurrent use.
func (j *journal) waitForUpdate(ctx context.Context, after Position, wait time.Duration, knownAsOf func() (time.Duration, bool)) Update {
	formerly, _ := knownAsOf()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for done := false; ; {
		j.mutex.Lock()
		// The age is measured at the time of the answer, not of the request.
		update, changed := j.updateSince(after, time.Now()), j.changed
		update.KnownSinceRequest, update.Known = knownAsOf()
		j.mutex.Unlock()
		if done || len(update.Changes) > 0 || update.KnownSinceRequest > formerly {
			return update
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}

// updateSince returns what a peer at the position does not have. A peer that does not name its era is an instance of an
// earlier build, or one that knows nothing of the store. The caller holds the mutex.
func (j *journal) updateSince(after Position, now time.Time) Update {
	update := Update{Position: j.position, Age: now.Sub(j.lastStoreContact)}
	// A peer that is ahead gets no changes: the state here would set it back.
	if after.Era > j.position.Era {
		return update
	}
	first := sort.Search(len(j.entries), func(i int) bool { return j.entries[i].revision > after.Revision })
	// A peer that has read the store itself may know some of the changes that were read together with the next one.
	// Removals among them must not be applied again after what followed.
	partlyKnown := first < len(j.entries) && j.entries[first].after < after.Revision
	if after.Era != 0 && after.Era < j.position.Era || after.Revision < j.completeAfter || partlyKnown {
		update.Full = true
		update.Changes = j.state.Snapshot()
		return update
	}
	size := 0
	for _, e := range j.entries[first:] {
		update.Changes = append(update.Changes, e.change)
		size += e.bytes
	}
	if len(update.Changes) >= minComparedChanges {
		if full := j.state.Snapshot(); changesBytes(full) < size {
			update.Full, update.Changes = true, full
		}
	}
	return update
}
