// Package logger carries log lines to a stream that may be slow or not read at
// all, without ever holding up who writes them.
//
// Lines wait in a bounded queue. Above a rate, and when the queue is full, lines
// are dropped and counted; the next line that gets through is preceded by one
// that says how many were dropped. Warnings and errors have a part of the rate
// for themselves.
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
	// DefaultLines is the number of lines a second that are written for long.
	DefaultLines = 150
	// DefaultBurst is the number of lines that may come at once.
	DefaultBurst = 600
	// queueLength is the number of lines that wait for the stream.
	queueLength = 1024
	// reservedShare of the burst is kept for warnings and errors.
	reservedShare = 4
	// closeWait bounds the wait for the stream at the end.
	closeWait = 200 * time.Millisecond
)

// Writer is an io.Writer that takes one line with each Write. Set the fields,
// then call Start.
type Writer struct {
	// Out is the stream.
	Out io.Writer
	// Lines and Burst bound the volume; 0 means the defaults.
	Lines float64
	Burst float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	dropped atomic.Uint64
	queue   chan []byte
	ended   chan struct{}

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	told    uint64
	stopped bool
}

// Start begins to write to the stream.
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
	w.filled = w.Now()
	w.queue = make(chan []byte, queueLength)
	w.ended = make(chan struct{})
	go w.drain()
}

func (w *Writer) drain() {
	defer close(w.ended)
	for line := range w.queue {
		// A stream that can't be written to leaves nowhere to say so.
		_, _ = w.Out.Write(line)
	}
}

// Write takes a line or drops it. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || !w.allow(line) || !w.tellDropped() || !w.enqueue(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// allow takes a line out of the rate. The caller holds mu.
func (w *Writer) allow(line []byte) bool {
	now := w.Now()
	w.tokens = min(w.Burst, w.tokens+now.Sub(w.filled).Seconds()*w.Lines)
	w.filled = now
	least := 1.0
	if !urgent(line) {
		least += w.Burst / reservedShare
	}
	if w.tokens < least {
		return false
	}
	w.tokens--
	return true
}

// urgent says that a line is a warning or an error.
func urgent(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

// tellDropped puts a line about those dropped since the last one into the
// queue. The caller holds mu.
func (w *Writer) tellDropped() bool {
	n := w.dropped.Load()
	if n == w.told {
		return true
	}
	line := fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-w.told, n)
	if !w.enqueue([]byte(line)) {
		return false
	}
	w.told = n
	return true
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// Close lets the queued lines be written, for a moment at most.
func (w *Writer) Close() {
	w.mu.Lock()
	stopped := w.stopped
	w.stopped = true
	w.mu.Unlock()
	if stopped {
		return
	}
	close(w.queue)
	select {
	case <-w.ended:
	case <-time.After(closeWait):
	}
}
