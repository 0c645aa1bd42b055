package exchanger_test

import (
	"strings"
	"testing"

	"almondstep"
)

// A response with a status outside those of HTTP ends the call as an invalid response, also if
// a proper response follows it: a server in trouble sent the status 000, which a client of
// another system got as an answer. Before, statuses below 200 were skipped as interim ones, so
// that the bytes after them counted as the answer, and those above 599 were passed on.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "20", "-20", "2x0"} {
		for _, following := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKey: KEY\r\n\r\nok"} {
			u := serve(t, func(_ int, key string) string {
				first := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\nKey: " + key + "\r\n\r\n"
				return first + strings.Replace(following, "KEY", key, 1)
			})
			if e := exchange(t, newClient(t), newCall(u)); e.Result != almondstep.CallInvalidResponse || e.Response != nil {
				t.Errorf("%s before %q: got result %v with response %+v, want an invalid response", status, following, e.Result, e.Response)
			}
		}
	}
}

// Interim responses before the final one are skipped.
func TestInterimResponsesAreSkipped(t *testing.T) {
	u := serve(t, func(_ int, key string) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" +
			"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\nKey: " + key + "\r\n\r\n"
	})
	if e := exchange(t, newClient(t), newCall(u)); e.Response == nil || e.Response.Status != 599 {
		t.Errorf("got result %v, response %+v; want the final response", e.Result, e.Response)
	}
}
