package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
)

const crashMemory = 10 * time.Minute

// crashConfig is testConfig with a limit on crashes and budget for all retries.
func crashConfig() forwarder.Config {
	cfg := testConfig()
	cfg.RetrySlack = 1000
	cfg.CrashLimit, cfg.CrashMemory = 3, crashMemory
	return cfg
}

// disconnect ends a call as a crash of its upstream does.
func (w *harness) disconnect(c *almondstep.SendCall) {
	w.t.Helper()
	delete(w.pending, c.Call)
	w.reduce(&almondstep.CallEnded{ID: c.ID, Call: c.Call, Result: almondstep.CallBroken, Took: time.Millisecond, Disconnected: true})
}

// suspected replaces the view by one in which upstreams have crashed under a request.
func (w *harness) suspected(path string, crashes int, quarantined bool) {
	f := almondstep.RequestMessage{Method: "GET", Target: path, Host: "lots.example"}
	spec := almondstep.ViewSpec{
		Directory: w.view.Directory(),
		Crashes:   map[almondstep.Fingerprint]int{f.Fingerprint(): crashes},
	}
	if quarantined {
		spec.Quarantined = map[almondstep.Fingerprint]struct{}{f.Fingerprint(): {}}
	}
	w.view = almondstep.NewView(spec)
}

// If all upstreams that have a request disconnect, it goes to none of the others, and the
// crashes are reported.
func TestRequestThatCrashesEachShardIsNotRetried(t *testing.T) {
	const shards = 50
	w := newHarness(t, crashConfig(), directory(t, shards, nil))
	w.request(1, "/search/x")
	first := append([]*almondstep.SendCall(nil), w.calls...)
	for _, c := range first {
		w.disconnect(c)
	}
	// The first two are retried before it is suspected.
	for _, c := range w.calls[shards:] {
		w.disconnect(c)
	}
	if got, want := len(w.calls), shards+2; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeUnknown {
		t.Fatalf("got reply %+v, want one at once", r)
	}
	if got, want := len(w.crashed), 1; got != want {
		t.Fatalf("got %d reports, want %d", got, want)
	}
	if got, want := len(w.crashed[0].Upstreams), 3; got != want {
		t.Errorf("got %d upstreams in the report, want %d", got, want)
	}
}

// If many upstreams that have a request disconnect, but one answers it, the others' shards
// are retried and the request isn't suspected.
func TestRequestOnCrashedUpstreamsIsRetriedOnceAnswered(t *testing.T) {
	const shards = 20
	w := newHarness(t, crashConfig(), directory(t, shards, nil))
	w.request(1, "/search/x")
	first := append([]*almondstep.SendCall(nil), w.calls...)
	for _, c := range first[1:] {
		w.disconnect(c)
	}
	if got, want := len(w.calls), shards+2; got != want {
		t.Errorf("got %d calls before the first answer, want %d", got, want)
	}
	w.end(first[0], almondstep.CallDone, record('a'))
	if got, want := len(w.calls), 2*shards-1; got != want {
		t.Fatalf("got %d calls after it, want %d", got, want)
	}
	for _, c := range w.calls[shards:] {
		w.end(c, almondstep.CallDone, record('b'))
	}
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
		t.Errorf("got reply %+v, want a complete answer", r)
	}
	if got := len(w.crashed); got != 0 {
		t.Errorf("got %d reports, want none", got)
	}
}

// A quarantined request is refused at once, with the time for which it is, and other
// requests aren't.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 4, nil))
	w.suspected("/search/bad", 3, true)
	w.request(1, "/search/bad")
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeQuarantined || r.RetryAfter != crashMemory {
		t.Errorf("got reply %+v, want a refusal as quarantined", r)
	}
	if got := len(w.calls); got != 0 {
		t.Errorf("got %d calls, want none", got)
	}
	w.request(2, "/search/good")
	if got, want := len(w.calls), 4; got != want {
		t.Errorf("got %d calls for another request, want %d", got, want)
	}
}

// A request that is quarantined while it is under way is retried no more, and answered.
func TestQuarantineEndsRetriesUnderWay(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	w.request(1, "/one/bad")
	w.suspected("/one/bad", 3, true)
	w.disconnect(w.calls[0])
	if got, want := len(w.calls), 1; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if w.replies[1] == nil {
		t.Error("got no reply")
	}
}

