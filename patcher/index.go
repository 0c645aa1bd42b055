package patcher

import "hash/fnv"

// Index holds a fingerprint of each span of a version. It is all that Make needs of an
// old version, and much smaller (8 bytes for each span), so that many former versions
// can be kept. Different spans with the same fingerprint would result in a patch that
// doesn't reproduce the new version's hash; the receiver then requests the full text.
type Index struct {
	bytes int
	spans []uint64
}

// NewIndex returns the index of a version.
func NewIndex(body []byte) Index {
	texts := split(body)
	spans := make([]uint64, len(texts))
	for i, text := range texts {
		spans[i] = fingerprint(text)
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
