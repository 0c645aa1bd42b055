package patcher

import "hash/fnv"

// Index holds a fingerprint of each span of an edition. It is all that Make
// needs of an old edition, at a hundredth of its size, so that many former
// editions can be kept. Two spans with the same fingerprint would make a patch
// that doesn't give the new edition's hash; the receiver then asks for the full
// text.
type Index struct {
	bytes int
	spans []uint64
}

// NewIndex fingerprints an edition.
func NewIndex(body []byte) Index {
	parts := split(body)
	spans := make([]uint64, len(parts))
	for i, p := range parts {
		spans[i] = fingerprint(p)
	}
	return Index{bytes: len(body), spans: spans}
}

// Spans is the number of spans.
func (x Index) Spans() int { return len(x.spans) }

func fingerprint(span []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(span)
	return h.Sum64()
}
