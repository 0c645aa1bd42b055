package exchanger

import (
	"io"

	"almondstep/rationer"
)

const (
	// maxHeadBytes bounds the head of a response, including the interim responses before
	// it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses before the final one.
	maxInterimResponses = 8
	// maxFramingFactor limits the framing of a body, such as chunk headers and trailers:
	// after the head, at most maxHeadBytes and maxFramingFactor times the length of the
	// body are read from the connection.
	maxFramingFactor = 2
)

// limitedReader reads from a connection, and fails once remaining bytes were read.
type limitedReader struct {
	reader    io.Reader
	remaining int64
	// head counts what is read as long as inHead is set.
	head   rationer.Head
	inHead bool
	// failed is whether the connection itself failed or ended, as opposed to the limit
	// being exceeded.
	failed bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, rationer.ErrTooLong
	}
	n, err := l.reader.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	l.failed = l.failed || err != nil
	if !l.inHead {
		return n, err
	}
	if noMemory := l.head.Count(b[:n]); noMemory != nil {
		return 0, noMemory
	}
	return n, err
}

// beginBody ends a head, which stays counted, and starts the limit of the body's framing.
func (l *limitedReader) beginBody() {
	l.inHead = false
	l.remaining = maxHeadBytes
}

// beginHead returns the memory of the last head. The next response's may arrive at any time.
func (l *limitedReader) beginHead() {
	l.head.Release()
	l.inHead = true
	l.remaining = maxHeadBytes
}

// body reads a response's body. Each byte of the body raises the limit for the bytes read
// from the connection by maxFramingFactor, so that chunks may be short, but framing
// without content is bounded.
type body struct {
	io.Reader
	limited *limitedReader
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.limited.remaining += maxFramingFactor * int64(n)
	return n, err
}
