package dggather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record of a part.
const RecordBytes = 16

// Merge returns the greatest records of all parts, greatest first, at most top of
// them. Equal records all count. A remainder shorter than a record is dropped.
func Merge(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			records = append(records, p[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
