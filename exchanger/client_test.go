package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondstep"
	"almondstep/exchanger"
)

// headerCodec accepts every 200 response with the request's key.
type headerCodec struct{}

func (headerCodec) RequestHeader(_ *almondstep.SendCall, usefulFor time.Duration) almondstep.Header {
	return almondstep.Header{{Name: "Own", Value: "1"}, {Name: "Wanted", Value: fmt.Sprint(usefulFor.Milliseconds())}}
}

func (headerCodec) ParseResponse(c *almondstep.SendCall, r *almondstep.ResponseMessage, into *almondstep.CallEnded) {
	into.Result = almondstep.CallRejected
	into.RetryAfter, _ = time.ParseDuration(r.Header.Get("Pause"))
	if r.Header.Get("Key") != c.Request.Key {
		into.Result = almondstep.CallInvalidResponse
	} else if r.Status == http.StatusOK {
		into.Result = almondstep.CallDone
	}
}

// upstream is a server that sends the bytes given by a test as its responses.
type upstream struct {
	addr     almondstep.Address
	conns    atomic.Int32
	requests atomic.Int32
	closed   chan struct{}
	// endAfterAnswer closes each connection after its first answer.
	endAfterAnswer atomic.Bool
	// reset makes each connection end with a reset instead of an orderly close.
	reset atomic.Bool
}

// serve starts an upstream that answers each request, the n-th one with the given key,
// with the bytes that answer returns; an empty string closes the connection.
func serve(t *testing.T, answer func(n int, key string) string) *upstream {
	t.Helper()
	n := atomic.Int32{}
	return serveRequests(t, func(r *http.Request) string { return answer(int(n.Add(1)), r.Header.Get("Key")) })
}

