// Package configuration holds the configuration in force in one entry instance, decides which documents are adopted,
// distributes them between the instances and edits them in the platform's store.
//
// A Holder owns an immutable View behind an atomic pointer; readers take no lock. A Distributor owns the goroutines
// that watch the store and fetch from peers. The package opens no socket: the store and the peers are interfaces. It
// uses the runtime's clock.
package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Keys of the platform's store.
const (
	// KeyPrefix starts every key of the system.
	KeyPrefix = "medlarlatch/"
	// CatalogueKey holds the catalogue.
	CatalogueKey = KeyPrefix + "configuration"
	// IndexKeyPrefix, followed by the name of an application, holds its index versions.
	IndexKeyPrefix = KeyPrefix + "index/"
)

// Document is the value of one key of the platform's store at one revision. Text must not be modified.
type Document struct {
	Key string `json:"key"`
	// Revision is the store's revision of the write; 0 means that the key does not exist.
	Revision uint64 `json:"revision"`
	Text     []byte `json:"text"`
}

// Store is the platform's key-value store. Errors other than a *ConflictError carry a verdict: verdict.NotRun means
// that a write did not take effect, any other verdict that it may have.
type Store interface {
	// Get reads a key. A key that does not exist has revision 0.
	Get(ctx context.Context, key string) (Document, error)
	// CompareAndSwap writes the text if the key is at the base revision, and returns the new revision.
	CompareAndSwap(ctx context.Context, key string, text []byte, baseRevision uint64) (uint64, error)
	// Watch waits until keys with the prefix have a revision above after, at most for wait, and returns them in
	// ascending order of revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Document, error)
}

// ConflictError reports a write that did not take effect because the key is not at the base revision.
type ConflictError struct {
	Key string
	// Base is the revision that the write expected.
	Base uint64
	// Current is the revision of the key, or 0 if the store did not return it.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the write to %s expected revision %d, but the store has revision %d", e.Key, e.Base, e.Current)
}

func isConflict(err error) bool {
	_, ok := errors.AsType[*ConflictError](err)
	return ok
}
