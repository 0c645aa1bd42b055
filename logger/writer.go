// Package logger writes log lines to a stream that may be slow or not read at
// all, without ever blocking the callers.
//
// Lines wait in a bounded queue. Lines above the rate limit, and those written while
// the queue is full, are dropped and counted; the next accepted line is preceded by
// one with the number of dropped lines. Part of the burst is reserved for warnings and
// errors.
//
//	w := &logger.Writer{Out: os.Stdout}
//	w.Start()
//	defer w.Close()
//	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is the sustained number of lines per second.
	DefaultLines = 150
	// DefaultBurst is the number of lines that may be written at once.
	DefaultBurst = 600
	// queueLength bounds the number of lines that wait for the stream.
	queueLength = 1024
	// reservedDivisor sets the part of the burst that is reserved for warnings and
	// errors: Burst / reservedDivisor.
	reservedDivisor = 4
	// closeTimeout bounds how long Close waits for the stream.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that expects one line per Write. Set the fields, then
// call Start. Write, Dropped and Close are safe for concurrent use.
type Writer struct {
	// Out is the stream.
	Out io.Writer
	// Lines is the rate limit in lines per second and Burst the number of lines that
	// may be written at once; 0 means DefaultLines and DefaultBurst.
	Lines float64
	Burst float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	dropped atomic.Uint64
	queue   chan []byte
	done    chan struct{}

	mu              sync.Mutex
	tokens          float64
	refilledAt      time.Time
	reportedDropped uint64
	closed          bool
}

// Start starts the goroutine that writes to the stream.
func (w *Writer) Start() {
	if w.Lines == 0 {
		w.Lines = DefaultLines
	}
	if w.Burst == 0 {
		w.Burst = DefaultBurst
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	w.tokens = w.Burst
	w.refilledAt = w.Now()
	w.queue = make(chan []byte, queueLength)
	w.done = make(chan struct{})
	go w.writeQueued()
}

// writeQueued writes the queued lines to the stream until the queue is closed.
func (w *Writer) writeQueued() {
	defer close(w.done)
	for line := range w.queue {
		// There is nowhere to report a failed write to the log stream.
		_, _ = w.Out.Write(line)
	}
}

// Write queues a line or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow(line) || !w.reportDropped() || !w.enqueue(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// allow applies the rate limit to a line. The caller holds mu.
func (w *Writer) allow(line []byte) bool {
	now := w.Now()
	w.tokens = min(w.Burst, w.tokens+now.Sub(w.refilledAt).Seconds()*w.Lines)
	w.refilledAt = now
	minTokens := 1.0
	if !isWarningOrError(line) {
		minTokens += w.Burst / reservedDivisor
	}
	if w.tokens < minTokens {
		return false
	}
	w.tokens--
	return true
}

// isWarningOrError reports whether a line is a warning or an error in hclog's JSON format.
func isWarningOrError(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

// reportDropped queues a line with the number of lines dropped since the last such
// line, if there are any. It returns false if the queue is full. The caller holds mu.
func (w *Writer) reportDropped() bool {
	n := w.dropped.Load()
	if n == w.reportedDropped {
		return true
	}
	line := fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-w.reportedDropped, n)
	if !w.enqueue([]byte(line)) {
		return false
	}
	w.reportedDropped = n
	return true
}

// enqueue returns false if the queue is full.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// Close waits until the queued lines are written, at most 200 ms. Lines written
// after Close are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	wasClosed := w.closed
	w.closed = true
	w.mu.Unlock()
	if wasClosed {
		return
	}
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
