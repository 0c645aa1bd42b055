package rationer

import (
	"io"
	"net/http"
)

// requestBytes is reserved for each request that came over another connection than those of a
// Listener, for its head and the goroutine that serves it.
const requestBytes = 8 << 10

// copiesOfBody is how many times the memory of a body is needed while it is read: its reader's
// buffer grows by copying, or the body is decoded.
const copiesOfBody = 2

// Handler counts the requests to another handler. The head of a request, and what the handler
// reads of its body, are counted until the handler returns.
type Handler struct {
	Handler http.Handler
	// Budget is for the bodies, and for heads that no Listener counts.
	Budget *Budget
	// Refuse responds to a request for which there is no memory; nil means with status 503.
	Refuse http.HandlerFunc
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.beginBody() {
		defer c.endRequest()
	} else {
		if !h.Budget.Reserve(0, requestBytes) {
			h.refuse(w, r)
			return
		}
		defer h.Budget.Release(requestBytes)
	}
	body := &Body{ReadCloser: r.Body, Budget: h.Budget}
	defer body.Release()
	r.Body = body
	h.Handler.ServeHTTP(w, r)
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request) {
	if h.Refuse != nil {
		h.Refuse(w, r)
		return
	}
	http.Error(w, ErrNoMemory.Error(), http.StatusServiceUnavailable)
}

// Body counts what is read from a body until it is closed or released. Reading fails with
// ErrNoMemory once it exceeds the budget.
type Body struct {
	io.ReadCloser
	Budget *Budget

	held int64
}

// Read reads from the body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	cost := copiesOfBody * int64(n)
	if !b.Budget.Reserve(b.held, cost) {
		return 0, ErrNoMemory
	}
	b.held += cost
	return n, err
}

// Close closes the body and returns its memory.
func (b *Body) Close() error {
	b.Release()
	return b.ReadCloser.Close()
}

// Release returns the memory of what was read.
func (b *Body) Release() {
	b.Budget.Release(b.held)
	b.held = 0
}
