package gatherer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"almondstep"
)

var update = flag.Bool("update", false, "update the golden files")

// A session with an early answer, an item that is canceled as after a hedge has
// answered it, a Collect of the rest, and an order that doesn't finish by its deadline.
func TestGoldenSession(t *testing.T) {
	var log strings.Builder
	d := newDriver()
	do := func(e almondstep.Event) {
		writeLine(t, &log, fmt.Sprint(time.Duration(d.now)), e)
		for _, f := range d.reduce(e) {
			writeLine(t, &log, "   ", f)
		}
	}
	finish := func(q almondstep.QueryID, i uint32, keys ...string) {
		f := &almondstep.ItemFinished{ID: q, Attempt: 1, Answer: almondstep.ItemAnswer{Item: item(i), Total: len(keys)}}
		for _, k := range keys {
			f.Records = append(f.Records, almondstep.Record{Key: k, Body: "walnut"})
		}
		do(f)
	}
	do(&almondstep.WorkArrived{From: "d2", Work: work(1, 2, 3)})
	finish(1, 2, "b", "d")
	d.now = almondstep.Instant(30 * time.Millisecond)
	do(&almondstep.GatherTimer{ID: 1, Attempt: 1, Purpose: almondstep.TimerFlush})
	do(&almondstep.CollectArrived{ID: 1, Attempt: 1, Remaining: 70 * time.Millisecond})
	do(&almondstep.CancelArrived{ID: 1, Attempt: 1, Items: []almondstep.Item{item(3)}})
	finish(1, 1, "a")
	order := work(4)
	order.Query = 2
	order.Operation = "enterOrder"
	do(&almondstep.WorkArrived{From: "d2", Work: order})
	d.now = almondstep.Instant(130 * time.Millisecond)
	do(&almondstep.GatherTimer{ID: 2, Attempt: 1, Purpose: almondstep.TimerHard})
	finish(2, 4, "late")
	const path = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(path, []byte(log.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := log.String(); got != string(want) {
		t.Errorf("the session differs from its golden file; got:\n%s", got)
	}
}

func writeLine(t *testing.T, log *strings.Builder, prefix string, v interface{ Kind() string }) {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(log, "%s %s %s\n", prefix, v.Kind(), b)
}
