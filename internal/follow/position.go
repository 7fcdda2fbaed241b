package follow

import "cmp"

// Position is a point in the history of the store. A store that was restored from a copy begins a new era, in which it
// gives out the revisions after the copy again; revisions of different eras cannot be compared.
type Position struct {
	// Era is the number of the store's era; 0 if the store did not name it.
	Era uint64
	// Revision is the store's revision; 0 if nothing is known of the store.
	Revision uint64
}

// Before reports whether p is an earlier position than other.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision)) < 0
}
