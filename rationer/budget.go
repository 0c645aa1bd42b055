// Package rationer bounds the memory of what other processes send.
//
// Each message that is being read reserves memory as it arrives. What all messages from one
// kind of sender hold together is bounded by a Budget; who would exceed it is cut off at
// once. Long messages are refused first, and a part is kept for short ones, so that a few
// senders of endless messages don't keep others from being heard.
//
//	b := &rationer.Budget{Limit: 32 << 20}
//	body, held, err := b.ReadAll(resp.Body, resp.ContentLength, 8<<20)
//	defer b.Release(held)
package rationer

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNoMemory is returned if a message would exceed its sender's budget.
var ErrNoMemory = errors.New("messages exceed the memory limit")

const (
	// shortBytes is the length up to which a message is short.
	shortBytes = 16 << 10
	// shortFraction is the reciprocal of the part of a budget that is kept for short messages.
	shortFraction = 4
)

// Budget bounds the memory of all messages that are being read from one kind of sender. Set
// Limit before the first call. A nil Budget has no limit.
//
// A long message may grow only if its new length is at most what is free before, apart from
// the part that is kept for short ones. So the longest ones are refused first.
//
// Example: if five messages hold 5 MB each of 40 MB, none of them can grow any more. Of the
// other 15 MB, 10 MB are kept for short messages, and another long one may have up to 5 MB.
type Budget struct {
	// Limit is the number of bytes that all messages may hold together; 0 means that it isn't
	// limited.
	Limit int64

	mu   sync.Mutex
	held int64
}

// Reserve reserves n more bytes for a message that holds some already, and reports whether
// they were granted.
func (b *Budget) Reserve(held, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.Limit - b.held
	if held+n > shortBytes {
		free -= b.Limit / shortFraction
	}
	if b.Limit > 0 && (n > free || held+n > shortBytes && held+n > free) {
		return false
	}
	b.held += n
	return true
}

// Release returns reserved bytes.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Held returns the number of bytes that messages hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
