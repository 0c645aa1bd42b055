package rationer

import "bytes"

// FieldBytes is the memory that a header field takes besides its text: its entries in
// net/http's map and in our own list.
const FieldBytes = 192

// Head counts the memory of a head while it is read. Its budget is set before the first
// call.
type Head struct {
	Budget *Budget

	held int64
}

// Count reserves memory for a part of the head that has just been read. It returns
// ErrNoMemory if the budget doesn't allow it.
func (h *Head) Count(part []byte) error {
	cost := int64(len(part)) + FieldBytes*int64(bytes.Count(part, []byte{'\n'}))
	if !h.Budget.Reserve(h.held, cost) {
		return ErrNoMemory
	}
	h.held += cost
	return nil
}

// Release returns the memory of the head.
func (h *Head) Release() {
	h.Budget.Release(h.held)
	h.held = 0
}
