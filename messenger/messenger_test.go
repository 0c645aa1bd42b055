package messenger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger"
	"almondstep/patcher"
)

// echo is a PeerServer that records Works and returns digests unchanged.
type echo struct {
	almondstep.PeerServer
	workErr error
	mu      sync.Mutex
	works   []*almondstep.Work
}

func (e *echo) Work(_ context.Context, _ almondstep.DaemonID, w *almondstep.Work) (*almondstep.WorkAnswered, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.works = append(e.works, w)
	if e.workErr != nil {
		return nil, e.workErr
	}
	return filled[almondstep.WorkAnswered](), nil
}

func (e *echo) Probe(_ context.Context, _ almondstep.DaemonID, d *almondstep.Digest) (*almondstep.Digest, bool, error) {
	return d, true, nil
}

func serve(t *testing.T, peer almondstep.PeerServer) almondstep.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &messenger.Server{Peer: peer}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return almondstep.Address(l.Addr().String())
}

// sampleWork has every field set.
func sampleWork() *almondstep.Work {
	return filled[almondstep.Work]()
}

// Works and their replies arrive with every field.
func TestWorkRoundTrip(t *testing.T) {
	peer := &echo{}
	addr := serve(t, peer)
	c := &messenger.Client{}
	w := sampleWork()
	got, err := c.Work(t.Context(), addr, "a", w)
	if err != nil {
		t.Fatal(err)
	}
	want := filled[almondstep.WorkAnswered]()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := peer.works[0], w; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestDigestRoundTrip(t *testing.T) {
	addr := serve(t, &echo{})
	want := filled[almondstep.Digest]()
	want.Documents[1].Age = almondstep.AgeUnknown
	want.Zones[1].Age = almondstep.AgeUnknown
	got, ok, err := (&messenger.Client{}).Probe(t.Context(), addr, "", want)
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Only a call that certainly had no effect counts as not run.
func TestNotRunIsCertain(t *testing.T) {
	refusing := serve(t, &echo{workErr: almondstep.ErrNotRun})
	failing := serve(t, &echo{workErr: errors.New("failed while the Work ran")})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := almondstep.Address(l.Addr().String())
	l.Close()

	cases := []struct {
		name   string
		addr   almondstep.Address
		notRun bool
	}{
		{"owner refuses", refusing, true},
		{"owner fails", failing, false},
		{"no listener", closed, true},
	}
	for _, c := range cases {
		_, err := (&messenger.Client{}).Work(t.Context(), c.addr, "a", sampleWork())
		if got, want := errors.Is(err, almondstep.ErrNotRun), c.notRun; got != want {
			t.Errorf("%s: got notRun %v, want %v (%v)", c.name, got, want, err)
		}
	}
}

// silencingProxy forwards connections. After silence, open connections deliver no
// more data, and new ones work.
type silencingProxy struct {
	target string
	mu     sync.Mutex
	silent chan struct{}
	dials  int
}

func (p *silencingProxy) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.dials++
		silent := p.silent
		p.mu.Unlock()
		go p.forward(c, silent)
	}
}

func (p *silencingProxy) forward(c net.Conn, silent chan struct{}) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	pipe := func(to io.Writer, from io.Reader) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			select {
			case <-silent:
				return
			default:
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(up, c)
	pipe(c, up)
}

