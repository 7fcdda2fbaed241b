package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=Origin -linecomment -output=origin_string.go

// Origin says where a document came from.
type Origin int

const (
	// FromStore is a document that the platform's store gave.
	FromStore Origin = iota // store
	// FromPeer is a document that another entry instance gave.
	FromPeer // peer
)

// Source is where a document came from; Peer is empty for the store.
type Source struct {
	Origin Origin
	Peer   fleet.InstanceID
}

// Index is the document of one application's index versions.
type Index struct {
	Revision uint64
	// Text is JSON as the index publisher wrote it. Do not change it.
	Text []byte
}

// View is the configuration in force at one moment. It is immutable.
type View struct {
	Catalogue catalogue.Catalogue
	Indexes   map[catalogue.ApplicationID]Index
	// Revision is the store's revision of the catalogue.
	Revision uint64
	// Since is when this instance adopted that revision.
	Since time.Time
	// Source is where that revision came from.
	Source Source
}

// WriteID returns the id of the write that made this revision; empty if the document has none.
func (v *View) WriteID() string {
	if ids := v.Catalogue.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// Holder holds the configuration in force.
type Holder struct {
	current atomic.Pointer[View]
	mutex   sync.Mutex
	// latest holds the adopted documents by key.
	latest map[string]Document
	// refused holds the highest revision by key that could not be read. The same revision has the same
	// text everywhere, so that it is neither checked nor asked for again.
	refused  Revisions
	changed  chan struct{}
	check    func(Document) error
	rejected atomic.Uint64
}

// NewHolder returns a holder without a configuration. checkIndex refuses index documents that cannot be
// used; nil accepts all.
func NewHolder(checkIndex func(Document) error) *Holder {
	return &Holder{latest: make(map[string]Document), refused: make(Revisions), changed: make(chan struct{}), check: checkIndex}
}

// Current returns the configuration in force, nil until one is known.
func (h *Holder) Current() *View {
	return h.current.Load()
}

// Changed returns a channel that is closed at the next adoption.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// Rejected counts the documents that could not be read.
func (h *Holder) Rejected() uint64 {
	return h.rejected.Load()
}

// Adopt puts a document in force if its revision is above the one in force, and tells whether it did.
// The revision alone decides, whether the store or a peer gave the document: a store that answers from
// an older state and a peer that was cut off both give lower revisions. A document that cannot be read
// leaves the configuration as it is.
func (h *Holder) Adopt(document Document, source Source) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if document.Revision <= max(h.latest[document.Key].Revision, h.refused[document.Key]) {
		return false, nil
	}
	next := View{Indexes: make(map[catalogue.ApplicationID]Index)}
	if current := h.current.Load(); current != nil {
		next = *current
	}
	if document.Key == Key {
		parsed, faults := catalogue.Parse(Key, string(document.Text))
		if err := faults.Err(); err != nil {
			return false, h.reject(document, err)
		}
		next.Catalogue, next.Revision, next.Since, next.Source = parsed, document.Revision, time.Now(), source
	} else if !strings.HasPrefix(document.Key, IndexPrefix) {
		return false, nil
	} else if h.check != nil {
		if err := h.check(document); err != nil {
			return false, h.reject(document, err)
		}
	}
	h.latest[document.Key] = document
	h.publish(next)
	return true, nil
}

func (h *Holder) reject(document Document, err error) error {
	h.rejected.Add(1)
	h.refused[document.Key] = document.Revision
	return fmt.Errorf("%s at revision %d cannot be used: %w", document.Key, document.Revision, err)
}

// publish replaces the view. Index documents alone are not a configuration: until the catalogue is
// known there is no view, so the instance is not ready.
func (h *Holder) publish(next View) {
	next.Indexes = make(map[catalogue.ApplicationID]Index, len(h.latest))
	for key, document := range h.latest {
		if application, ok := strings.CutPrefix(key, IndexPrefix); ok {
			next.Indexes[catalogue.ApplicationID(application)] = Index{document.Revision, document.Text}
		}
	}
	if next.Revision > 0 {
		h.current.Store(&next)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Revisions returns the highest revision of every document that was adopted or could not be read.
func (h *Holder) Revisions() Revisions {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := maps.Clone(h.refused)
	for key, document := range h.latest {
		known[key] = max(known[key], document.Revision)
	}
	return known
}

// Newer returns the documents that are newer than the known ones; it answers a peer that asks. They are in
// ascending order of revision: a holder that adopts them in this order has everything up to its highest
// revision at any moment, so that comparing the highest revisions tells whether a peer has more.
func (h *Holder) Newer(known Revisions) []Document {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var newer []Document
	for key, document := range h.latest {
		if document.Revision > known[key] {
			newer = append(newer, document)
		}
	}
	slices.SortFunc(newer, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	return newer
}

// Revisions holds the revision of each document by its key.
type Revisions map[string]uint64

// Exceeds tells whether any document is newer here than there.
func (r Revisions) Exceeds(there Revisions) bool {
	for key, revision := range r {
		if revision > there[key] {
			return true
		}
	}
	return false
}
