package gatherer_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/gatherer"
)

var view = almondstep.NewView(almondstep.ViewSpec{Self: "d1"})

func item(i uint32) almondstep.Item {
	return almondstep.Item{
		Shard:    almondstep.NewShard("intake-desk", i, 20),
		Upstream: almondstep.Address(fmt.Sprintf("10.0.0.%d:80", i)),
	}
}

func work(items ...uint32) *almondstep.Work {
	w := &almondstep.Work{
		Query: 1, Attempt: 1, Version: 7, Limit: 3,
		Remaining: 100 * time.Millisecond, FlushAfter: 30 * time.Millisecond,
	}
	for _, i := range items {
		w.Items = append(w.Items, item(i))
	}
	return w
}

// driver drives a Gathers in virtual time.
type driver struct {
	now almondstep.Instant
	s   *gatherer.Gathers
}

func newDriver() *driver { return &driver{s: gatherer.New(gatherer.Config{})} }

func (d *driver) reduce(e almondstep.Event) []almondstep.Effect {
	return d.s.Reduce(d.now, view, e, nil)
}

func (d *driver) done(i uint32, keys ...string) []almondstep.Effect {
	f := &almondstep.ItemFinished{ID: 1, Attempt: 1, Answer: almondstep.ItemAnswer{Item: item(i), Total: len(keys)}}
	for _, k := range keys {
		f.Records = append(f.Records, almondstep.Record{Key: k})
	}
	return d.reduce(f)
}

func (d *driver) flush() []almondstep.Effect {
	d.now = d.now.Add(30 * time.Millisecond)
	return d.reduce(&almondstep.GatherTimer{ID: 1, Attempt: 1, Purpose: almondstep.TimerFlush})
}

func (d *driver) hard() []almondstep.Effect {
	d.now = almondstep.Instant(100 * time.Millisecond)
	return d.reduce(&almondstep.GatherTimer{ID: 1, Attempt: 1, Purpose: almondstep.TimerHard})
}

func collect() *almondstep.CollectArrived {
	return &almondstep.CollectArrived{ID: 1, Attempt: 1}
}

// describe formats an answer: the outcome of each shard, then the record keys with
// the shard that each is from.
func describe(out []almondstep.Effect) string {
	s := ""
	for _, f := range out {
		r, ok := f.(*almondstep.ReplyWork)
		if !ok {
			continue
		}
		for _, a := range r.Answer.Items {
			s += fmt.Sprintf("%d:%d%s ", a.Item.Shard.Index(), a.Outcome, a.Reason)
		}
		s += "|"
		for i, rec := range r.Answer.Records {
			s += fmt.Sprintf(" %s@%d", rec.Key, r.Answer.Items[r.Answer.Sources[i]].Item.Shard.Index())
		}
	}
	return s
}

func check(t *testing.T, what string, out []almondstep.Effect, want string) {
	t.Helper()
	if got := describe(out); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// The records of an item are in exactly one answer: the early one or the late one.
func TestEarlyAndLateAnswer(t *testing.T) {
	d := newDriver()
	d.reduce(&almondstep.WorkArrived{Work: work(1, 2, 3)})
	check(t, "first item", d.done(2, "b", "d"), "")
	check(t, "second item", d.done(1, "a", "c"), "")
	check(t, "repeated item", d.done(1, "a", "c"), "")
	check(t, "flush", d.flush(), "1:0 2:0 3:1 | a@1 b@2 c@1")
	check(t, "repeated work", d.reduce(&almondstep.WorkArrived{Work: work(1, 2, 3)}), "1:4failed 2:4failed 3:1 |")
	check(t, "collect", d.reduce(collect()), "")
	check(t, "last item", d.done(3, "e"), "3:0 | e@3")
	check(t, "deadline", d.hard(), "")
	d.now = d.now.Add(time.Millisecond)
	d.reduce(&almondstep.GatherTimer{})
	if got, want := d.s.Open(), 0; got != want {
		t.Errorf("got %d Works kept after the deadline, want %d", got, want)
	}
}

// At the deadline, an unfinished operation that isn't idempotent is reported to the
// waiting entry daemon as unknown, since it may have run.
func TestDeadline(t *testing.T) {
	d := newDriver()
	w := work(1)
	w.Operation = "enterOrder"
	d.reduce(&almondstep.WorkArrived{Work: w})
	check(t, "flush", d.flush(), "1:1 |")
	d.reduce(collect())
	out := d.hard()
	check(t, "deadline", out, "1:4deadline |")
	if got, want := out[0].Kind(), "itemCanceled"; got != want {
		t.Errorf("got %s first, want %s", got, want)
	}
	check(t, "late item", d.done(1, "a"), "")
}

// While the daemon shuts down, new Works are refused and those in progress end
// normally.
func TestStopping(t *testing.T) {
	d := newDriver()
	d.reduce(&almondstep.WorkArrived{Work: work(1)})
	stopping := almondstep.NewView(almondstep.ViewSpec{Self: "d1", Unready: "stopping"})
	w := work(2)
	w.Query = 2
	out := d.s.Reduce(d.now, stopping, &almondstep.WorkArrived{Work: w}, nil)
	check(t, "new work", out, "2:2stopping |")
	out = d.s.Reduce(d.now, stopping, &almondstep.ItemFinished{ID: 1, Attempt: 1, Answer: almondstep.ItemAnswer{Item: item(1)}}, nil)
	check(t, "open work", out, "1:0 |")
}
