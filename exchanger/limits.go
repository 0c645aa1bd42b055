package exchanger

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of an answer, with the interim heads before it.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
	// framing is how many times as long as its body an answer may be on the
	// connection, beyond maxHeadBytes.
	framing = 2
	// leastStep is the room for a body whose length isn't known, and mostStep the
	// most for one that only states its length.
	leastStep = 1 << 10
	mostStep  = 16 << 10
)

var (
	errTooLong  = errors.New("the answer is too long")
	errNoMemory = errors.New("answers hold too much memory")
)

// limiter bounds what is read of a connection for one answer.
type limiter struct {
	from io.Reader
	left int64
	// broken says that the connection itself has failed or ended.
	broken bool
}

func (l *limiter) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.from.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	l.broken = l.broken || err != nil
	return n, err
}

// body is an answer's body. Each byte of it allows a few more on the connection,
// so that chunks may be short, but not nearly all framing.
type body struct {
	io.Reader
	limit *limiter
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.limit.left += framing * int64(n)
	return n, err
}

// memory bounds the bytes of all answers that are being read. An answer may grow
// as long as it holds less than what is free, so that the longest are given up
// first and short ones are still read.
//
// Example: of 40 MB, four answers without end hold at most 8 MB each, and any
// other answer may still be as long as that.
type memory struct {
	mu   sync.Mutex
	left int64
}

// grow takes n more bytes for an answer that holds some already.
func (m *memory) grow(held, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held+n > m.left {
		return false
	}
	m.left -= n
	return true
}

// release gives an answer's bytes back.
func (m *memory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// readBody reads a body of at most limit bytes. Its stated length, if it has one,
// is only believed as far as the first buffer.
func (m *memory) readBody(r io.Reader, stated, limit int64) ([]byte, error) {
	var read []byte
	held := int64(0)
	first := min(max(leastStep, stated+1), mostStep)
	defer func() { m.release(held) }()
	for {
		if len(read) == cap(read) {
			// The buffer doubles, so that long bodies are copied seldom.
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
