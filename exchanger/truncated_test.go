package exchanger_test

import (
	"fmt"
	"testing"
	"time"
)

// An upstream that stops anywhere within its response and closes the connection never
// gives a success, whether it states the length of the body or not.
func TestTruncatedResponseIsNotASuccess(t *testing.T) {
	const key, body = "k1", "0123456789abcdef"
	for name, c := range map[string]struct {
		fields string
		body   string
		// wholeHead is whether the response is complete with any part of its body, since it
		// ends with the connection.
		wholeHead bool
	}{
		"length":       {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, false},
		"no body":      {"Content-Length: 0\r\n", "", false},
		"chunks":       {"Transfer-Encoding: chunked\r\n", "10\r\n" + body + "\r\n0\r\n\r\n", false},
		"until closed": {"", body, true},
		"closing":      {"Connection: close\r\n", body, true},
	} {
		t.Run(name, func(t *testing.T) {
			whole := "HTTP/1.1 200 OK\r\n" + c.fields + "Key: " + key + "\r\nServer: x\r\n\r\n" + c.body
			end := len(whole)
			if c.wholeHead {
				end -= len(c.body)
			}
			for n := range end {
				u := serve(t, func(int, string) string { return whole[:n] })
				u.endAfterAnswer.Store(true)
				call := newCall(u)
				call.Timeout = 2 * time.Second
				call.Request.Key, call.Request.Header[0].Value = key, key
				e := exchange(t, newClient(t), call)
				if e.Response != nil {
					t.Errorf("cut after %q: got result %v with body %q, want none", whole[:n], e.Result, e.Response.Body)
				}
			}
		})
	}
}

// A response whose end is that of its connection isn't complete if the connection is reset.
func TestResetResponseIsNotASuccess(t *testing.T) {
	for name, fields := range map[string]string{"until closed": "", "closing": "Connection: close\r\n", "length": "Content-Length: 9\r\n"} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, key string) string {
				return "HTTP/1.1 200 OK\r\n" + fields + "Key: " + key + "\r\n\r\npart"
			})
			u.endAfterAnswer.Store(true)
			u.reset.Store(true)
			e := exchange(t, newClient(t), newCall(u))
			if e.Response != nil || !e.Disconnected {
				t.Errorf("got result %v, response %v, disconnected %v, want a disconnect without one", e.Result, e.Response, e.Disconnected)
			}
		})
	}
}
