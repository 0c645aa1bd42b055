package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	server string
	// request is the request's id.
	request string
	at      time.Time
}

// server is a stand-in for a server of one service. Set the exported fields, then start.
type server struct {
	names   *names
	id      string
	service string
	// slots is the number of requests that it works on at a time.
	slots int
	// work is how long it works on a request.
	work time.Duration
	// respond, if set, returns the response of a request after it ran; nil means the usual
	// one.
	respond func(s *server, request string) *response
	onRun   func(r run)
	// crashOn, if set, reports whether a request to a path has crashed the server.
	crashOn func(s *server, path string) bool

	listener net.Listener
	slotsUse chan struct{}
	waiting  atomic.Int32
	born     int64
	leaving  atomic.Bool

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	// dark is closed when the server is back; nil unless it is silent.
	dark chan struct{}
	// dead has the connections of a run that crashed silently.
	dead map[net.Conn]bool
}

// response is a server's response.
type response struct {
	status int
	fields []string
	body   string
	// cut ends the connection instead of a response.
	cut bool
}

// queueLength is how many requests wait for a slot before a server is full.
const queueLength = 12

func (s *server) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	s.slotsUse = make(chan struct{}, s.slots)
	s.born = time.Now().UnixMilli()
	s.conns = map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				_ = c.Close()
			}
			s.conns[c] = true
			dark := s.dark
			s.mu.Unlock()
			if dark != nil {
				// A silent machine accepts no connection. Here it is one that never answers.
				continue
			}
			go s.serve(c)
		}
	}()
	return nil
}

// end stops the process that the server stands for: the listener and all connections close.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// silence returns a channel that is closed when a silent server is back; nil if it isn't
// silent.
func (s *server) silence() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// isDead reports whether a connection belongs to a run that crashed silently.
func (s *server) isDead(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[c]
}

// crash ends the server's process and starts it again after downtime. A loud one resets its
// connections at once, as the system of a process that crashed does. A silent one sends
// nothing more, as a machine that crashed. When that is back it knows nothing of its old
// connections, and resets those on which bytes arrive or arrived while it was away. It
// returns false if the server is down already.
func (s *server) crash(loud bool, downtime time.Duration, back func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark != nil || s.closed {
		return false
	}
	dark := make(chan struct{})
	s.dark = dark
	if s.dead == nil {
		s.dead = map[net.Conn]bool{}
	}
	for c := range s.conns {
		s.dead[c] = true
		if loud {
			reset(c)
		}
	}
	time.AfterFunc(downtime, func() {
		s.mu.Lock()
		s.dark = nil
		s.born = time.Now().UnixMilli()
		s.mu.Unlock()
		close(dark)
		back()
	})
	return true
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// entry is the server's entry in the store.
func (s *server) entry(zone, state string) []byte {
	return fill("entry.json", map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": zone, "Slots": s.slots, "State": state, "Born": s.born,
	})
}

func (s *server) serve(c net.Conn) {
	defer func() {
		// A dead connection stays as it is: nobody is there to close it.
		if !s.isDead(c) {
			_ = c.Close()
		}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.isDead(c) {
			if dark := s.silence(); dark != nil {
				<-dark
			}
			reset(c)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := s.handle(c, r, body)
		if answer.cut || s.isDead(c) {
			return
		}
		if _, err := c.Write(s.encode(answer)); err != nil {
			return
		}
	}
}

func (s *server) encode(a *response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, f := range a.fields {
		b.WriteString(f + "\r\n")
	}
	if s.leaving.Load() {
		b.WriteString(s.names.Leaving + ": 1\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

// handle runs a request, or turns it away without running it.
func (s *server) handle(c net.Conn, r *http.Request, _ []byte) *response {
	n := s.names
	id := r.Header.Get(n.RequestID)
	if r.URL.Path == "/health" {
		status := http.StatusOK
		if s.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		return &response{status: status, fields: []string{n.Instance + ": " + s.id}}
	}
	if want := r.Header.Get(n.Expect); want != "" && want != s.id {
		return &response{status: http.StatusMisdirectedRequest, fields: []string{n.RequestID + ": " + id, n.Instance + ": " + s.id, n.NotRun + ": 1"}}
	}
	if id == "" {
		return &response{status: http.StatusBadRequest, fields: []string{n.NotRun + ": 1"}}
	}
	notRun := &response{status: http.StatusServiceUnavailable, fields: []string{n.RequestID + ": " + id, n.NotRun + ": 1"}}
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		return notRun
	}
	deadline, err := strconv.Atoi(r.Header.Get(n.Deadline))
	if err != nil {
		deadline = 60_000
	}
	select {
	case s.slotsUse <- struct{}{}:
		s.waiting.Add(-1)
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		s.waiting.Add(-1)
		return notRun
	}
	defer func() { <-s.slotsUse }()
	if s.isDead(c) {
		// The run that had the request has ended.
		return &response{cut: true}
	}
	s.onRun(run{server: s.id, request: id, at: time.Now()})
	if s.crashOn != nil && s.crashOn(s, r.URL.Path) {
		return &response{cut: true}
	}
	time.Sleep(s.work)
	if s.respond != nil {
		if a := s.respond(s, id); a != nil {
			return a
		}
	}
	return &response{status: http.StatusOK, fields: s.stamped(id), body: "done " + id + "\n"}
}

// stamped returns the fields of a response that the server vouches for.
func (s *server) stamped(id string) []string {
	n := s.names
	stamp := strings.Join([]string{s.service, s.id, id}, ".")
	return []string{n.RequestID + ": " + id, n.Stamp + ": " + stamp, n.Load + ": 1,0," + strconv.Itoa(s.slots)}
}
