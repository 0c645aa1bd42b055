package exchanger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"almondstep"
)

// Guards against BUDGET: an upstream turns a call away just as it is broken off, and asks for a
// pause; the answer isn't received, and the upstream gets more calls.
func TestAnswerToCallThatIsBrokenOffIsReceived(t *testing.T) {
	brokenOff := make(chan struct{})
	u := serve(t, func(_ int, key string) string {
		<-brokenOff
		return pausing(key)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, func() {
		cancel()
		close(brokenOff)
	})
	got := newClient(t).Exchange(ctx, newCall(u))
	if got.RetryAfter != time.Second {
		t.Errorf("got Retry-After %v with result %v, want %v", got.RetryAfter, got.Result, time.Second)
	}
	<-u.closed
}

// Guards against BUDGET: a call that waits for a connection is sent although the upstream has asked
// for a pause meanwhile.
func TestCallThatWaitsForConnectionIsRefusedInPause(t *testing.T) {
	waiting := make(chan struct{})
	u := serve(t, func(_ int, key string) string {
		<-waiting
		return pausing(key)
	})
	client := newClient(t)
	call := newCall(u)
	call.Connections = 1
	results := make([]almondstep.CallResult, 2)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() { results[i] = client.Exchange(context.Background(), call).Result })
		time.Sleep(20 * time.Millisecond)
	}
	close(waiting)
	calls.Wait()
	if got, want := results[1], almondstep.CallRefused; got != want {
		t.Errorf("got result %v for the call that waited, want %v", got, want)
	}
	if got := u.requests.Load(); got != 1 {
		t.Errorf("got %d requests, want 1", got)
	}
}

// pausing is the answer of an upstream that asks for a pause of a second.
func pausing(key string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nKey: " + key + "\r\nPause: 1s\r\nContent-Length: 0\r\n\r\n"
}