func (p *silencingProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// A call on a connection that stops delivering data ends at its deadline and may
// have run; the next call uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr := serve(t, &echo{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &silencingProxy{target: string(addr), silent: make(chan struct{})}
	go p.run(l)
	c := &messenger.Client{}
	via := almondstep.Address(l.Addr().String())
	if _, err := c.Work(t.Context(), via, "a", sampleWork()); err != nil {
		t.Fatal(err)
	}
	p.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Work(ctx, via, "a", sampleWork())
	if got, want := errors.Is(err, almondstep.ErrUnavailable), true; got != want {
		t.Fatalf("over the silent connection: got unavailable %v, want %v (%v)", got, want, err)
	}
	if errors.Is(err, almondstep.ErrNotRun) {
		t.Error("got ErrNotRun from a call over a silent connection, which may have run")
	}
	if _, err := c.Work(t.Context(), via, "a", sampleWork()); err != nil {
		t.Fatalf("over a new connection: %v", err)
	}
	if got, want := p.dials, 2; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// updateServer is a RegistryUpdateServer that returns a fixed update.
type updateServer struct {
	request *almondstep.RegistryUpdateRequest
	update  *almondstep.RegistryUpdate
}

func (u *updateServer) WatchRegistry(_ context.Context, q *almondstep.RegistryUpdateRequest) (*almondstep.RegistryUpdate, error) {
	u.request = q
	return u.update, nil
}

// fullEntries returns entries with every field set except those of patches.
func fullEntries() []almondstep.RegistryEntry {
	entries := *filled[[]almondstep.RegistryEntry]()
	for i := range entries {
		entries[i].Base, entries[i].Sum = 0, 0
	}
	return entries
}

// Registry updates arrive with every field and with patches applied; a patch of
// another base is an error. A server without registry updates refuses the call.
func TestRegistryUpdateRoundTrip(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &updateServer{update: filled[almondstep.RegistryUpdate]()}
	u.update.Entries = fullEntries()
	s := &messenger.Server{RegistryUpdates: u}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	c := &messenger.Client{}
	addr := almondstep.Address(l.Addr().String())
	held := almondstep.RegistryEntry{Key: "k", Revision: 5, Value: `{"routes": [{"name": "a"}, {"name": "b"}, {"name": "c"}, {"name": "d"}]}`}
	q := &almondstep.RegistryUpdateRequest{After: 7, Wait: time.Second, PatchBases: []almondstep.RegistryEntry{held}}
	got, err := c.WatchRegistry(t.Context(), addr, q)
	if err != nil {
		t.Fatal(err)
	}
	want := filled[almondstep.RegistryUpdate]()
	want.Entries = fullEntries()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	sent := &almondstep.RegistryUpdateRequest{After: 7, Wait: time.Second, PatchBases: []almondstep.RegistryEntry{{Key: "k", Revision: 5}}}
	if got, want := u.request, sent; !reflect.DeepEqual(got, want) {
		t.Errorf("got request %+v, want %+v", got, want)
	}
	newer := held
	newer.Revision, newer.Value = 9, strings.Replace(held.Value, `"b"`, `"b", "out": true`, 1)
	patch := patcher.MakeEntryPatch(held, newer)
	if patch.Base != held.Revision {
		t.Fatalf("got %+v, want a patch", patch)
	}
	u.update.Entries = []almondstep.RegistryEntry{patch}
	if got, err = c.WatchRegistry(t.Context(), addr, q); err != nil || !reflect.DeepEqual(got.Entries, []almondstep.RegistryEntry{newer}) {
		t.Errorf("got %+v and %v, want %+v", got, err, newer)
	}
	if _, err := c.WatchRegistry(t.Context(), addr, sent); !errors.Is(err, almondstep.ErrCorrupt) {
		t.Errorf("got %v for a patch of another base, want ErrCorrupt", err)
	}
	if _, err := c.WatchRegistry(t.Context(), serve(t, &echo{}), q); !errors.Is(err, almondstep.ErrUnavailable) {
		t.Errorf("got %v from a server without registry updates, want ErrUnavailable", err)
	}
}

// delegate is a GatherServer that records the request.
type delegate struct {
	request *almondstep.GatherRequest
	err     error
}

func (d *delegate) Gather(_ context.Context, req *almondstep.GatherRequest) (*almondstep.Reply, error) {
	d.request = req
	reply := filled[almondstep.Reply]()
	reply.Response = nil
	return reply, d.err
}

// A delegated request and its reply arrive with every field, except for the caller's key and
// what else identifies it; a refusal is ErrNotRun. A key that is sent on to another daemon could
// be recorded or logged there.
func TestGatherRoundTrip(t *testing.T) {
	d := &delegate{}
	addr := serveGatherer(t, d)
	req := gatherRequest(t)
	c := &messenger.Client{}
	got, err := c.Gather(t.Context(), addr, req)
	if err != nil {
		t.Fatal(err)
	}
	want := filled[almondstep.Reply]()
	want.Response = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got answer %+v, want %+v", got, want)
	}
	received := d.request.Request
	if received.APIKey != "" || len(received.Identity) > 0 {
		t.Errorf("got key %q and identity %v at the delegate, want none", received.APIKey, received.Identity)
	}
	req.Request = req.Request.ForOrganisation(req.Request.Organisation)
	if !reflect.DeepEqual(d.request, req) {
		t.Errorf("got request %+v over %+v, want %+v over %+v", d.request.Request, d.request.Route, req.Request, req.Route)
	}
	d.err = almondstep.ErrNotRun
	if _, err := c.Gather(t.Context(), addr, req); !errors.Is(err, almondstep.ErrNotRun) {
		t.Errorf("got %v from a daemon that refuses, want ErrNotRun", err)
	}
}

