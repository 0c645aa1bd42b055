package exchanger

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
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
	// minFirstBufferBytes and maxFirstBufferBytes bound the length of the first buffer for
	// a body. The minimum is used for a body without a stated length.
	minFirstBufferBytes = 1 << 10
	maxFirstBufferBytes = 16 << 10
)

var (
	errTooLong  = errors.New("response is too long")
	errNoMemory = errors.New("responses exceed the memory limit")
)

// limitedReader reads from a connection, and fails once remaining bytes were read.
type limitedReader struct {
	reader    io.Reader
	remaining int64
	// failed is whether the connection itself failed or ended, as opposed to the limit
	// being exceeded.
	failed bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := l.reader.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	l.failed = l.failed || err != nil
	return n, err
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

// memoryBudget bounds the bytes of all responses that are being read. A response may
// grow only if its new length is at most what is free before, so that reading the
// longest ones fails first and short ones are still read.
//
// Example: if four responses hold 8 MB each of 40 MB, none of them can grow any more.
// The other 8 MB are free for shorter ones.
type memoryBudget struct {
	mu sync.Mutex
	// free is the number of bytes that no response holds.
	free int64
}

// grow reserves n more bytes for a response that already holds some, and reports whether
// they were granted.
func (m *memoryBudget) grow(held, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held+n > m.free {
		return false
	}
	m.free -= n
	return true
}

// release returns n reserved bytes to the budget.
func (m *memoryBudget) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}

// readBody reads a body of at most maxBytes bytes. Its stated length, -1 if there is
// none, only determines the length of the first buffer: more memory is reserved only as
// the body arrives.
func (m *memoryBudget) readBody(r io.Reader, stated, maxBytes int64) ([]byte, error) {
	var read []byte
	held := int64(0)
	first := min(max(minFirstBufferBytes, stated+1), maxFirstBufferBytes)
	defer func() { m.release(held) }()
	for {
		if len(read) == cap(read) {
			// Doubling the buffer limits the copying of a long body.
			step := max(first, int64(cap(read)))
			if !m.grow(held, step) {
				return nil, errNoMemory
			}
			held += step
			read = append(make([]byte, 0, int64(len(read))+step), read...)
		}
		n, err := r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case int64(len(read)) > maxBytes:
			return nil, errTooLong
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return nil, err
		}
	}
}
