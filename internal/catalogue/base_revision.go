package catalogue

import (
	"fmt"
	"math"

	"github.com/medlarlatch/medlarlatch/internal/document"
)

// baseRevisionKey is written only to a file for editing; the document in the store does not have it.
const baseRevisionKey = "base-revision"

// BaseRevision is the store's revision of the document that an edited file was made from. It identifies a document that
// was not written by a command of this program and therefore has no write id.
type BaseRevision struct {
	// Revision is 0 if there was no document.
	Revision uint64
	// Known is set if the file states its base revision.
	Known bool
}

// Base returns the revision that the catalogue was made from. Its Known is false if the text does not state it.
func (c Catalogue) Base() BaseRevision { return c.base }

// WithBase returns a copy whose text states the revision that it was made from.
func (c Catalogue) WithBase(base BaseRevision) Catalogue {
	c.base = base
	return c
}

func parseBaseRevision(section *document.Section) BaseRevision {
	if !section.Present(baseRevisionKey) {
		return BaseRevision{}
	}
	return BaseRevision{Revision: uint64(section.Integer(baseRevisionKey, 0, math.MaxInt)), Known: true}
}

func (b BaseRevision) format() string {
	if !b.Known {
		return ""
	}
	return fmt.Sprintf("%s = %d\n", baseRevisionKey, b.Revision)
}
