package decoder

import (
	"bytes"
	"iter"
)

// StructuralBytes yields each bracket, brace and comma outside of strings and
// comments, with its offset. It doesn't parse the text, so it also works on invalid text and is
// fast.
func StructuralBytes(body []byte) iter.Seq2[int, byte] {
	return func(yield func(int, byte) bool) {
		for i := 0; i < len(body); i++ {
			switch c := body[i]; c {
			case '"':
				i = endOfString(body, i)
			case '/':
				i = endOfComment(body, i)
			case '{', '}', '[', ']', ',':
				if !yield(i, c) {
					return
				}
			}
		}
	}
}

// endOfString returns the offset of the closing quote of the string at i.
func endOfString(body []byte, i int) int {
	for i++; i < len(body) && body[i] != '"'; i++ {
		if body[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment that begins at
// i, or i itself if no comment begins there.
func endOfComment(body []byte, i int) int {
	rest := body[i:]
	var mark string
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		mark = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		mark = "*/"
	default:
		return i
	}
	const opening = len("//")
	end := bytes.Index(rest[opening:], []byte(mark))
	if end < 0 {
		return len(body)
	}
	return i + opening + end + len(mark) - 1
}
