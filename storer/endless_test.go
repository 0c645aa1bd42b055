package storer_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/storer"
)

// A platform that sends a header or body without end makes the call fail long
// before its timeout.
func TestEndlessResponses(t *testing.T) {
	const (
		timeout     = 20 * time.Second
		maxDuration = 5 * time.Second
		maxBytes    = 64 << 20
	)
	piece := strings.Repeat("x", 64<<10)
	for name, text := range map[string][2]string{
		"head lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1000)},
		"one header line": {"HTTP/1.1 200 OK\r\nA: ", piece},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + piece + "\r\n"},
		"until it closes": {"HTTP/1.1 200 OK\r\n\r\n", piece},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				total, err := c.Write([]byte(text[0]))
				for err == nil {
					var n int
					n, err = c.Write([]byte(text[1]))
					total += n
				}
				sent <- total
			}()
			c := &storer.Client{Base: "http://" + l.Addr().String(), Timeout: timeout}
			defer c.Close()
			began := time.Now()
			if _, err := c.Get(t.Context(), "config"); !errors.Is(err, almondstep.ErrUnavailable) {
				t.Errorf("got %v, want ErrUnavailable", err)
			}
			if took := time.Since(began); took > maxDuration {
				t.Errorf("the call ended after %v, want at most %v", took, maxDuration)
			}
			if got := <-sent; got > maxBytes {
				t.Errorf("got %d bytes read, want at most %d", got, maxBytes)
			}
		})
	}
}
