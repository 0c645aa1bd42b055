package logger_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondstep/logger"
)

// A stream that nobody reads never blocks the callers, and dropped lines are
// counted.
func TestStreamThatNobodyReads(t *testing.T) {
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w := &logger.Writer{Out: out, Lines: 1e9, Burst: 1e9}
	w.Start()
	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	const lines = 5000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range lines {
			log.Info("request answered", "n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocks on the stream")
	}
	if got := w.Dropped(); got == 0 || got >= lines {
		t.Errorf("got %d lines dropped of %d, want some", got, lines)
	}
	w.Close()
}

// The volume is bounded, warnings are written where other lines are already
// dropped, and a line reports the number of dropped lines.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	w := &logger.Writer{Out: &out, Lines: 10, Burst: 40, Now: func() time.Time { return now }}
	w.Start()
	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	for range 100 {
		log.Info("flood")
	}
	log.Warn("registry lost")
	now = now.Add(2 * time.Second)
	log.Info("later")
	w.Close()
	got := out.String()
	if n, most := strings.Count(got, "flood"), 40; n > most || n == 0 {
		t.Errorf("got %d lines of the flood, want some and at most %d", n, most)
	}
	for _, want := range []string{"registry lost", "log lines dropped", "later"} {
		if !strings.Contains(got, want) {
			t.Errorf("got no line with %q", want)
		}
	}
	if got, want := w.Dropped()+uint64(strings.Count(got, "flood")), uint64(100); got != want {
		t.Errorf("got %d lines written or counted, want %d", got, want)
	}
}
