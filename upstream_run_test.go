package almondstep_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"almondstep"
)

func ExampleUpstream_Run() {
	u := almondstep.Upstream{ID: "i7", Started: time.UnixMilli(1700000000000)}
	fmt.Println(u.Run())
	// Output: i7@1700000000000
}

// The run of an upstream with a very long ID is short, and still its own.
func TestRunOfUpstreamWithLongID(t *testing.T) {
	const most = 130
	long := strings.Repeat("x", 10_000)
	a := almondstep.Upstream{ID: almondstep.UpstreamID(long + "a")}
	b := almondstep.Upstream{ID: almondstep.UpstreamID(long + "b")}
	if got := len(a.Run()); got > most {
		t.Errorf("got %d bytes, want at most %d", got, most)
	}
	if a.Run() == b.Run() {
		t.Errorf("got the same run %s for two upstreams", a.Run())
	}
}
