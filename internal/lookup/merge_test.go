package lookup

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMerge checks that a merged answer holds the greatest records in descending order, also with equal records, parts
// that end in the middle of a record, and fewer records than are kept.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70)
		parts := rapid.SliceOfN(part, 0, 6).Draw(t, "parts")
		keep := rapid.IntRange(0, 12).Draw(t, "keep")
		var records [][]byte
		for _, p := range parts {
			for at := 0; at+recordSize <= len(p); at += recordSize {
				records = append(records, p[at:at+recordSize])
			}
		}
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(keep, len(records))], nil)
		if got := merge(parts, keep); !bytes.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
