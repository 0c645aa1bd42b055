package messenger_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger"
	"almondstep/messenger/peerpb"
	"almondstep/rationer"
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

const (
	// memoryBudget is the budget of the daemon in these tests, and memoryMost what may be in
	// use, with the buffers of the connections and of the other side.
	memoryBudget = 4 << 20
	memoryMost   = 48 << 20
	// memorySenders is the number of messages without end at the same time.
	memorySenders = 100
)

// heapBytes is the size of the heap objects that are in use, in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// probeMeanwhile makes ordinary calls, which must be served, and checks that no more than
// memoryMost is in use.
func probeMeanwhile(t *testing.T, c *messenger.Client, to almondstep.Address, before int64) {
	t.Helper()
	for range 20 {
		if _, _, err := c.Probe(t.Context(), to, "", &almondstep.Digest{}); err != nil {
			t.Errorf("an ordinary call: got %v, want no error", err)
		}
		if got := heapBytes() - before; got > memoryMost {
			t.Fatalf("got %d bytes more in use, want at most %d", got, memoryMost)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// endlessBody is the body of a request: bytes at once, and then nothing until it is closed.
type endlessBody struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

// Read reads the bytes, and then waits.
func (b *endlessBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.closed
	}
	return n, err
}

// Close ends the body.
func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against a daemon that runs out of memory: faulty daemons send many requests without
// end at the same time. Together they hold no more than the budget, the rest is refused, and
// ordinary requests are served.
func TestEndlessRequestsOfDaemonsShareMemoryBudget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &messenger.Server{Peer: &echo{}, Budget: &rationer.Budget{Limit: memoryBudget}}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	piece := bytes.Repeat([]byte("x"), 1<<20)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	before := heapBytes()
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	var ended atomic.Int64
	for range memorySenders {
		senders.Go(func() {
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			body := &endlessBody{Reader: bytes.NewReader(piece), closed: make(chan struct{})}
			context.AfterFunc(ctx, func() { body.Close() })
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+peerpb.PeerPathPrefix+"Probe", body)
			r.Header.Set("Content-Type", "application/protobuf")
			if resp, err := transport.RoundTrip(r); err == nil {
				resp.Body.Close()
			}
			ended.Add(1)
		})
	}
	c := &messenger.Client{}
	probeMeanwhile(t, c, almondstep.Address(l.Addr().String()), before)
	if ended.Load() == 0 {
		t.Error("no endless request is refused")
	}
	cancel()
	senders.Wait()
}

// Guards against a daemon that runs out of memory: many faulty daemons send responses without
// end at the same time.
func TestEndlessResponsesOfDaemonsShareMemoryBudget(t *testing.T) {
	piece := bytes.Repeat([]byte("x"), 1<<20)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Protocols: protocols, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(piece)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	good := serve(t, &echo{})
	c := &messenger.Client{Budget: &rationer.Budget{Limit: memoryBudget}}
	before := heapBytes()
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	var ended atomic.Int64
	for range memorySenders {
		calls.Go(func() {
			_, _ = c.WatchRegistry(ctx, almondstep.Address(l.Addr().String()), &almondstep.RegistryUpdateRequest{After: 1})
			ended.Add(1)
		})
	}
	probeMeanwhile(t, c, good, before)
	if ended.Load() == 0 {
		t.Error("no endless response is given up")
	}
	cancel()
	calls.Wait()
}
