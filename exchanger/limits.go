package exchanger

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of a response, including preceding interim ones.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses before the final one.
	maxInterimResponses = 8
	// maxFramingFactor is the maximum ratio of a response's bytes on the connection,
	// beyond maxHeadBytes, to those of its body.
	maxFramingFactor = 2
	// minFirstStep is the first buffer's length for a body of unknown length, and
	// maxFirstStep the maximum for a body with a stated length.
	minFirstStep = 1 << 10
	maxFirstStep = 16 << 10
)

var (
	errTooLong  = errors.New("response is too long")
	errNoMemory = errors.New("responses exceed the memory limit")
)

// limitedReader bounds the bytes read from a connection for one response.
type limitedReader struct {
	reader io.Reader
	left   int64
	// failed is whether reading from the connection itself failed or reached its end.
	failed bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.reader.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	l.failed = l.failed || err != nil
	return n, err
}

// body reads a response's body. Each byte of it raises the limit for the connection,
// so that chunks may be short but the framing can't grow without bound.
type body struct {
	io.Reader
	limit *limitedReader
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.limit.left += maxFramingFactor * int64(n)
	return n, err
}

// memoryBudget bounds the bytes of all responses that are being read. A response may
// grow as long as it holds less than what is free, so that the longest ones are
// abandoned first and short ones are still read.
//
// Example: of 40 MB, four endless responses hold at most 8 MB each, and any other
// response may still reach that length.
type memoryBudget struct {
	mu   sync.Mutex
	left int64
}

// grow reserves n more bytes for a response that already holds some, and reports
// whether it could.
func (m *memoryBudget) grow(held, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held+n > m.left {
		return false
	}
	m.left -= n
	return true
}

// release returns a response's bytes to the budget.
func (m *memoryBudget) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// readBody reads a body of at most limit bytes. Its stated length, if any, only
// determines the length of the first buffer, up to maxFirstStep.
func (m *memoryBudget) readBody(r io.Reader, stated, limit int64) ([]byte, error) {
	var read []byte
	held := int64(0)
	first := min(max(minFirstStep, stated+1), maxFirstStep)
	defer func() { m.release(held) }()
	for {
		if len(read) == cap(read) {
			// Doubling the buffer keeps the copying of long bodies low.
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
		case int64(len(read)) > limit:
			return nil, errTooLong
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return nil, err
		}
	}
}
