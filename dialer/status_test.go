package dialer_test

import (
	"io"
	"net"
	"testing"

	"almondstep"
)

// A response with a status that HTTP doesn't have is neither an answer nor proof that the
// request hasn't run, even if it carries the field for that: an upstream in trouble that sends
// 000 could otherwise make an order run twice.
func TestInvalidStatusIsNeitherAnswerNorRefusal(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		u := startRaw(t, func(_, _ int, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nAlmondstep-Not-Run: true\r\nContent-Length: 2\r\n\r\n{}")
			return true
		})
		if got, want := client(t).Do(t.Context(), operation(u.addr, "x")).Result, almondstep.CallRejected; got != want {
			t.Errorf("status %s: got %v, want %v", status, got, want)
		}
	}
}
