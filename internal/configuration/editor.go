package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Edit is a change that an operator makes to the catalogue.
type Edit struct {
	// Apply returns the catalogue with the change made.
	Apply func(current catalogue.Catalogue) (catalogue.Catalogue, error)
	// TargetText returns the text of the part of the catalogue that the edit changes. If another write comes first, the
	// edit is repeated on top of it as long as that write left this text unchanged. With a nil TargetText, any other
	// write is a conflict.
	TargetText func(current catalogue.Catalogue) string
	// BaseWriteID is the write id of the document that the operator started from. Any other write id in the store is a
	// conflict. If BaseWriteID is empty, the edit applies to whatever document is in the store.
	BaseWriteID string
	// BaseRevision is the revision of that document if it has no write id. Any other revision in the store is a
	// conflict.
	BaseRevision catalogue.BaseRevision
	// ReplaceUnreadable replaces a document that cannot be parsed as if there were none. Without it, such a document is
	// an error, because replacing it would put the zones and instances that it takes out back into service.
	ReplaceUnreadable bool
}

// Accepted is a change that is known to have taken effect.
type Accepted struct {
	// Revision is the store's revision of the write. If RevisionIsUpperBound is set, a later write was already on top
	// when the outcome was determined; Revision is then the revision of that write, an upper bound of the change's own.
	Revision             uint64
	RevisionIsUpperBound bool
	WriteID              string
	Change               catalogue.Difference
}

// RejectedError reports a change that did not take effect because another write came first.
type RejectedError struct {
	// Revision is the revision of the latest other write.
	Revision uint64
	// OtherChanges is what the other writes changed. It is empty if the catalogue before them is not known.
	OtherChanges catalogue.Difference
	// ProposedChanges is what the change would alter in the catalogue that is now in the store.
	ProposedChanges catalogue.Difference
}

// Error implements error.
func (e *RejectedError) Error() string {
	text := fmt.Sprintf("conflict: not applied, because the configuration was changed meanwhile to revision %d\n", e.Revision)
	if len(e.OtherChanges) > 0 {
		text += "changed meanwhile:\n" + e.OtherChanges.String()
	}
	return text + "your change against the store:\n" + e.ProposedChanges.String()
}

