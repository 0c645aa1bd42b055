package forwarder_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is the input of one golden test: the available upstreams and delegates, and
// the events in order.
type session struct {
	// About describes the session for readers.
	About string `json:"about"`
	// Shards is the number of shards; each service has one upstream in each region.
	// Delegates names daemons to which requests can be delegated.
	Shards    int                   `json:"shards"`
	Delegates []almondstep.DaemonID `json:"delegates,omitempty"`
	Steps     []step                `json:"steps"`
}

// step is one event. At is the time since the start. Exactly one of the other fields is
// set.
type step struct {
	At      string       `json:"at"`
	Request string       `json:"request,omitempty"`
	Timer   bool         `json:"timer,omitempty"`
	Gone    bool         `json:"gone,omitempty"`
	End     *endedCall   `json:"end,omitempty"`
	Reply   *endedGather `json:"reply,omitempty"`
}

// endedCall ends a call, by its number in the log.
type endedCall struct {
	Call   almondstep.CallID `json:"call"`
	Result string            `json:"result"`
	Body   string            `json:"body,omitempty"`
}

// endedGather ends a call to a delegate.
type endedGather struct {
	Call    almondstep.CallID      `json:"call"`
	Outcome almondstep.Outcome     `json:"outcome,omitempty"`
	Code    almondstep.RefusalCode `json:"code,omitempty"`
	NotRun  bool                   `json:"notRun,omitempty"`
	Err     string                 `json:"err,omitempty"`
}

// TestGoldenSessions runs each session in testdata and compares the log of events and
// effects with the golden file.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*/events.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d sessions, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			got := playSession(t, file)
			golden := filepath.Join(filepath.Dir(file), "effects.txt")
			if *update {
				if err := os.WriteFile(golden, got, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("the log differs from %s; got:\n%s", golden, got)
			}
		})
	}
}

func playSession(t *testing.T, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var s session
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		t.Fatal(err)
	}
	full := directory(t, s.Shards, nil)
	spec := almondstep.DirectorySpec{Routes: full.Routes(), Upstreams: full.AllUpstreams(), Daemons: 9}
	for _, id := range s.Delegates {
		spec.Gatherers = len(s.Delegates)
		spec.Delegates = append(spec.Delegates, almondstep.Delegate{ID: id, Addr: "127.0.0.1:1", Cores: 1})
	}
	view := almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(spec)})
	f := forwarder.New(testConfig())
	f.Reduce(0, view, &almondstep.ViewChanged{}, nil)
	var log bytes.Buffer
	for _, st := range s.Steps {
		at, err := time.ParseDuration(st.At)
		if err != nil {
			t.Fatal(err)
		}
		e := st.event(t)
		fmt.Fprintf(&log, "%v %s %s\n", at, e.Kind(), st.summary())
		for _, eff := range f.Reduce(almondstep.Instant(time.Second+at), view, e, nil) {
			fmt.Fprintf(&log, "    %s\n", describe(eff))
		}
	}
	return log.Bytes()
}

// event returns the event of a step. All steps belong to one request.
func (st *step) event(t *testing.T) almondstep.Event {
	t.Helper()
	const id = almondstep.QueryID(1)
	switch {
	case st.Request != "":
		return &almondstep.RequestArrived{ID: id, Remaining: time.Second, Request: &almondstep.RequestMessage{
			Key: "r1", Method: "GET", Target: st.Request, Path: st.Request, Host: "lots.example",
		}}
	case st.Gone:
		return &almondstep.RequesterGone{ID: id}
	case st.End != nil:
		return st.End.event(t, id)
	case st.Reply != nil:
		e := &almondstep.GatherEnded{ID: id, Call: st.Reply.Call, NotRun: st.Reply.NotRun, Err: st.Reply.Err}
		if st.Reply.Outcome != "" {
			e.Reply = &almondstep.Reply{Outcome: st.Reply.Outcome, Code: st.Reply.Code}
		}
		return e
	default:
		return &almondstep.RequestTimer{ID: id}
	}
}

func (c *endedCall) event(t *testing.T, id almondstep.QueryID) *almondstep.CallEnded {
	t.Helper()
	e := &almondstep.CallEnded{ID: id, Call: c.Call, Took: 5 * time.Millisecond}
	for r := almondstep.CallDone; r.String() != c.Result; r++ {
		if r > almondstep.CallInvalidResponse {
			t.Fatalf("no result %q", c.Result)
		}
		e.Result = r + 1
	}
	if e.Result == almondstep.CallDone {
		e.Response = &almondstep.ResponseMessage{Status: 200, Body: []byte(strings.Repeat(c.Body, 16)), Signature: fmt.Sprintf("s%d", c.Call)}
	}
	return e
}

// summary formats a step for the log.
func (st *step) summary() string {
	switch {
	case st.Request != "":
		return st.Request
	case st.End != nil:
		return fmt.Sprintf("%d %s", st.End.Call, st.End.Result)
	case st.Reply != nil:
		return strings.TrimSpace(fmt.Sprintf("%d %s %s%s", st.Reply.Call, st.Reply.Outcome, st.Reply.Code, st.Reply.Err))
	default:
		return ""
	}
}

// describe formats an effect for the log.
func describe(f almondstep.Effect) string {
	switch f := f.(type) {
	case *almondstep.SendCall:
		return fmt.Sprintf("%s %d to %s, wanted for %v, given up after %v", f.Kind(), f.Call, f.Upstream.ID, f.UsefulFor, f.Timeout)
	case *almondstep.SendGather:
		return fmt.Sprintf("%s %d to %s, latency target %v, remaining %v", f.Kind(), f.Call, f.To.ID, f.Request.Route.LatencyTarget(), f.Request.Remaining)
	case *almondstep.CancelCall:
		return fmt.Sprintf("%s %d after %v", f.Kind(), f.Call, f.After)
	case *almondstep.SetRequestTimer:
		return fmt.Sprintf("%s after %v", f.Kind(), f.After)
	case *almondstep.ReplyRequest:
		r := f.Reply
		line := fmt.Sprintf("%s %s %s", f.Kind(), r.Outcome, r.Code)
		if r.Merged != nil {
			line += fmt.Sprintf("records %s, %d signatures, %d missing", firstBytes(r.Merged.Records), len(r.Merged.Signatures), r.Merged.Missing)
		}
		if r.RetryAfter > 0 {
			line += fmt.Sprintf(", retry after %v", r.RetryAfter)
		}
		return line
	case *almondstep.Report:
		return fmt.Sprintf("%s %s: %s (%s)", f.Kind(), f.Subject, f.Message, f.Cause)
	default:
		return f.Kind()
	}
}

// firstBytes formats records of 16 equal bytes as one byte each.
func firstBytes(records []byte) string {
	const size = 16
	var b strings.Builder
	for i := 0; i < len(records); i += size {
		b.WriteByte(records[i])
	}
	return b.String()
}
