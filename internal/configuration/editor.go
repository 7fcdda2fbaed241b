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

// Edit is one change of the catalogue by an operator.
type Edit struct {
	// Apply returns the changed catalogue.
	Apply func(current catalogue.Catalogue) (catalogue.Catalogue, error)
	// Target returns the part that the edit changes, as text. When another write came first, the edit
	// is repeated on top of it if the text stayed the same. A nil Target reports every conflict.
	Target func(current catalogue.Catalogue) string
	// Base is the write id of the document that the operator started from; empty stands for whatever
	// is in the store. Another write id in the store is a conflict.
	Base string
	// BaseRevision is the revision of that document where it has no write id. Another revision in the store is a
	// conflict.
	BaseRevision catalogue.BaseRevision
	// OverUnreadable replaces a document that cannot be read as if there were none; otherwise it is an
	// error, because its zones and instances that are out would be brought back.
	OverUnreadable bool
}

// Accepted is a change that is known to have taken effect.
type Accepted struct {
	// Revision is the store's revision of the write. If AtMost is set, the write was found below a later
	// one, and its own revision is not above this one.
	Revision uint64
	AtMost   bool
	WriteID  string
	Change   catalogue.Difference
}

// RejectedError is a change that did not take effect because of another write.
type RejectedError struct {
	// Revision is the revision of the other write.
	Revision uint64
	// Other is what the other writes changed; it is empty where the base is not known.
	Other catalogue.Difference
	// Proposed is what the change would alter on top of them.
	Proposed catalogue.Difference
}

// Error implements error.
func (e *RejectedError) Error() string {
	text := fmt.Sprintf("conflict: not applied, because the configuration was changed meanwhile to revision %d\n", e.Revision)
	if len(e.Other) > 0 {
		text += "changed meanwhile:\n" + e.Other.String()
	}
	return text + "your change against the store:\n" + e.Proposed.String()
}

// UnknownOutcomeError is a change of which it is not known whether it took effect.
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

// staleRereads is the number of further reads when the store does not know the base of an edit, which
// may be because it answers from an older state.
const staleRereads = 20

// Editor changes the catalogue in the store.
type Editor struct {
	store  Store
	random *rand.Rand
}

// NewEditor returns an editor. random makes the write ids and the jitter.
func NewEditor(store Store, random *rand.Rand) *Editor {
	return &Editor{store: store, random: random}
}

// Read returns the catalogue in the store; a store without one gives an empty catalogue. A document that
// cannot be read gives an error that holds its catalogue.Faults, with an empty catalogue and its revision.
func (e *Editor) Read(ctx context.Context) (catalogue.Catalogue, uint64, error) {
	found, err := e.store.Get(ctx, Key)
	if err != nil {
		return catalogue.Catalogue{}, 0, err
	}
	if found.Revision == 0 {
		return catalogue.New(nil), 0, nil
	}
	parsed, faults := catalogue.Parse(Key, string(found.Text))
	if err := faults.Err(); err != nil {
		return catalogue.New(nil), found.Revision, fmt.Errorf("the store's configuration at revision %d cannot be read: %w", found.Revision, err)
	}
	return parsed, found.Revision, nil
}

// write is one write of the catalogue with the state that it was made from.
type write struct {
	id       string
	base     catalogue.Catalogue
	revision uint64
	text     []byte
	change   catalogue.Difference
}

// Apply makes the edit. It returns a *RejectedError for a conflict, an *UnknownOutcomeError if the outcome
// cannot be resolved within the context, and any other error if the change did not take effect.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	first := true
	var base catalogue.Catalogue
	var baseRevision uint64
	rereads := 0
	for least := uint64(0); ; {
		current, revision, err := e.Read(ctx)
		if _, unreadable := errors.AsType[catalogue.Faults](err); err != nil && !(unreadable && edit.OverUnreadable) {
			return Accepted{}, err
		}
		if first && !knowsBase(current, revision, edit) {
			if rereads++; rereads <= staleRereads && e.pause(ctx) == nil {
				continue
			}
			return Accepted{}, verdict.New(verdict.NotRun, verdict.BadAnswer,
				"the store does not know the %s that the document starts from: it answers from an older state, or the document is from another store", edit.start())
		}
		if revision < least {
			if err := e.pause(ctx); err != nil {
				return Accepted{}, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the store answers from before revision %d", least)
			}
			continue
		}
		if first {
			base, baseRevision, first = current, revision, false
		} else if edit.Target != nil && edit.Target(base) == edit.Target(current) {
			base, baseRevision = current, revision
		}
		next, err := e.prepare(current, revision, edit)
		if err != nil {
			return Accepted{}, err
		}
		if !edit.startsFrom(current, revision) || revision != baseRevision {
			return Accepted{}, &RejectedError{revision, catalogue.Diff(base, current), next.change}
		}
		accepted, conflict, err := e.write(ctx, next)
		if err != nil || conflict == 0 {
			return accepted, err
		}
		least = conflict
	}
}

