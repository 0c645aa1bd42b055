package requester_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/requester"
	"almondstep/server"
)

// serveRaw answers each request on a loopback address with the given status and body, and
// returns its URL. net/http's server doesn't send statuses below 100.
func serveRaw(t *testing.T, status, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nConnection: close\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// An answer with a status that HTTP doesn't have isn't an answer, whatever its body says: a
// daemon in trouble that sends 000 must not tell a caller that its search is complete, or that
// its order has not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for status, want := range map[string]error{"200": nil, "503": nil, "000": almondstep.ErrUnavailable, "099": almondstep.ErrUnavailable, "600": almondstep.ErrUnavailable, "999": almondstep.ErrUnavailable} {
		c := &requester.Client{Base: serveRaw(t, status, `{"outcome":"complete"}`)}
		answer, err := c.Search(t.Context(), &server.SearchRequest{})
		if !errors.Is(err, want) || (err == nil) != (answer != nil) {
			t.Errorf("status %s: got answer %+v, error %v; want error %v", status, answer, err, want)
		}
		c.Close()
	}
}