// UnknownOutcomeError reports a change that may or may not have taken effect.
type UnknownOutcomeError struct {
	WriteID string
	Err     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown outcome: the change with write id %s may or may not have taken effect: %v", e.WriteID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// maxStaleReads is the number of times that Apply reads again if the store does not know the base of an edit, because
// the store may have answered from an older state.
const maxStaleReads = 20

// Editor changes the catalogue in the store. It is not safe for concurrent use.
type Editor struct {
	store  Store
	random *rand.Rand
}

// NewEditor returns an editor that draws write ids and jitter from random.
func NewEditor(store Store, random *rand.Rand) *Editor {
	return &Editor{store: store, random: random}
}

// Read returns the catalogue in the store and its revision. If the store has no catalogue, it returns an empty one at
// revision 0. If the document cannot be parsed, it returns an empty catalogue, the revision of the document and an
// error that wraps catalogue.Faults.
func (e *Editor) Read(ctx context.Context) (catalogue.Catalogue, uint64, error) {
	found, err := e.store.Get(ctx, CatalogueKey)
	if err != nil {
		return catalogue.Catalogue{}, 0, err
	}
	if found.Revision == 0 {
		return catalogue.New(nil), 0, nil
	}
	parsed, faults := catalogue.Parse(CatalogueKey, string(found.Text))
	if err := faults.Err(); err != nil {
		return catalogue.New(nil), found.Revision, fmt.Errorf("the store's configuration at revision %d cannot be read: %w", found.Revision, err)
	}
	return parsed, found.Revision, nil
}

// pendingWrite is a write of the catalogue, with the catalogue and the revision that it is based on.
type pendingWrite struct {
	id       string
	base     catalogue.Catalogue
	revision uint64
	text     []byte
	change   catalogue.Difference
}

// Apply makes the edit and waits until its outcome is known. It returns a *RejectedError for a conflict, an
// *UnknownOutcomeError if the outcome cannot be determined before ctx ends, and any other error if the change did not
// take effect.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	first := true
	// base and baseRevision are what the edit is made on: the first catalogue read, or a later one in which the target
	// of the edit is unchanged. minRevision is the lowest revision that a read must have to show the write that caused
	// the last conflict.
	var base catalogue.Catalogue
	var baseRevision uint64
	staleReads := 0
	for minRevision := uint64(0); ; {
		current, revision, err := e.Read(ctx)
		if _, unreadable := errors.AsType[catalogue.Faults](err); err != nil && !(unreadable && edit.ReplaceUnreadable) {
			return Accepted{}, err
		}
		if first && !descendsFromBase(current, revision, edit) {
			if staleReads++; staleReads <= maxStaleReads && e.waitBeforeRetry(ctx) == nil {
				continue
			}
			return Accepted{}, verdict.New(verdict.NotRun, verdict.BadAnswer,
				"the store does not know the %s that the document starts from: it answers from an older state, or the document is from another store", edit.describeBase())
		}
		if revision < minRevision {
			if err := e.waitBeforeRetry(ctx); err != nil {
				return Accepted{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the store answers from before revision %d", minRevision)
			}
			continue
		}
		if first {
			base, baseRevision, first = current, revision, false
		} else if edit.TargetText != nil && edit.TargetText(base) == edit.TargetText(current) {
			base, baseRevision = current, revision
		}
		next, err := e.prepare(current, revision, edit)
		if err != nil {
			return Accepted{}, err
		}
		if !edit.matchesBase(current, revision) || revision != baseRevision {
			return Accepted{}, &RejectedError{revision, catalogue.Diff(base, current), next.change}
		}
		accepted, conflict, err := e.write(ctx, next)
		if err != nil || conflict == 0 {
			return accepted, err
		}
		minRevision = conflict
	}
}

// writeID returns the id of the write that produced the catalogue, or "" if it has none.
func writeID(c catalogue.Catalogue) string {
	if ids := c.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// descendsFromBase reports whether the catalogue is the base of the edit or came after it. A full list of write ids may
// have lost the id of the base, so it counts as containing it.
func descendsFromBase(current catalogue.Catalogue, revision uint64, edit Edit) bool {
	if edit.BaseRevision.Known && revision < edit.BaseRevision.Revision {
		return false
	}
	ids := current.WriteIDs()
	return edit.BaseWriteID == "" || len(ids) == catalogue.MaxWriteIDs || slices.Contains(ids, edit.BaseWriteID)
}

// matchesBase reports whether the catalogue in the store is the one that the operator started from.
func (e Edit) matchesBase(current catalogue.Catalogue, revision uint64) bool {
	if e.BaseRevision.Known && revision != e.BaseRevision.Revision {
		return false
	}
	return e.BaseWriteID == "" || writeID(current) == e.BaseWriteID
}

// describeBase names the document that the operator started from, for an error message.
func (e Edit) describeBase() string {
	if e.BaseWriteID == "" {
		return fmt.Sprintf("revision %d", e.BaseRevision.Revision)
	}
	return "write id " + e.BaseWriteID
}

// prepare applies the edit to the current catalogue and gives the result a new write id.
func (e *Editor) prepare(current catalogue.Catalogue, revision uint64, edit Edit) (pendingWrite, error) {
	changed, err := edit.Apply(current)
	if err != nil {
		return pendingWrite{}, err
	}
	id := strconv.FormatUint(e.random.Uint64(), 36) + strconv.FormatUint(e.random.Uint64(), 36)
	changed = changed.WithWriteIDs(append([]string{id}, current.WriteIDs()...)).WithBase(catalogue.BaseRevision{})
	text := changed.Format()
	if len(text) > document.MaxBytes {
		return pendingWrite{}, fmt.Errorf("the configuration would have %d bytes; allowed: at most %d", len(text), document.MaxBytes)
	}
	return pendingWrite{id, current, revision, []byte(text), catalogue.Diff(current, changed)}, nil
}

// write sends the write until its outcome is known. If another write came first, it returns the lowest revision that a
// read must have to show that write, and otherwise 0.
func (e *Editor) write(ctx context.Context, w pendingWrite) (Accepted, uint64, error) {
	outcomeUnknown := false
	for {
		revision, err := e.store.CompareAndSwap(ctx, CatalogueKey, w.text, w.revision)
		if err == nil {
			return Accepted{Revision: revision, WriteID: w.id, Change: w.change}, 0, nil
		}
		switch {
		case isConflict(err) && !outcomeUnknown:
			return Accepted{}, w.revision + 1, nil
		case isConflict(err):
			// The other write may be an earlier send of this one; resolve finds out.
		case verdict.Of(err) != verdict.NotRun:
			outcomeUnknown = true
		case !outcomeUnknown:
			return Accepted{}, 0, err
		}
		if !isConflict(err) {
			if e.waitBeforeRetry(ctx) != nil {
				return Accepted{}, 0, &UnknownOutcomeError{w.id, err}
			}
		}
		accepted, conflict, resolved, err := e.resolve(ctx, w, isConflict(err))
		if resolved || err != nil {
			return accepted, conflict, err
		}
	}
}

// resolve reads the catalogue back to find out whether a write with an unknown outcome took effect. The boolean result
// is false while the key is still at the base revision: the write may still arrive, and sending it again is safe.
// pastBase says that the key is known to be above the base revision, so that a read of the base revision comes from a
// store that lags and is repeated.
func (e *Editor) resolve(ctx context.Context, w pendingWrite, pastBase bool) (Accepted, uint64, bool, error) {
	for {
		current, revision, err := e.Read(ctx)
		if err == nil && revision > w.revision {
			ids := current.WriteIDs()
			position := slices.Index(ids, w.id)
			switch {
			case position >= 0:
				return Accepted{revision, position > 0, w.id, w.change}, 0, true, nil
			case coversBase(ids, w.base):
				// The remembered ids go back to the base, so they would include this write.
				return Accepted{}, revision, true, nil
			}
			return Accepted{}, 0, true, &UnknownOutcomeError{w.id, fmt.Errorf(
				"more than %d writes came after it", catalogue.MaxWriteIDs)}
		}
		if err == nil && revision == w.revision && !pastBase {
			return Accepted{}, 0, false, nil
		}
		if err == nil {
			err = fmt.Errorf("the store answers from revision %d", revision)
		}
		if e.waitBeforeRetry(ctx) != nil {
			return Accepted{}, 0, true, &UnknownOutcomeError{w.id, err}
		}
	}
}

// coversBase reports whether the remembered ids include every write since the base. If the base has no write id, a full
// list may have lost some ids, and an empty list was not written by an editor.
func coversBase(ids []string, base catalogue.Catalogue) bool {
	if id := writeID(base); id != "" {
		return slices.Contains(ids, id)
	}
	return len(ids) > 0 && len(ids) < catalogue.MaxWriteIDs
}

// waitBeforeRetry waits 50 to 150 ms. The jitter keeps operators with competing edits from retrying in step.
func (e *Editor) waitBeforeRetry(ctx context.Context) error {
	return sleep(ctx, 50*time.Millisecond+time.Duration(e.random.Int64N(int64(100*time.Millisecond))))
}

// sleep waits for the duration, or returns the error of ctx if it ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
