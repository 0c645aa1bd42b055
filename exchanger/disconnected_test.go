package exchanger_test

import (
	"context"
	"testing"
	"time"

	"almondstep"
)

// A call tells whether the upstream ended its connection, as a crash does, or whether it
// failed for another reason.
func TestCallTellsWhetherUpstreamDisconnected(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nKey: "
	cases := map[string]struct {
		answer func(key string) string
		want   bool
	}{
		"before the response": {func(string) string { return "" }, true},
		"within the head":     {func(key string) string { return head + key }, true},
		"within the body":     {func(key string) string { return head + key + "\r\nContent-Length: 9\r\n\r\nabc" }, true},
		"complete response":   {func(key string) string { return reply(key, "whole") }, false},
		"other request":       {func(string) string { return reply("other", "whole") }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, key string) string { return c.answer(key) })
			u.endAfterAnswer.Store(true)
			got := newClient(t).Exchange(context.Background(), newCall(u))
			if got.Disconnected != c.want {
				t.Errorf("got disconnected %v with result %v, want %v", got.Disconnected, got.Result, c.want)
			}
		})
	}
}

// A call that its own daemon gives up isn't taken for a crash of the upstream.
func TestCanceledCallIsNotDisconnected(t *testing.T) {
	u := serve(t, func(int, string) string {
		time.Sleep(200 * time.Millisecond)
		return ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	got := newClient(t).Exchange(ctx, newCall(u))
	if got.Result != almondstep.CallTimeout || got.Disconnected {
		t.Errorf("got result %v, disconnected %v, want a timeout that isn't one", got.Result, got.Disconnected)
	}
}
