package catalogue

import (
	"fmt"
	"math"

	"github.com/medlarlatch/medlarlatch/internal/document"
)

// keyBase is written for editing only; the document in the store does not have it.
const keyBase = "base-revision"

// BaseRevision is the store's revision of the document that an edited file was made from. A document that no verb has
// written has no write id to tell it by.
type BaseRevision struct {
	// Revision is 0 if there was no document.
	Revision uint64
	Known    bool
}

// Base returns the revision that the catalogue was made from, if its text says so.
func (c Catalogue) Base() BaseRevision { return c.base }

// WithBase returns a copy whose text says what it was made from.
func (c Catalogue) WithBase(base BaseRevision) Catalogue {
	c.base = base
	return c
}

func parseBase(section *document.Section) BaseRevision {
	if !section.Present(keyBase) {
		return BaseRevision{}
	}
	return BaseRevision{Revision: uint64(section.Integer(keyBase, 0, math.MaxInt)), Known: true}
}

func (b BaseRevision) format() string {
	if !b.Known {
		return ""
	}
	return fmt.Sprintf("%s = %d\n", keyBase, b.Revision)
}