// serveRequests starts an upstream that answers each request with the bytes that answer
// returns; an empty string closes the connection.
func serveRequests(t *testing.T, answer func(r *http.Request) string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{addr: almondstep.Address(l.Addr().String()), closed: make(chan struct{}, 100)}
	var open sync.WaitGroup
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			open.Go(func() { u.serveConn(c, answer) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return u
}

func (u *upstream) serveConn(c net.Conn, answer func(*http.Request) string) {
	defer func() {
		if tcp, ok := c.(*net.TCPConn); ok && u.reset.Load() {
			// The bytes sent before are received, since the test waits before it resets.
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		u.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.requests.Add(1)
		text := answer(req)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil || u.endAfterAnswer.Load() {
			return
		}
	}
}

func reply(key, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
}

func newClient(t *testing.T) *exchanger.Client {
	t.Helper()
	c := &exchanger.Client{HeaderCodec: headerCodec{}}
	t.Cleanup(c.Close)
	return c
}

var lastKey atomic.Int64

func newCall(u *upstream) *almondstep.SendCall {
	key := fmt.Sprint(lastKey.Add(1))
	return &almondstep.SendCall{
		Call:     1,
		Upstream: &almondstep.Upstream{ID: "u", Addr: u.addr},
		Request: &almondstep.RequestMessage{
			Key: key, Method: "GET", Target: "/x?y=1", Host: "h.example",
			Header: almondstep.Header{{Name: "Key", Value: key}},
		},
		Timeout: time.Second, Connections: 2,
	}
}

func atoi(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func exchange(t *testing.T, c *exchanger.Client, call *almondstep.SendCall) *almondstep.CallEnded {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	return c.Exchange(ctx, call)
}

// Successive calls use the same connection.
func TestConnectionIsReused(t *testing.T) {
	u := serve(t, func(_ int, key string) string { return reply(key, "lots") })
	c := newClient(t)
	for range 5 {
		e := exchange(t, c, newCall(u))
		if got, want := e.Result, almondstep.CallDone; got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
		if got, want := string(e.Response.Body), "lots"; got != want {
			t.Errorf("got body %q, want %q", got, want)
		}
	}
	if got, want := u.conns.Load(), int32(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// A second response to a request is never taken for the response to the next one.
func TestExtraResponseIsDiscarded(t *testing.T) {
	u := serve(t, func(_ int, key string) string { return reply(key, "one") + reply(key, "extra") })
	c := newClient(t)
	for range 5 {
		cl := newCall(u)
		e := exchange(t, c, cl)
		if e.Result != almondstep.CallDone || string(e.Response.Body) != "one" || e.Response.Header.Get("Key") != cl.Request.Key {
			t.Fatalf("got %v %+v, want the request's own answer", e.Result, e.Response)
		}
	}
}

// A connection that receives an extra response while it is idle is closed.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	gone := make(chan struct{})
	go func() {
		cn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(cn)
		req, _ := http.ReadRequest(r)
		_, _ = io.WriteString(cn, reply(req.Header.Get("Key"), "one"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(cn, reply("other", "extra"))
		_, _ = r.ReadByte()
		close(gone)
	}()
	u := &upstream{addr: almondstep.Address(l.Addr().String())}
	c := newClient(t)
	if got, want := exchange(t, c, newCall(u)).Result, almondstep.CallDone; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open after unsolicited bytes")
	}
}

// A response to another request is invalid, and its connection isn't used again.
func TestResponseToAnotherRequestIsInvalid(t *testing.T) {
	u := serve(t, func(n int, key string) string {
		if n == 1 {
			return reply("another", "x")
		}
		return reply(key, "x")
	})
	c := newClient(t)
	if got, want := exchange(t, c, newCall(u)).Result, almondstep.CallInvalidResponse; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := exchange(t, c, newCall(u)).Result, almondstep.CallDone; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := u.conns.Load(), int32(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// A truncated, malformed or missing response isn't returned, and the call counts as
// possibly executed; the request is sent once.
func TestBrokenResponses(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":      "",
		"half a head":    "HTTP/1.1 200 OK\r\nKey: ",
		"no HTTP":        "nuts and bolts\r\n\r\n",
		"bad length":     "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"half a body":    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"half of chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		t.Run(name, func(t *testing.T) {
			sent := false
			u := serve(t, func(int, string) string {
				if sent {
					return ""
				}
				sent = true
				return text
			})
			cl := newCall(u)
			cl.Timeout = 200 * time.Millisecond
			e := exchange(t, newClient(t), cl)
			if e.Result == almondstep.CallDone || e.Result.NotRun() || e.Response != nil {
				t.Errorf("got %v %+v, want a call that may have run", e.Result, e.Response)
			}
			if got, want := u.requests.Load(), int32(1); got != want {
				t.Errorf("got the request %d times, want %d", got, want)
			}
		})
	}
}

// If the connection is refused, the call is reported as not executed.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{addr: almondstep.Address(l.Addr().String())}
	_ = l.Close()
	if got, want := exchange(t, newClient(t), newCall(u)).Result, almondstep.CallRefused; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A canceled call closes its connection, so that the upstream can stop.
func TestCancelClosesConnection(t *testing.T) {
	arrived := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	gone := make(chan struct{})
	go func() {
		cn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(cn)
		_, _ = http.ReadRequest(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(gone)
	}()
	u := &upstream{addr: almondstep.Address(l.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *almondstep.CallEnded)
	c := newClient(t)
	go func() { ended <- c.Exchange(ctx, newCall(u)) }()
	<-arrived
	cancel()
	if got, want := (<-ended).Result, almondstep.CallCanceled; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

// No more connections are opened than the call allows; a call that gets none in time is
// reported as not executed.
func TestConnectionsAreBounded(t *testing.T) {
	hold := make(chan struct{})
	u := serve(t, func(_ int, key string) string {
		<-hold
		return reply(key, "x")
	})
	c := newClient(t)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			cl := newCall(u)
			cl.Timeout = 10 * time.Second
			if got, want := exchange(t, c, cl).Result, almondstep.CallDone; got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
	for u.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	third := newCall(u)
	third.Timeout = 50 * time.Millisecond
	if got, want := exchange(t, c, third).Result, almondstep.CallRefused; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	close(hold)
	calls.Wait()
	if got, want := u.conns.Load(), int32(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}
