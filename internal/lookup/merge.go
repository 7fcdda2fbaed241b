package lookup

import "bytes"

// recordSize is the length of one record of a part.
const recordSize = 16

// merge returns the greatest records of the parts, greatest first, compared byte by byte. Equal records all count, and a
// rest of a part that is shorter than a record is none.
func merge(parts [][]byte, keep int) []byte {
	best := make([]byte, 0, keep*recordSize)
	if keep <= 0 {
		return best
	}
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			best = insert(best, part[:recordSize], keep)
		}
	}
	return best
}

// largePart is the size from which only the greatest records of a part are kept.
const largePart = 4 << 10

// greatest returns a part without the records that cannot be among the greatest of any answer.
func greatest(part []byte, keep int) []byte {
	if len(part) <= largePart {
		return part
	}
	return merge([][]byte{part}, keep)
}

// insert puts the record at its place among the best in falling order and drops the least beyond keep.
func insert(best, record []byte, keep int) []byte {
	full := len(best) == keep*recordSize
	if full && bytes.Compare(record, best[len(best)-recordSize:]) <= 0 {
		return best
	}
	if !full {
		best = best[:len(best)+recordSize]
	}
	at := len(best) - recordSize
	for at > 0 && bytes.Compare(best[at-recordSize:at], record) < 0 {
		copy(best[at:at+recordSize], best[at-recordSize:at])
		at -= recordSize
	}
	copy(best[at:], record)
	return best
}
