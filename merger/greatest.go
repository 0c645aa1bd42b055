package merger

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordBytes is the length of a record that is compared byte by byte.
const RecordBytes = 16

// record holds 16 bytes as two big-endian halves, which compare like the bytes.
type record struct{ high, low uint64 }

// Greatest returns the limit greatest records of all parts, greatest first. Equal
// records all count. Trailing bytes of a part that are shorter than a record are
// ignored.
//
// Example: Greatest(2, "…A…B", "…C") gives "…C…B".
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
