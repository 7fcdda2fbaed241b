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

// Origin is the kind of source that a document came from.
type Origin int

const (
	// FromStore is a document from the platform's store.
	FromStore Origin = iota // store
	// FromPeer is a document from another entry instance.
	FromPeer // peer
)

// Source identifies the source of a document. Peer is empty for the store.
type Source struct {
	Origin Origin
	Peer   fleet.InstanceID
}

// IndexDocument is the document that holds the index versions of one application.
type IndexDocument struct {
	Revision uint64
	// Text is the JSON that the index publisher wrote. It must not be modified.
	Text []byte
}

// View is the configuration in force at one moment. It is immutable.
type View struct {
	Catalogue catalogue.Catalogue
	Indexes   map[catalogue.ApplicationID]IndexDocument
	// Revision is the store's revision of the catalogue.
	Revision uint64
	// Since is when this instance adopted that revision.
	Since time.Time
	// Source is the source of that revision.
	Source Source
}

// WriteID returns the id of the write that produced this revision, or "" if the document has none.
func (v *View) WriteID() string {
	if ids := v.Catalogue.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[View]
	mutex   sync.Mutex
	// documents holds the adopted documents by key.
	documents map[string]Document
	// rejectedRevisions holds, by key, the highest revision whose document could not be used. A revision has the same
	// text on every instance, so it is neither checked nor fetched again.
	rejectedRevisions Revisions
	changed           chan struct{}
	checkIndex        func(Document) error
	rejectedCount     atomic.Uint64
}

// NewHolder returns a holder without a configuration. checkIndex returns an error for an index document that cannot be
// used; nil accepts every document.
func NewHolder(checkIndex func(Document) error) *Holder {
	return &Holder{documents: make(map[string]Document), rejectedRevisions: make(Revisions), changed: make(chan struct{}), checkIndex: checkIndex}
}

// Current returns the configuration in force, or nil if no catalogue has been adopted yet.
func (h *Holder) Current() *View {
	return h.current.Load()
}

// Changed returns a channel that is closed at the next adoption.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// RejectedCount returns the number of documents that could not be used.
func (h *Holder) RejectedCount() uint64 {
	return h.rejectedCount.Load()
}

// Adopt puts a document in force if its revision is above the one in force, and reports whether it did. Only the
// revision decides, not whether the document came from the store or from a peer: a store that answers from an older
// state and a peer that was cut off both give lower revisions. A document that cannot be used leaves the configuration
// unchanged.
func (h *Holder) Adopt(document Document, source Source) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if document.Revision <= max(h.documents[document.Key].Revision, h.rejectedRevisions[document.Key]) {
		return false, nil
	}
	next := View{Indexes: make(map[catalogue.ApplicationID]IndexDocument)}
	if current := h.current.Load(); current != nil {
		next = *current
	}
	if document.Key == CatalogueKey {
		parsed, faults := catalogue.Parse(CatalogueKey, string(document.Text))
		if err := faults.Err(); err != nil {
			return false, h.reject(document, err)
		}
		next.Catalogue, next.Revision, next.Since, next.Source = parsed, document.Revision, time.Now(), source
	} else if !strings.HasPrefix(document.Key, IndexKeyPrefix) {
		return false, nil
	} else if h.checkIndex != nil {
		if err := h.checkIndex(document); err != nil {
			return false, h.reject(document, err)
		}
	}
	h.documents[document.Key] = document
	h.publish(next)
	return true, nil
}

// reject records that a document cannot be used and returns the error that says so.
func (h *Holder) reject(document Document, err error) error {
	h.rejectedCount.Add(1)
	h.rejectedRevisions[document.Key] = document.Revision
	return fmt.Errorf("%s at revision %d cannot be used: %w", document.Key, document.Revision, err)
}

// publish replaces the view. Without a catalogue there is no view, because index documents alone are not a
// configuration; the instance is then not ready.
func (h *Holder) publish(next View) {
	next.Indexes = make(map[catalogue.ApplicationID]IndexDocument, len(h.documents))
	for key, document := range h.documents {
		if application, ok := strings.CutPrefix(key, IndexKeyPrefix); ok {
			next.Indexes[catalogue.ApplicationID(application)] = IndexDocument{document.Revision, document.Text}
		}
	}
	if next.Revision > 0 {
		h.current.Store(&next)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Revisions returns the highest revision of every document that was adopted or could not be used.
func (h *Holder) Revisions() Revisions {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := maps.Clone(h.rejectedRevisions)
	for key, document := range h.documents {
		known[key] = max(known[key], document.Revision)
	}
	return known
}

// Newer returns the documents whose revision is above the known one, for a peer that asks for them. They are in
// ascending order of revision: a holder that adopts them in this order has every document up to its highest revision at
// any moment, so comparing the highest revisions shows whether a peer has more.
func (h *Holder) Newer(known Revisions) []Document {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var newer []Document
	for key, document := range h.documents {
		if document.Revision > known[key] {
			newer = append(newer, document)
		}
	}
	slices.SortFunc(newer, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	return newer
}

// Revisions maps the key of each document to its revision.
type Revisions map[string]uint64

// AnyNewerThan reports whether any document has a higher revision in r than in other.
func (r Revisions) AnyNewerThan(other Revisions) bool {
	for key, revision := range r {
		if revision > other[key] {
			return true
		}
	}
	return false
}
