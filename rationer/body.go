package rationer

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = errors.New("message is too long")

// minFirstBufferBytes and maxFirstBufferBytes bound the length of the first buffer for a
// body. The minimum is used for a body without a stated length.
const (
	minFirstBufferBytes = 1 << 10
	maxFirstBufferBytes = 16 << 10
)

// ReadAll reads a body of at most maxBytes bytes. Its stated length, -1 if there is none, only
// determines the length of the first buffer: more memory is reserved only as the body
// arrives. held is the memory of the body, which the caller releases; it is 0 if there is an
// error.
func (b *Budget) ReadAll(r io.Reader, stated, maxBytes int64) (body []byte, held int64, err error) {
	first := min(max(minFirstBufferBytes, stated+1), maxFirstBufferBytes)
	for {
		if len(body) == cap(body) {
			// Doubling the buffer limits the copying of a long body.
			step := max(first, int64(cap(body)))
			if !b.Reserve(held, step) {
				err = ErrNoMemory
				break
			}
			held += step
			body = append(make([]byte, 0, int64(len(body))+step), body...)
		}
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > maxBytes {
			err = ErrTooLong
		}
		if err != nil {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		return body, held, nil
	}
	b.Release(held)
	return nil, 0, err
}