// serveGatherer serves a delegate and returns its address.
func serveGatherer(t *testing.T, g almondstep.GatherServer) almondstep.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &messenger.Server{Gatherer: g}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return almondstep.Address(l.Addr().String())
}

func gatherRequest(t *testing.T) *almondstep.GatherRequest {
	t.Helper()
	spec := *filled[almondstep.RouteSpec]()
	spec.Host, spec.Prefix, spec.Targets, spec.MinCoverage = "lots.example", "/lots/", nil, 0.5
	// The delegating daemon has checked the caller's key.
	spec.Public = false
	route, err := almondstep.NewRoute(spec)
	if err != nil {
		t.Fatal(err)
	}
	return &almondstep.GatherRequest{Request: filled[almondstep.RequestMessage](), Route: &route, Version: 7, Remaining: time.Second}
}

// A request that gets no connection fails with ErrNotRun soon after the connect
// timeout, long before its deadline.
func TestGatherWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	began := time.Now()
	_, err := (&messenger.Client{}).Gather(ctx, fullListener(t), gatherRequest(t))
	if !errors.Is(err, almondstep.ErrNotRun) {
		t.Errorf("got %v, want ErrNotRun", err)
	}
	if took, most := time.Since(began), 800*time.Millisecond; took > most {
		t.Errorf("call ended after %v, want it within %v", took, most)
	}
}

// fullListener returns the address of a listener that accepts nothing and whose queue
// is full, so that further connections are never established.
func fullListener(t *testing.T) almondstep.Address {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return almondstep.Address(addr)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// The call waits for a slow delegate. If the reply is lost, the request may have run.
func TestGatherWaitsForSlowDelegate(t *testing.T) {
	for name, lose := range map[string]bool{"answered": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			_, err := (&messenger.Client{}).Gather(t.Context(), serveGatherer(t, slowDelegate{lose: lose}), gatherRequest(t))
			if lose && (err == nil || errors.Is(err, almondstep.ErrNotRun)) {
				t.Errorf("got %v, want an error other than ErrNotRun", err)
			}
			if !lose && err != nil {
				t.Error(err)
			}
		})
	}
}

// slowDelegate takes longer than the connect timeout, and may abort its response.
type slowDelegate struct{ lose bool }

func (d slowDelegate) Gather(context.Context, *almondstep.GatherRequest) (*almondstep.Reply, error) {
	time.Sleep(400 * time.Millisecond)
	if d.lose {
		panic(http.ErrAbortHandler)
	}
	reply := filled[almondstep.Reply]()
	reply.Response = nil
	return reply, nil
}

// The remaining time sent to a delegate is that at the time of sending.
func TestGatherSendsRemainingTime(t *testing.T) {
	d := &delegate{}
	addr := serveGatherer(t, d)
	req := gatherRequest(t)
	ctx, cancel := context.WithTimeout(t.Context(), req.Remaining)
	defer cancel()
	const waited = 300 * time.Millisecond
	time.Sleep(waited)
	if _, err := (&messenger.Client{}).Gather(ctx, addr, req); err != nil {
		t.Fatal(err)
	}
	if got, most := d.request.Remaining, req.Remaining-waited; got > most {
		t.Errorf("got %v sent, want at most %v", got, most)
	}
}

// rolloutServer is a RolloutServer that records the report.
type rolloutServer struct{ report *almondstep.RolloutReport }

func (s *rolloutServer) ReportRollout(_ context.Context, r *almondstep.RolloutReport) (*almondstep.RolloutReply, error) {
	s.report = r
	return filled[almondstep.RolloutReply](), nil
}

// Guards against a field of a rollout's report or of the leader's reply that isn't sent.
func TestRolloutReportRoundTrip(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rolloutServer{}
	s := &messenger.Server{Rollouts: r}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	sent := filled[almondstep.RolloutReport]()
	got, err := (&messenger.Client{}).ReportRollout(t.Context(), almondstep.Address(l.Addr().String()), sent)
	if err != nil {
		t.Fatal(err)
	}
	if want := filled[almondstep.RolloutReply](); !reflect.DeepEqual(got, want) {
		t.Errorf("got reply %+v, want %+v", got, want)
	}
	if got, want := r.report, sent; !reflect.DeepEqual(got, want) {
		t.Errorf("got report %+v, want %+v", got, want)
	}
}
