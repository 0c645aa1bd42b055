package limiter_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const addr = almondstep.Address("10.0.0.1:80")

// harness passes events to the limiter in virtual time and logs the session.
type harness struct {
	t       *testing.T
	u       *limiter.Upstreams
	now     almondstep.Instant
	view    *almondstep.View
	effects []almondstep.Effect
	log     strings.Builder
	query   almondstep.QueryID
}

func newHarness(t *testing.T, cfg limiter.Config) *harness {
	return &harness{t: t, u: limiter.New(cfg), view: viewOf(vm("boot1"), almondstep.GrantFull, almondstep.Cold)}
}

func vm(boot almondstep.BootID) almondstep.UpstreamVM {
	return almondstep.UpstreamVM{Addr: addr, Service: "intake-desk", Boot: boot, State: almondstep.VMLive}
}

func viewOf(v almondstep.UpstreamVM, g almondstep.Grant, temp almondstep.Temperature) *almondstep.View {
	return almondstep.NewView(almondstep.ViewSpec{
		Self: "d1",
		Owned: map[almondstep.Address]almondstep.OwnedUpstream{
			v.Addr: almondstep.NewOwnedUpstream(v, 2, 25, g, temp),
		},
	})
}

// reduce handles one event at the present time.
func (r *harness) reduce(e almondstep.Event) []almondstep.Effect {
	r.effects = r.u.Reduce(r.now, r.view, e, nil)
	fmt.Fprintf(&r.log, "%v %s %s\n", time.Duration(r.now), e.Kind(), toJSON(r.t, e))
	for _, f := range r.effects {
		fmt.Fprintf(&r.log, "    %s %s\n", f.Kind(), toJSON(r.t, f))
	}
	return r.effects
}

func toJSON(t *testing.T, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func (r *harness) wait(d time.Duration) { r.now = r.now.Add(d) }

func (r *harness) note(text string) { fmt.Fprintf(&r.log, "\n# %s\n", text) }

// setView changes the view.
func (r *harness) setView(v *almondstep.View) []almondstep.Effect {
	r.view = v
	return r.reduce(&almondstep.ViewChanged{})
}

// search passes in an item of a new search with d remaining.
func (r *harness) search(d time.Duration) []almondstep.Effect {
	return r.ask(&almondstep.Work{}, d)
}

// ask passes in an item of the work as the next query, with d remaining.
func (r *harness) ask(w *almondstep.Work, d time.Duration) []almondstep.Effect {
	r.query++
	w.Query = r.query
	w.Attempt = 1
	w.Version = 7
	w.Remaining = d
	w.Limit = 10
	return r.reduce(&almondstep.ItemArrived{Item: item(), Work: w, Deadline: r.now.Add(d)})
}

func item() almondstep.Item {
	return almondstep.Item{Shard: almondstep.NewShard("intake-desk", 3, 20), Upstream: addr}
}

// end ends a call.
func (r *harness) end(call almondstep.CallID, result almondstep.CallResult, boot almondstep.BootID, took time.Duration) []almondstep.Effect {
	return r.reduce(&almondstep.AttemptEnded{
		Addr: addr, Call: call, Result: result, Boot: boot, Took: took, Version: 7,
	})
}

// warm warms the upstream up by searches that are answered in a millisecond.
func (r *harness) warm() {
	for range 150 {
		for _, c := range started(r.search(time.Second)) {
			r.wait(time.Millisecond)
			r.end(c.Call, almondstep.CallDone, "boot1", time.Millisecond)
		}
	}
}

func started(out []almondstep.Effect) []*almondstep.StartAttempt {
	return pick[*almondstep.StartAttempt](out)
}

func finished(out []almondstep.Effect) []*almondstep.ItemFinished {
	return pick[*almondstep.ItemFinished](out)
}

func pick[T almondstep.Effect](out []almondstep.Effect) []T {
	var picked []T
	for _, f := range out {
		if e, ok := f.(T); ok {
			picked = append(picked, e)
		}
	}
	return picked
}

// wantFinished checks that exactly one item ended, and how.
func wantFinished(t *testing.T, out []almondstep.Effect, outcome almondstep.ItemOutcome, reason almondstep.Reason) {
	t.Helper()
	f := finished(out)
	if len(f) != 1 {
		t.Fatalf("got %d items finished, want 1", len(f))
	}
	if got, want := f[0].Answer.Outcome, outcome; got != want {
		t.Errorf("got outcome %d, want %d", got, want)
	}
	if got, want := f[0].Answer.Reason, reason; got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
}

// wantGolden compares the session with its golden file.
func (r *harness) wantGolden(name string) {
	r.t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(r.log.String()), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		r.t.Fatal(err)
	}
	if got := r.log.String(); got != string(want) {
		r.t.Errorf("session %s differs from its golden file; got:\n%s", name, got)
	}
}
