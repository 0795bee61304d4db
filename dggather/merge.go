package dggather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of each record in a part.
const RecordBytes = 16

// Merge returns the topK greatest records of all parts in descending byte order.
// Equal records are all kept. Trailing bytes of a part that do not fill a record
// are ignored.
func Merge(parts [][]byte, topK int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			records = append(records, p[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(topK, len(records))]
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
