package follow

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

// mostEntries bounds the changes that are kept for peers. Only changes that alter something are kept; a peer that is
// further behind gets the whole state.
const mostEntries = 4096

// News is what one instance tells another.
type News struct {
	// Revision is the store's revision up to which the news are complete.
	Revision uint64
	// Age is how long ago the teller heard the store, directly or through others.
	Age time.Duration
	// Whole is set where Changes is the whole state and not what changed.
	Whole   bool
	Changes []directory.Change
}

// journal holds the directory and its latest changes, for this instance and for its peers. It is safe for concurrent
// use.
type journal struct {
	mutex   sync.Mutex
	state   *directory.Directory
	entries []entry
	// from is the revision after which entries are complete; revision is the store's revision known so far.
	from, revision uint64
	// heard is when the store said so.
	heard time.Time
	// altered is closed and replaced at each change.
	altered chan struct{}
}

type entry struct {
	revision uint64
	change   directory.Change
}

func newJournal() *journal {
	return &journal{state: directory.New(), altered: make(chan struct{})}
}

// record keeps changes that altered the directory. The caller holds the mutex.
func (j *journal) record(changes []directory.Change, revision uint64) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		j.entries = append(j.entries, entry{revision, change})
	}
	if excess := len(j.entries) - mostEntries; excess > 0 {
		j.from = j.entries[excess-1].revision
		j.entries = append([]entry(nil), j.entries[excess:]...)
	}
	close(j.altered)
	j.altered = make(chan struct{})
}

// restart forgets the entries after a whole list: what came and went since the position before is not known, so that a peer
// from in between needs the whole state. The caller holds the mutex.
func (j *journal) restart() {
	j.from, j.entries = j.revision, nil
}

// since returns what a peer at the revision does not have, waiting up to wait for something new.
func (j *journal) since(ctx context.Context, after uint64, wait time.Duration) News {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		j.mutex.Lock()
		// The age is that of the moment of the answer, not of the question.
		news, altered := j.news(after, time.Now()), j.altered
		j.mutex.Unlock()
		if over || len(news.Changes) > 0 {
			return news
		}
		select {
		case <-altered:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

func (j *journal) news(after uint64, now time.Time) News {
	news := News{Revision: j.revision, Age: now.Sub(j.heard)}
	// A peer that is ahead gets nothing: the state here would take it back.
	if after < j.from {
		news.Whole = true
		news.Changes = j.state.All()
		return news
	}
	first := sort.Search(len(j.entries), func(i int) bool { return j.entries[i].revision > after })
	for _, e := range j.entries[first:] {
		news.Changes = append(news.Changes, e.change)
	}
	return news
}
