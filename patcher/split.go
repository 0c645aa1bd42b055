package patcher

import "almondstep/decoder"

// entryDepth is the number of open brackets around an entry: those of the outermost
// object and of the list.
const entryDepth = 2

// split cuts a document into spans, each ending after the comma of an entry. The rest of
// the document is the last span. Members of an object inside the outermost one are cut
// in the same way.
func split(body []byte) [][]byte {
	var spans [][]byte
	depth, start := 0, 0
	for i, c := range decoder.StructuralBytes(body) {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',':
			if depth == entryDepth {
				spans = append(spans, body[start:i+1])
				start = i + 1
			}
		}
	}
	if start < len(body) {
		spans = append(spans, body[start:])
	}
	return spans
}
