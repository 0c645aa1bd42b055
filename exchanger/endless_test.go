package exchanger_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"almondstep"
	"almondstep/exchanger"
)

// endless is a server that answers each request with a start and then the same bytes
// repeatedly until the client closes the connection. It then sends the number of bytes
// sent on closed.
type endless struct {
	addr   almondstep.Address
	closed chan int64
}

func serveEndless(t *testing.T, start, repeated string) *endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &endless{addr: almondstep.Address(l.Addr().String()), closed: make(chan int64, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serveConn(c, start, repeated)
		}
	}()
	return u
}

func (u *endless) serveConn(c net.Conn, start, repeated string) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	sent, _ := io.WriteString(c, strings.ReplaceAll(start, "KEY", req.Header.Get("Key")))
	total := int64(sent)
	for {
		n, err := io.WriteString(c, repeated)
		total += int64(n)
		if err != nil {
			u.closed <- total
			return
		}
	}
}

const chunked = "HTTP/1.1 200 OK\r\nKey: KEY\r\nTransfer-Encoding: chunked\r\n\r\n"

// An endless response is rejected. Its connection is closed long before the call's
// timeout, so that another upstream can still be called, and no more is read than
// the limits allow.
func TestEndlessResponses(t *testing.T) {
	const (
		// soon is far below the call's timeout.
		soon    = 2 * time.Second
		timeout = 20 * time.Second
		// buffers allows for what the socket buffers of both sides hold in addition.
		buffers = 16 << 20
	)
	piece := strings.Repeat("x", 32<<10)
	for name, text := range map[string][2]string{
		"head lines":      {"HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("b", 100) + "\r\n"},
		"one header line": {"HTTP/1.1 200 OK\r\nA: ", piece},
		"a status line":   {"HTTP/1.1 200 ", piece},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"chunks":          {chunked, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
		"tiny chunks":     {chunked, strings.Repeat("1\r\nx\r\n", 1000)},
		"a chunk's line":  {chunked, piece},
		"trailers":        {chunked + "0\r\n", "A: " + strings.Repeat("b", 100) + "\r\n"},
		"until it closes": {"HTTP/1.1 200 OK\r\nKey: KEY\r\n\r\n", piece},
		"a long length":   {"HTTP/1.1 200 OK\r\nKey: KEY\r\nContent-Length: 9000000000000\r\n\r\n", piece},
	} {
		t.Run(name, func(t *testing.T) {
			u := serveEndless(t, text[0], text[1])
			cl := newCall(&upstream{addr: u.addr})
			cl.Timeout = timeout
			began := time.Now()
			e := exchange(t, newClient(t), cl)
			if got, want := e.Result, almondstep.CallInvalidResponse; got != want {
				t.Errorf("got %v, want %v", got, want)
			}
			if took := time.Since(began); took > soon {
				t.Errorf("got the end after %v, want it within %v", took, soon)
			}
			select {
			case sent := <-u.closed:
				if most := int64(exchanger.DefaultMaxAnswerBytes + buffers); sent > most {
					t.Errorf("got %d bytes read, want at most %d", sent, most)
				}
			case <-time.After(soon):
				t.Error("the connection stays open")
			}
		})
	}
}

// All endless responses together hold no more than the memory limit, and a short
// response among them is still read.
func TestEndlessResponsesShareMemoryBudget(t *testing.T) {
	const (
		calls = 60
		held  = 4 << 20
		// most leaves room for copies not yet collected as garbage. Without a common
		// limit, these calls would hold 480 MB.
		most = 64 << 20
	)
	piece := strings.Repeat("x", 32<<10)
	u := serveEndless(t, chunked, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
	short := serve(t, func(_ int, key string) string { return reply(key, "lots") })
	c := newClient(t)
	c.MaxBufferedBytes = held
	runtime.GC()
	before := heapBytes()
	endlessCalls := exchangeEndless(t, c, u.addr, calls, 20*time.Second)
	for range 20 {
		if got, want := exchange(t, c, newCall(short)).Result, almondstep.CallDone; got != want {
			t.Errorf("a short answer: got %v, want %v", got, want)
		}
		if got := heapBytes() - before; got > most {
			t.Errorf("got %d bytes more in use, want at most %d", got, most)
		}
	}
	endlessCalls.Wait()
	long := serve(t, func(_ int, key string) string { return reply(key, strings.Repeat("x", held/4)) })
	if got, want := exchange(t, c, newCall(long)).Result, almondstep.CallDone; got != want {
		t.Errorf("a long answer, later: got %v, want %v", got, want)
	}
}

// Guards against a daemon that runs out of memory: many upstreams at once send heads of short
// lines, to just under the bound of one head, and then a line every now and then. Together
// they hold no more than the memory limit, and heads of ordinary size are still read.
func TestEndlessHeadsShareMemoryBudget(t *testing.T) {
	const (
		calls = 300
		held  = 4 << 20
		// timeout is that of a call, far above the time in which it must end.
		timeout = 20 * time.Second
		// most leaves room for the test's own buffers and for garbage not yet collected.
		most = 64 << 20
	)
	head := []string{"HTTP/1.1 200 OK\r\nKey: KEY\r\n"}
	for i, n := 0, len(head[0]); n < 60<<10; i++ {
		line := fmt.Sprintf("X%d:\r\n", i)
		head = append(head, line)
		n += len(line)
	}
	u := serveSlowly(t, strings.Join(head, ""), "X:\r\n")
	ordinary := serve(t, func(_ int, key string) string {
		return strings.Replace(reply(key, "lots"), "\r\n\r\n", "\r\n"+strings.Repeat("A: b\r\n", 30)+"\r\n", 1)
	})
	c := newClient(t)
	c.MaxBufferedBytes = held
	// On a busy machine that many connections take their time.
	c.DialTimeout = timeout
	runtime.GC()
	before := heapBytes()
	endlessCalls := exchangeEndless(t, c, u, calls, timeout)
	for range 40 {
		if got, want := exchange(t, c, newCall(ordinary)).Result, almondstep.CallDone; got != want {
			t.Errorf("an ordinary head: got %v, want %v", got, want)
		}
		if got := heapBytes() - before; got > most {
			t.Errorf("got %d bytes more in use, want at most %d", got, most)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	endlessCalls.Wait()
}

// serveSlowly serves connections on which each request gets a start at once, and then a text
// every 20 ms until the client closes the connection.
func serveSlowly(t *testing.T, start, repeated string) almondstep.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serveConn := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, repeated)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c)
		}
	}()
	return almondstep.Address(l.Addr().String())
}

