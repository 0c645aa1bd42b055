package dialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"almondstep"
)

// An upstream that reads a request and closes the connection may have run it:
// the request is not sent again, neither on a fresh connection nor on a used one.
func TestNotSentTwice(t *testing.T) {
	for name, start := range map[string]func(almondstep.Address) *almondstep.StartAttempt{
		"search":    search,
		"operation": func(a almondstep.Address) *almondstep.StartAttempt { return operation(a, "one pallet") },
	} {
		t.Run(name, func(t *testing.T) {
			const answered = 3
			total := 0
			u := startRaw(t, func(_, _ int, c net.Conn) bool {
				total++
				if total <= answered {
					reply(c, emptyAnswer)
					return true
				}
				_ = c.Close()
				return false
			})
			c := client(t)
			for range answered {
				wantResult(t, c.Do(context.Background(), start(u.addr)), almondstep.CallDone)
			}
			wantResult(t, c.Do(context.Background(), start(u.addr)), almondstep.CallBroken)
			if got, want := u.calls(), answered+1; got != want {
				t.Errorf("the upstream read %d calls, want %d", got, want)
			}
		})
	}
}

// The outcome of a request is unknown if its answer is cut off.
func TestCutOff(t *testing.T) {
	u := startRaw(t, func(_, _ int, c net.Conn) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"version\":7,"))
		_ = c.Close()
		return false
	})
	e := client(t).Do(context.Background(), search(u.addr))
	wantResult(t, e, almondstep.CallBroken)
	if e.Records != nil || e.Total != 0 {
		t.Errorf("got %d records of %d, want none", len(e.Records), e.Total)
	}
}

// A malformed answer counts as an error of the upstream's program, and none of
// it is returned.
func TestBadAnswers(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":        "hello",
		"over the limit":  `{"version":7,"total":9,"records":[{"key":"1"},{"key":"2"},{"key":"3"},{"key":"4"},{"key":"5"},{"key":"6"}]}`,
		"out of order":    `{"version":7,"total":2,"records":[{"key":"b"},{"key":"a"}]}`,
		"doubled":         `{"version":7,"total":2,"records":[{"key":"a"},{"key":"a"}]}`,
		"under its total": `{"version":7,"total":0,"records":[{"key":"a"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			u := startRaw(t, func(_, _ int, c net.Conn) bool {
				reply(c, body)
				return true
			})
			e := client(t).Do(context.Background(), search(u.addr))
			wantResult(t, e, almondstep.CallRejected)
			if e.Records != nil || e.Total != 0 {
				t.Errorf("got %d records of %d, want none", len(e.Records), e.Total)
			}
		})
	}
}

// A 200 answer from another snapshot than the requested one is not accepted.
func TestOtherSnapshot(t *testing.T) {
	u := startRaw(t, func(_, _ int, c net.Conn) bool {
		reply(c, `{"version":6,"total":1,"records":[{"key":"a"}]}`)
		return true
	})
	e := client(t).Do(context.Background(), search(u.addr))
	wantResult(t, e, almondstep.CallWrongVersion)
	if e.Records != nil {
		t.Errorf("got %d records, want none", len(e.Records))
	}
}

// A 503, 409 or 429 without the upstream's not-run header doesn't show that the
// request didn't run.
func TestNotRunNeedsHeader(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "409 Conflict", "429 Too Many Requests"} {
		u := startRaw(t, func(_, _ int, c net.Conn) bool {
			_, _ = c.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		})
		wantResult(t, client(t).Do(context.Background(), operation(u.addr, "x")), almondstep.CallRejected)
	}
}

// Canceling ends the wait at once.
func TestCanceled(t *testing.T) {
	read := make(chan struct{})
	u := startRaw(t, func(int, int, net.Conn) bool {
		close(read)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	a := search(u.addr)
	a.Timeout = time.Hour
	wantResult(t, client(t).Do(ctx, a), almondstep.CallCanceled)
}
