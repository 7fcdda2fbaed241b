package lookup

import "bytes"

// recordSize is the length of one record in a part's body.
const recordSize = 16

// merge returns the maxRecords greatest records of the parts in descending byte order. Equal records are all kept.
// Trailing bytes of a part that do not make up a whole record are ignored.
func merge(parts [][]byte, maxRecords int) []byte {
	best := make([]byte, 0, maxRecords*recordSize)
	if maxRecords <= 0 {
		return best
	}
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			best = insertRecord(best, part[:recordSize], maxRecords)
		}
	}
	return best
}

// trimThreshold is the body size above which only the greatest records of a part are kept.
const trimThreshold = 4 << 10

// topRecords returns the records of a part that can be among the greatest of a merged answer. Small parts are returned
// unchanged.
func topRecords(part []byte, maxRecords int) []byte {
	if len(part) <= trimThreshold {
		return part
	}
	return merge([][]byte{part}, maxRecords)
}

// insertRecord inserts a record into best, which is in descending order, and drops the last record beyond maxRecords.
func insertRecord(best, record []byte, maxRecords int) []byte {
	full := len(best) == maxRecords*recordSize
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
