package messenger_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger"
)

// A response with an endless body or an oversized header ends the call within 5 s,
// after a bounded number of bytes.
func TestEndlessResponses(t *testing.T) {
	const (
		timeout = 20 * time.Second
		soon    = 5 * time.Second
		maxSent = 64 << 20
	)
	piece := bytes.Repeat([]byte("x"), 64<<10)
	for name, answer := range map[string]func(w http.ResponseWriter, sent *atomic.Int64){
		"body": func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/protobuf")
			for {
				n, err := w.Write(piece)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		},
		"head": func(w http.ResponseWriter, _ *atomic.Int64) {
			w.Header().Set("A", strings.Repeat("b", 1<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{
				Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w, &sent) }),
				Protocols:         protocols,
				ReadHeaderTimeout: timeout,
			}
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = s.Close() })
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			began := time.Now()
			_, err = (&messenger.Client{}).WatchRegistry(ctx, almondstep.Address(l.Addr().String()), &almondstep.RegistryUpdateRequest{After: 1})
			if !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("got %v, want ErrUnavailable", err)
			}
			if took := time.Since(began); took > soon {
				t.Errorf("call ended after %v, want it within %v", took, soon)
			}
			if got := sent.Load(); got > maxSent {
				t.Errorf("got %d bytes read, want at most %d", got, maxSent)
			}
		})
	}
}
