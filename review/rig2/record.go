//go:build review2

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record collects what clients, servers and the store have seen.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []line
}

// line is one observation.
type line struct {
	at   time.Duration
	text string
}

func newRecord() *record { return &record{began: time.Now()} }

// now is the time since the record began.
func (r *record) now() time.Duration { return time.Since(r.began) }

// addf adds an observation and returns its time.
func (r *record) addf(format string, values ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	r.lines = append(r.lines, line{at: at, text: fmt.Sprintf(format, values...)})
	return at
}

// write writes all observations to a file, in the order of their times.
func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return int(a.at - b.at) })
	var b strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%9.3f s  %s\n", l.at.Seconds(), l.text)
	}
	return os.WriteFile(file, []byte(b.String()), 0o600)
}
