package dialer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"almondstep"
)

// rawUpstream is a TCP peer whose behavior for each request is set by the test.
type rawUpstream struct {
	addr almondstep.Address
	// handle is called for each request read; it reports whether to read on.
	handle func(conn, request int, c net.Conn) bool

	mu       sync.Mutex
	conns    int
	requests []string
}

func startRaw(t *testing.T, handle func(conn, request int, c net.Conn) bool) *rawUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{addr: almondstep.Address(ln.Addr().String()), handle: handle}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			n := u.conns
			u.mu.Unlock()
			wg.Go(func() { u.serve(n, c, stop) })
		}
	})
	t.Cleanup(func() {
		close(stop)
		_ = ln.Close()
		wg.Wait()
	})
	return u
}

// serve reads requests until handle returns false. It then neither reads nor
// closes the connection until the test ends, unless handle has closed it.
func (u *rawUpstream) serve(n int, c net.Conn, stop <-chan struct{}) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		u.mu.Lock()
		u.requests = append(u.requests, req.Method+" "+req.URL.Path+" "+string(body))
		u.mu.Unlock()
		if !u.handle(n, i, c) {
			<-stop
			return
		}
	}
}

// calls returns the number of calls read, not counting probes.
func (u *rawUpstream) calls() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, r := range u.requests {
		if strings.HasPrefix(r, "POST /v1/call ") {
			n++
		}
	}
	return n
}

func (u *rawUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

const emptyAnswer = `{"version":7,"total":0,"records":[]}`

func reply(c net.Conn, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