// A suspect that an upstream answers is cleared, also if the upstream rejects the request, but
// not if the upstream itself fails.
func TestAnswerClearsSuspect(t *testing.T) {
	for status, want := range map[int]int{200: 1, 404: 1, 500: 0} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			w := newHarness(t, crashConfig(), directory(t, 1, nil))
			w.suspected("/one/x", 2, false)
			w.request(1, "/one/x")
			for i := 0; i < len(w.calls); i++ {
				c := w.calls[i]
				result := almondstep.CallRejected
				if status == 200 {
					result = almondstep.CallDone
				}
				delete(w.pending, c.Call)
				w.reduce(&almondstep.CallEnded{
					ID: c.ID, Call: c.Call, Result: result, Took: time.Millisecond,
					Response: &almondstep.ResponseMessage{Status: status, Signature: "s"},
				})
			}
			if got := w.survived; got != want {
				t.Errorf("got %d reports that it survived, want %d", got, want)
			}
		})
	}
}

// Guards against CONFIG: upstreams are lost with a request that they answered just before, and it
// is refused as if it had crashed them. A request that is answered no longer is suspected.
func TestRequestAnsweredJustBeforeIsTakenForTheCause(t *testing.T) {
	for ago, want := range map[time.Duration]int{time.Second: 0, 10 * time.Second: 1} {
		t.Run(ago.String(), func(t *testing.T) {
			w := newHarness(t, crashConfig(), directory(t, 1, nil))
			w.request(1, "/one/x")
			w.end(w.calls[0], almondstep.CallDone, record('a'))
			w.advance(ago)
			w.request(2, "/one/x")
			for i := 1; i < len(w.calls); i++ {
				w.disconnect(w.calls[i])
			}
			if got := len(w.crashed); got != want {
				t.Errorf("got %d reports, want %d", got, want)
			}
		})
	}
}

// Guards against CONFIG: a daemon that answered a request just before others saw upstreams crash
// under it doesn't say so, and all refuse it.
func TestSuspectThatWasAnsweredHereIsCleared(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	w.request(1, "/one/x")
	w.end(w.calls[0], almondstep.CallDone, record('a'))
	w.advance(time.Second)
	w.suspected("/one/x", 3, true)
	w.reduce(&almondstep.ViewChanged{})
	w.reduce(&almondstep.ViewChanged{})
	if got, want := w.survived, 1; got != want {
		t.Errorf("got %d reports that it survived, want %d", got, want)
	}
}

// A daemon that answers a part for another region reports no crashes itself, but returns
// them; the daemon that has the other parts judges.
func TestRegionalPartReturnsItsCrashes(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 3, nil))
	route, _ := w.view.Directory().Routes().Match("lots.example", "/search/x")
	spec := route.Spec()
	spec.MinCoverage = 0
	part, err := almondstep.NewRoute(spec)
	if err != nil {
		t.Fatal(err)
	}
	w.reduce(&almondstep.RequestArrived{ID: 1, Remaining: time.Second, Route: &part, Request: &almondstep.RequestMessage{
		Key: "k", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "lots.example",
	}})
	for i := 0; i < len(w.calls); i++ {
		w.disconnect(w.calls[i])
	}
	if got := len(w.crashed); got != 0 {
		t.Errorf("got %d reports, want none", got)
	}
	if r := w.replies[1]; r == nil || len(r.Trace.Disconnected) < 3 {
		t.Errorf("got reply %+v, want one with the upstreams", r)
	}
}

// The same request has one fingerprint whatever its id and header, and others have others.
func TestFingerprintOfRequest(t *testing.T) {
	m := almondstep.RequestMessage{Key: "1", Method: "POST", Host: "h", Target: "/a?b=1", Body: []byte("x")}
	same := m
	same.Key, same.Header = "2", almondstep.Header{{Name: "Deadline", Value: "3"}}
	if got, want := same.Fingerprint(), m.Fingerprint(); got != want {
		t.Errorf("got %v for a repetition, want %v", got, want)
	}
	seen := map[almondstep.Fingerprint]string{m.Fingerprint(): "itself"}
	for i, change := range []func(*almondstep.RequestMessage){
		func(m *almondstep.RequestMessage) { m.Method = "PUT" },
		func(m *almondstep.RequestMessage) { m.Host = "g" },
		func(m *almondstep.RequestMessage) { m.Target = "/a?b=2" },
		func(m *almondstep.RequestMessage) { m.Body = []byte("y") },
		func(m *almondstep.RequestMessage) { m.Target, m.Body = "/a?b=1x", nil },
	} {
		other := m
		change(&other)
		if twin, ok := seen[other.Fingerprint()]; ok {
			t.Errorf("change %d has the fingerprint of %s", i, twin)
		}
		seen[other.Fingerprint()] = fmt.Sprint("change ", i)
	}
}
