package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the case's record.txt: what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// line writes one line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