// exchangeEndless makes a number of calls at once to an upstream whose responses have no end,
// each of which must end as an invalid response.
func exchangeEndless(t *testing.T, c *exchanger.Client, addr almondstep.Address, calls int, timeout time.Duration) *sync.WaitGroup {
	t.Helper()
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			cl := newCall(&upstream{addr: addr})
			cl.Connections = calls
			cl.Timeout = timeout
			if got, want := exchange(t, c, cl).Result, almondstep.CallInvalidResponse; got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
	return &running
}

// heapBytes is the size of the allocated heap objects, in bytes.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Only as many of the greatest records as the call requests are kept of a response.
func TestPartIsTrimmed(t *testing.T) {
	const records, wanted = 1000, 3
	var body bytes.Buffer
	for i := range records {
		fmt.Fprintf(&body, "%016d", i)
	}
	u := serve(t, func(_ int, key string) string { return reply(key, body.String()) })
	cl := newCall(u)
	cl.Records = wanted
	e := exchange(t, newClient(t), cl)
	if got, want := string(e.Response.Body), "000000000000099900000000000009980000000000000997"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The remaining time sent to an upstream is computed when the call is sent: the call may
// have waited for a connection before.
func TestRemainingUsefulForIsComputedWhenSent(t *testing.T) {
	const hold = 300 * time.Millisecond
	usefulFor := make(chan string, 2)
	u := serveRequests(t, func(r *http.Request) string {
		usefulFor <- r.Header.Get("Wanted")
		time.Sleep(hold)
		return reply(r.Header.Get("Key"), "x")
	})
	c := newClient(t)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			cl := newCall(u)
			cl.Connections = 1
			cl.UsefulFor, cl.Timeout = 700*time.Millisecond, 900*time.Millisecond
			exchange(t, c, cl)
		})
	}
	calls.Wait()
	<-usefulFor
	if got, most := atoi(t, <-usefulFor), (700*time.Millisecond - hold).Milliseconds(); got > most {
		t.Errorf("the second call: got %d ms sent, want at most %d", got, most)
	}
}
