package merger

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordBytes is the length of a record of Greatest, which is compared byte by byte.
const RecordBytes = 16

// record contains RecordBytes bytes as two big-endian numbers. Comparing high and then
// low gives the same order as comparing the bytes.
type record struct{ high, low uint64 }

// Greatest returns the greatest records of all parts, at most limit of them, greatest
// first. Each of several equal records counts towards the limit. Trailing bytes of a
// part that are shorter than a record are ignored.
//
// Example: with a limit of 2, the parts AB and C, where each letter stands for a record,
// give CB.
func Greatest(limit int, parts ...[]byte) []byte {
	var records []record
	for _, p := range parts {
		records = appendRecords(records, p)
	}
	slices.SortFunc(records, func(a, b record) int {
		return cmp.Or(cmp.Compare(b.high, a.high), cmp.Compare(b.low, a.low))
	})
	records = records[:min(limit, len(records))]
	merged := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

func appendRecords(records []record, part []byte) []record {
	const half = RecordBytes / 2
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		records = append(records, record{
			high: binary.BigEndian.Uint64(part),
			low:  binary.BigEndian.Uint64(part[half:]),
		})
	}
	return records
}
