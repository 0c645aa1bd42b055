package rationer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep/rationer"
)

func ExampleBudget() {
	b := &rationer.Budget{Limit: 1 << 20}
	body, held, err := b.ReadAll(strings.NewReader("walnuts"), -1, 100)
	fmt.Println(string(body), held, err)
	b.Release(held)
	_, _, err = b.ReadAll(strings.NewReader(strings.Repeat("x", 1<<20)), -1, 8<<20)
	fmt.Println(errors.Is(err, rationer.ErrNoMemory), b.Held())
	// Output:
	// walnuts 1024 <nil>
	// true 0
}

// Long messages together leave a part of the budget to short ones, and the longest can't grow
// any more while shorter ones can.
func TestLongMessagesLeaveRoom(t *testing.T) {
	const limit, step = 1 << 20, 32 << 10
	b := &rationer.Budget{Limit: limit}
	grow := func() int64 {
		held := int64(0)
		for b.Reserve(held, step) {
			held += step
		}
		return held
	}
	first, second := grow(), grow()
	if first == 0 || second == 0 || second > first {
		t.Errorf("got %d and %d bytes for two long messages, want some for both", first, second)
	}
	if got, most := b.Held(), int64(limit)*3/4; got > most {
		t.Errorf("got %d bytes held by long messages, want at most %d", got, most)
	}
	for i := range 16 {
		if !b.Reserve(0, 16<<10) {
			t.Fatalf("short message %d is refused", i)
		}
	}
	for b.Reserve(0, 1) {
	}
	if got, want := b.Held(), int64(limit); got != want {
		t.Errorf("got %d bytes held, want %d", got, want)
	}
}

// Budgets that are missing or have no limit refuse nothing.
func TestNoLimit(t *testing.T) {
	for name, b := range map[string]*rationer.Budget{"nil": nil, "no limit": {}} {
		if !b.Reserve(1<<40, 1<<40) {
			t.Errorf("%s: a message is refused", name)
		}
		b.Release(1 << 40)
	}
}

// A body that is too long, ends early or exceeds the budget leaves nothing reserved.
func TestFailedBodyIsReleased(t *testing.T) {
	b := &rationer.Budget{Limit: 1 << 20}
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		r    io.Reader
		want error
	}{
		"too long": {strings.NewReader(strings.Repeat("x", 101)), rationer.ErrTooLong},
		"broken":   {io.MultiReader(strings.NewReader("x"), &failing{broken}), broken},
	} {
		if _, held, err := b.ReadAll(c.r, -1, 100); !errors.Is(err, c.want) || held != 0 || b.Held() != 0 {
			t.Errorf("%s: got %v, %d and %d bytes held, want %v and none", name, err, held, b.Held(), c.want)
		}
	}
}

type failing struct{ err error }

// Read fails.
func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// The head and the body of a request are counted until it has been served, over several
// requests on a connection, and when the connection breaks off within a head.
func TestRequestsAreCountedUntilServed(t *testing.T) {
	heads, bodies := &rationer.Budget{Limit: 1 << 20}, &rationer.Budget{Limit: 1 << 20}
	seen := make(chan [2]int64, 10)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		seen <- [2]int64{heads.Held(), bodies.Held()}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler:           &rationer.Handler{Handler: handler, Budget: bodies},
		ConnContext:       rationer.ConnContext,
		ReadHeaderTimeout: time.Minute,
	}
	go s.Serve(&rationer.Listener{Listener: l, Budget: heads})
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	const body = 5000
	for range 3 {
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", body)
		// The body comes apart from the head, so that it isn't read with it.
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, strings.Repeat("x", body))
		got := <-seen
		if got[0] <= 0 || got[0] > 4096 {
			t.Errorf("got %d bytes held for a head, want a few hundred", got[0])
		}
		if got[1] < body {
			t.Errorf("got %d bytes held for a body, want at least %d", got[1], body)
		}
		eventuallyFree(t, heads, bodies)
	}
	io.WriteString(c, "GET /y HTTP/1.1\r\nHost: h\r\nX: ")
	for end := time.Now().Add(5 * time.Second); heads.Held() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	eventuallyFree(t, heads, bodies)
}

// eventuallyFree waits until nothing is held of the budgets.
func eventuallyFree(t *testing.T, budgets ...*rationer.Budget) {
	t.Helper()
	for _, b := range budgets {
		end := time.Now().Add(5 * time.Second)
		for b.Held() != 0 {
			if time.Now().After(end) {
				t.Fatalf("got %d bytes held, want none", b.Held())
			}
			time.Sleep(time.Millisecond)
		}
	}
}
