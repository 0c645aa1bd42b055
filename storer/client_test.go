package storer_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/standin/platform"
	"almondstep/storer"
)

// start runs a stand-in platform on a loopback port, and returns it with a
// client for it.
func start(t testing.TB) (*platform.Server, *storer.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &platform.Server{Listener: ln}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	c := &storer.Client{Base: "http://" + ln.Addr().String(), Timeout: 200 * time.Millisecond, Grace: 200 * time.Millisecond}
	t.Cleanup(func() {
		c.Close()
		cancel()
		<-done
	})
	return p, c
}

func ExampleClient() {
	srv := httptest.NewServer(&platform.Server{})
	defer srv.Close()
	c := &storer.Client{Base: srv.URL}
	defer c.Close()
	ctx := context.Background()

	absent, _ := c.Get(ctx, "config")
	revision, _ := c.CompareAndSwap(ctx, "config", absent.Revision, []byte("first"))
	_, err := c.CompareAndSwap(ctx, "config", absent.Revision, []byte("second"))
	fmt.Println(absent.Revision, revision, errors.Is(err, almondstep.ErrConflict))
	// Output: 0 1 true
}

func TestCompareAndSwap(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	steps := []struct {
		name  string
		base  uint64
		value string
		want  uint64
		err   error
	}{
		{"absent key with a base", 3, "x", 0, almondstep.ErrConflict},
		{"absent key", 0, "a", 1, nil},
		{"present key as absent", 0, "b", 0, almondstep.ErrConflict},
		{"present key", 1, "", 2, nil},
		{"old base", 1, "c", 0, almondstep.ErrConflict},
		{"after an empty value", 2, "d", 3, nil},
	}
	for _, s := range steps {
		got, err := c.CompareAndSwap(ctx, "a key/with ?&", s.base, []byte(s.value))
		if got != s.want || !errors.Is(err, s.err) {
			t.Errorf("%s: got %d, %v, want %d, %v", s.name, got, err, s.want, s.err)
		}
	}
	e, err := c.Get(ctx, "a key/with ?&")
	if got, want := string(e.Value), "d"; got != want || e.Revision != 3 || err != nil {
		t.Errorf("got %q at %d, %v, want %q at 3", got, e.Revision, err, want)
	}
}

// If an answer is lost, the error is ErrUnavailable although the write has taken
// effect.
func TestLostAnswer(t *testing.T) {
	p, c := start(t)
	ctx := context.Background()
	p.SetSwitches(platform.Switches{LostAnswers: true})
	_, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"))
	if !errors.Is(err, almondstep.ErrUnavailable) || errors.Is(err, almondstep.ErrConflict) {
		t.Errorf("got %v, want ErrUnavailable alone", err)
	}
	p.SetSwitches(platform.Switches{})
	e, err := c.Get(ctx, "k")
	if got, want := string(e.Value), "v"; got != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
	if got, want := p.Counts()["put"], 1; got != want {
		t.Errorf("got %d writes at the platform, want %d", got, want)
	}
}

// While the platform doesn't answer, no write takes effect and every call ends in
// bounded time.
func TestNoAnswer(t *testing.T) {
	for name, sw := range map[string]platform.Switches{
		"outage": {Outage: true},
		"silent": {Silent: true},
		"slow":   {SlowMillis: 60_000},
	} {
		t.Run(name, func(t *testing.T) {
			p, c := start(t)
			ctx := context.Background()
			p.SetSwitches(sw)
			if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v")); !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("write: got %v, want ErrUnavailable", err)
			}
			if _, err := c.Get(ctx, "k"); !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("read: got %v, want ErrUnavailable", err)
			}
			if err := c.Lease(ctx, "l", "a", time.Second); !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("lease: got %v, want ErrUnavailable", err)
			}
			if _, err := c.Fleet(ctx, 0, time.Millisecond); !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("fleet: got %v, want ErrUnavailable", err)
			}
			if got := p.Entry("k").Revision; got != 0 {
				t.Errorf("got revision %d, want 0", got)
			}
		})
	}
}