func writeID(c catalogue.Catalogue) string {
	if ids := c.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// knowsBase tells whether the catalogue is the base or came after it. A full list of ids may have lost it.
func knowsBase(current catalogue.Catalogue, revision uint64, edit Edit) bool {
	if edit.BaseRevision.Known && revision < edit.BaseRevision.Revision {
		return false
	}
	ids := current.WriteIDs()
	return edit.Base == "" || len(ids) == catalogue.MaxWriteIDs || slices.Contains(ids, edit.Base)
}

// startsFrom tells whether the catalogue in the store is the one that the operator started from.
func (e Edit) startsFrom(current catalogue.Catalogue, revision uint64) bool {
	if e.BaseRevision.Known && revision != e.BaseRevision.Revision {
		return false
	}
	return e.Base == "" || writeID(current) == e.Base
}

// start names what the operator started from.
func (e Edit) start() string {
	if e.Base == "" {
		return fmt.Sprintf("revision %d", e.BaseRevision.Revision)
	}
	return "write id " + e.Base
}

func (e *Editor) prepare(current catalogue.Catalogue, revision uint64, edit Edit) (write, error) {
	changed, err := edit.Apply(current)
	if err != nil {
		return write{}, err
	}
	id := strconv.FormatUint(e.random.Uint64(), 36) + strconv.FormatUint(e.random.Uint64(), 36)
	changed = changed.WithWriteIDs(append([]string{id}, current.WriteIDs()...)).WithBase(catalogue.BaseRevision{})
	text := changed.Format()
	if len(text) > document.MaxBytes {
		return write{}, fmt.Errorf("the configuration would have %d bytes; allowed: at most %d", len(text), document.MaxBytes)
	}
	return write{id, current, revision, []byte(text), catalogue.Diff(current, changed)}, nil
}

// write sends the write until its outcome is known. It returns the revision above which another write
// is known to have come first, or 0.
func (e *Editor) write(ctx context.Context, w write) (Accepted, uint64, error) {
	inDoubt := false
	for {
		revision, err := e.store.CompareAndSwap(ctx, Key, w.text, w.revision)
		if err == nil {
			return Accepted{Revision: revision, WriteID: w.id, Change: w.change}, 0, nil
		}
		switch {
		case isConflict(err) && !inDoubt:
			return Accepted{}, w.revision + 1, nil
		case isConflict(err):
		case verdict.Of(err) != verdict.NotRun:
			inDoubt = true
		case !inDoubt:
			return Accepted{}, 0, err
		}
		if !isConflict(err) {
			if e.pause(ctx) != nil {
				return Accepted{}, 0, &UnknownOutcomeError{w.id, err}
			}
		}
		accepted, conflict, resolved, err := e.resolve(ctx, w, isConflict(err))
		if resolved || err != nil {
			return accepted, conflict, err
		}
	}
}

// resolve reads back whether a write in doubt took effect. It is not resolved while the key is still at
// the base revision: the write may yet arrive, and repeating it is safe. moved says that the key is known
// to be above the base revision, so that an older state is the answer of a store that lags.
func (e *Editor) resolve(ctx context.Context, w write, moved bool) (Accepted, uint64, bool, error) {
	for {
		current, revision, err := e.Read(ctx)
		if err == nil && revision > w.revision {
			ids := current.WriteIDs()
			at := slices.Index(ids, w.id)
			switch {
			case at >= 0:
				return Accepted{revision, at > 0, w.id, w.change}, 0, true, nil
			case reachesBack(ids, w.base):
				// This write would be among the remembered ids.
				return Accepted{}, revision, true, nil
			}
			return Accepted{}, 0, true, &UnknownOutcomeError{w.id, fmt.Errorf(
				"more than %d writes came after it", catalogue.MaxWriteIDs)}
		}
		if err == nil && revision == w.revision && !moved {
			return Accepted{}, 0, false, nil
		}
		if err == nil {
			err = fmt.Errorf("the store answers from revision %d", revision)
		}
		if e.pause(ctx) != nil {
			return Accepted{}, 0, true, &UnknownOutcomeError{w.id, err}
		}
	}
}

// reachesBack tells whether the remembered ids include every write since the base. Without an id in the
// base, a full list may have lost some, and a list without any was not written by an editor.
func reachesBack(ids []string, base catalogue.Catalogue) bool {
	if id := writeID(base); id != "" {
		return slices.Contains(ids, id)
	}
	return len(ids) > 0 && len(ids) < catalogue.MaxWriteIDs
}

// pause waits 50 to 150 ms, so that operators who race do not repeat in step.
func (e *Editor) pause(ctx context.Context) error {
	return sleep(ctx, 50*time.Millisecond+time.Duration(e.random.Int64N(int64(100*time.Millisecond))))
}

func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