// If the platform stops answering on open connections during a watch, the watch ends
// with ErrUnavailable and later calls use new connections.
func TestSilentWatch(t *testing.T) {
	p, c := start(t)
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v")); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(ctx, "k", 1, 100*time.Millisecond)
		ended <- err
	}()
	for p.Counts()["get"] == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetSwitches(platform.Switches{SilentOpen: true})
	if err := <-ended; !errors.Is(err, almondstep.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	if _, err := c.Get(ctx, "k"); err != nil {
		t.Errorf("over a new connection: got %v, want no error", err)
	}
}

func TestWatch(t *testing.T) {
	p, c := start(t)
	ctx := context.Background()
	e, err := c.Watch(ctx, "k", 0, 10*time.Millisecond)
	if e.Revision != 0 || err != nil {
		t.Errorf("unchanged: got %d, %v, want 0 and no error", e.Revision, err)
	}
	go func() {
		for p.Counts()["get"] < 2 {
			time.Sleep(time.Millisecond)
		}
		_, _ = c.CompareAndSwap(ctx, "k", 0, []byte("v"))
	}()
	e, err = c.Watch(ctx, "k", 0, 30*time.Second)
	if e.Revision != 1 || err != nil {
		t.Errorf("changed: got %d, %v, want 1 and no error", e.Revision, err)
	}
}

func TestLease(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	p := &platform.Server{Listener: ln, Now: func() time.Time { return now }}
	srv := httptest.NewServer(p)
	defer srv.Close()
	c := &storer.Client{Base: srv.URL}
	defer c.Close()
	ctx := context.Background()
	if err := c.Lease(ctx, "zone", "a", time.Second); err != nil {
		t.Errorf("free: got %v, want no error", err)
	}
	if err := c.Lease(ctx, "zone", "b", time.Second); !errors.Is(err, almondstep.ErrConflict) {
		t.Errorf("held: got %v, want ErrConflict", err)
	}
	if err := c.Lease(ctx, "zone", "a", time.Second); err != nil {
		t.Errorf("renewed: got %v, want no error", err)
	}
	now = now.Add(time.Second)
	if err := c.Lease(ctx, "zone", "b", time.Second); err != nil {
		t.Errorf("expired: got %v, want no error", err)
	}
	if err := c.Lease(ctx, "zone", "a", time.Second); !errors.Is(err, almondstep.ErrConflict) {
		t.Errorf("the former holder: got %v, want ErrConflict", err)
	}
}

func TestFleet(t *testing.T) {
	p, c := start(t)
	p.SetFleet(almondstep.Fleet{Daemons: []almondstep.DaemonVM{{ID: "d1", Addr: "127.0.0.1:1", Zone: "z", State: almondstep.VMLive}}})
	f, err := c.Fleet(context.Background(), 0, 0)
	if err != nil || f.Revision != 1 || len(f.Daemons) != 1 {
		t.Errorf("got %+v, %v, want revision 1 with one daemon", f, err)
	}
}

// After the platform is restored from an older backup, reads return the older
// revision.
func TestOlderData(t *testing.T) {
	p, c := start(t)
	ctx := context.Background()
	for base := range uint64(3) {
		if _, err := c.CompareAndSwap(ctx, "k", base, []byte{byte('a' + base)}); err != nil {
			t.Fatal(err)
		}
	}
	if !p.Rollback("k", 2) {
		t.Fatal("the stand-in platform didn't roll back the key")
	}
	e, err := c.Get(ctx, "k")
	if got, want := string(e.Value), "a"; got != want || e.Revision != 1 || err != nil {
		t.Errorf("got %q at %d, %v, want %q at 1", got, e.Revision, err, want)
	}
}

// If the platform accepts connections and never reads, a write of a value too large for
// the socket buffers blocks; it must still time out.
func TestPeerNeverReads(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c := &storer.Client{Base: "http://" + ln.Addr().String(), Timeout: 100 * time.Millisecond}
	defer c.Close()
	_, err = c.CompareAndSwap(context.Background(), "k", 0, make([]byte, 32<<20))
	if !errors.Is(err, almondstep.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}
