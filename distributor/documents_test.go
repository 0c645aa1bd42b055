package distributor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/distributor"
)

const ms = time.Millisecond

// at returns the instant n milliseconds after an arbitrary start.
func at(n int) almondstep.Instant { return almondstep.Instant(time.Duration(n)*ms + time.Hour) }

// revisionOf returns revision r of a document with many entries.
func revisionOf(r almondstep.Revision) *almondstep.Document {
	var b strings.Builder
	b.WriteString(`{"zones": [`)
	for i := range 50 {
		fmt.Fprintf(&b, `{"name": "zone-%d", "region": "r"}, `, i)
	}
	fmt.Fprintf(&b, `{"name": "last", "edit": %d}]}`, r)
	body := []byte(b.String())
	return &almondstep.Document{Name: almondstep.DocumentConfig, Revision: r, Hash: almondstep.HashOf(body), Body: body}
}

func stateOf(d *almondstep.Document, age time.Duration) almondstep.DocumentState {
	return almondstep.DocumentState{Name: d.Name, Revision: d.Revision, Hash: d.Hash, Age: age}
}

// observe delivers to d, at n milliseconds, the document state in a peer's digest that
// was requested at sent.
func observe(d *distributor.Documents, n int, sent almondstep.Instant, from string, s almondstep.DocumentState) []almondstep.Effect {
	addr := almondstep.Address(from + ":1")
	return d.Observe(at(n), sent, almondstep.DaemonID(from), addr, []almondstep.DocumentState{s}, nil)
}

// config returns the configuration that d holds.
func config(d *distributor.Documents) *almondstep.Document {
	return d.Document(almondstep.DocumentConfig)
}

// newDocuments returns documents that hold revision r of the configuration.
func newDocuments(t *testing.T, r almondstep.Revision) *distributor.Documents {
	t.Helper()
	d := distributor.New(distributor.Config{Self: "self", Seed: 1})
	d.Reduce(at(0), &almondstep.DocumentRead{Name: almondstep.DocumentConfig, Document: revisionOf(r), RequestedAt: at(0)}, nil)
	if got := config(d); got == nil || got.Revision != r {
		t.Fatalf("got %+v, want revision %d", got, r)
	}
	return d
}

// effectsOf returns the effects of one type.
func effectsOf[E almondstep.Effect](effects []almondstep.Effect) []E {
	var found []E
	for _, e := range effects {
		if typed, ok := e.(E); ok {
			found = append(found, typed)
		}
	}
	return found
}

// configReads returns the reads of the configuration.
func configReads(effects []almondstep.Effect) []*almondstep.ReadDocument {
	var found []*almondstep.ReadDocument
	for _, e := range effectsOf[*almondstep.ReadDocument](effects) {
		if e.Name == almondstep.DocumentConfig {
			found = append(found, e)
		}
	}
	return found
}

func age(d *distributor.Documents, now almondstep.Instant) time.Duration { return d.States(now)[0].Age }

func TestNewRevisionIsPulledAsPatch(t *testing.T) {
	old, source := newDocuments(t, 7), newDocuments(t, 7)
	source.Reduce(at(5), &almondstep.DocumentRead{Name: almondstep.DocumentConfig, Document: revisionOf(8), RequestedAt: at(5)}, nil)

	out := observe(old, 10, at(10), "teller", source.States(at(10))[0])
	pulls := effectsOf[*almondstep.SendPull](out)
	if got, want := len(pulls), 1; got != want {
		t.Fatalf("got %d pulls, want %d", got, want)
	}
	if got, want := pulls[0].To, almondstep.DaemonID("teller"); got != want {
		t.Errorf("got a pull from %q, want %q", got, want)
	}
	out = source.Reduce(at(11), &almondstep.PullArrived{From: "self", Have: pulls[0].Have}, nil)
	patch := effectsOf[*almondstep.ReplyPull](out)[0].Patch
	if got, want := patch.FromHash, revisionOf(7).Hash; got != want {
		t.Errorf("got a patch from %q, want %q", got, want)
	}
	if got, want := len(patch.Body), len(revisionOf(8).Body)/4; got > want {
		t.Errorf("got %d bytes, want at most %d", got, want)
	}
	old.Reduce(at(12), &almondstep.PullEnded{From: "teller", Name: almondstep.DocumentConfig, Patch: patch}, nil)
	if got, want := old.States(at(12))[0], stateOf(revisionOf(8), 7*ms); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestOnlyHigherRevisionIsAccepted(t *testing.T) {
	other := revisionOf(7)
	other.Body = append([]byte("// another\n"), other.Body...)
	other.Hash = almondstep.HashOf(other.Body)
	damaged := revisionOf(8)
	damaged.Body = other.Body
	cases := map[string]*almondstep.Document{"older": revisionOf(6), "same revision": other, "damaged": damaged}
	for name, doc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDocuments(t, 7)
			read := &almondstep.DocumentRead{Name: almondstep.DocumentConfig, Document: doc, RequestedAt: at(10)}
			out := d.Reduce(at(1500), read, nil)
			if got, want := len(effectsOf[*almondstep.Report](out)), 1; got != want {
				t.Errorf("platform: got %d reports, want %d", got, want)
			}
			patch := &almondstep.Patch{Name: doc.Name, Revision: doc.Revision, Hash: doc.Hash, Body: doc.Body}
			observe(d, 1501, at(1501), "p", stateOf(doc, 0))
			d.Reduce(at(1502), &almondstep.PullEnded{From: "p", Name: doc.Name, Patch: patch}, nil)
			if got, want := config(d).Hash, revisionOf(7).Hash; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if got, want := age(d, at(1502)), 1502*ms; got != want {
				t.Errorf("got age %s, want %s: a rejected document confirms nothing", got, want)
			}
			out = d.Reduce(at(2000), read, nil)
			if got, want := len(effectsOf[*almondstep.Report](out)), 0; got != want {
				t.Errorf("again: got %d reports, want %d", got, want)
			}
		})
	}
}

// Two revisions that are rejected alternately are reported once each.
func TestEachRejectionIsReportedOnce(t *testing.T) {
	d := newDocuments(t, 7)
	var out []almondstep.Effect
	for n := range 20 {
		old := revisionOf(almondstep.Revision(5 + n%2))
		out = d.Reduce(at(n), &almondstep.DocumentRead{Name: old.Name, Document: old, RequestedAt: at(n)}, out)
	}
	if got, want := len(effectsOf[*almondstep.Report](out)), 2; got != want {
		t.Errorf("got %d reports, want %d", got, want)
	}
}

func TestOnlyRelaysRead(t *testing.T) {
	d := newDocuments(t, 7)
	for i := range 100 {
		if got := configReads(d.Tick(at(100*i), false, nil)); len(got) != 0 {
			t.Fatalf("got %d reads by a daemon that isn't a relay, want none", len(got))
		}
	}
	reads := configReads(d.Tick(at(10000), true, nil))
	if got, want := len(reads), 1; got != want {
		t.Fatalf("got %d reads by a new relay, want %d", got, want)
	}
	if got, want := reads[0].After, almondstep.Revision(7); got != want {
		t.Errorf("got a read after %d, want %d", got, want)
	}
}

func TestUnchangedConfirmsOnlyRequestedRevision(t *testing.T) {
	d := newDocuments(t, 7)
	read := configReads(d.Tick(at(1000), true, nil))[0]
	d.Reduce(at(1510), &almondstep.DocumentRead{Name: read.Name, Unchanged: true, RequestedAt: read.RequestedAt}, nil)
	if got, want := age(d, at(1510)), 10*ms; got != want {
		t.Errorf("got age %s, want %s", got, want)
	}
	// A peer has sent revision 8 since: that revision 7 is unchanged at the platform
	// doesn't confirm revision 8.
	read = configReads(d.Tick(at(1600), true, nil))[0]
	observe(d, 1700, at(1700), "p", stateOf(revisionOf(8), almondstep.AgeUnknown))
	full := &almondstep.Patch{Name: read.Name, Revision: 8, Hash: revisionOf(8).Hash, Body: revisionOf(8).Body}
	d.Reduce(at(1701), &almondstep.PullEnded{From: "p", Name: read.Name, Patch: full}, nil)
	d.Reduce(at(2110), &almondstep.DocumentRead{Name: read.Name, Unchanged: true, RequestedAt: read.RequestedAt}, nil)
	if got, want := age(d, at(2110)), almondstep.AgeUnknown; got != want {
		t.Errorf("got age %s, want %s", got, want)
	}
}

func TestUnansweredReadIsRetried(t *testing.T) {
	d := newDocuments(t, 7)
	first := configReads(d.Tick(at(100), true, nil))[0]
	var second *almondstep.ReadDocument
	for n := 200; second == nil; n += 100 {
		if n > 5000 {
			t.Fatal("got no second read in 5 s")
		}
		if reads := configReads(d.Tick(at(n), true, nil)); len(reads) > 0 {
			second = reads[0]
		}
	}
	// The late answer confirms the revision only for the end of its read's wait.
	d.Reduce(at(20000), &almondstep.DocumentRead{Name: first.Name, Document: revisionOf(7), RequestedAt: first.RequestedAt}, nil)
	if got, want := age(d, at(20000)), 20000*ms-600*ms; got != want {
		t.Errorf("got age %s, want %s", got, want)
	}
	d.Reduce(at(20001), &almondstep.DocumentRead{Name: first.Name, Document: revisionOf(8), RequestedAt: second.RequestedAt}, nil)
	if got, want := config(d).Revision, almondstep.Revision(8); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
}

func TestOutageLimitsReadRate(t *testing.T) {
	d := newDocuments(t, 7)
	reads := 0
	for n := 0; n < 60000; n += 100 {
		for _, r := range configReads(d.Tick(at(n), true, nil)) {
			reads++
			d.Reduce(at(n+1), &almondstep.DocumentRead{Name: r.Name, Err: "refused", RequestedAt: r.RequestedAt}, nil)
		}
	}
	if reads < 30 || reads > 90 {
		t.Errorf("got %d reads in a minute of outage, want 30 to 90", reads)
	}
	if got, want := config(d).Revision, almondstep.Revision(7); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := age(d, at(60000)), time.Minute; got != want {
		t.Errorf("got age %s, want %s", got, want)
	}
}

func TestAgeIsTakenFromDigests(t *testing.T) {
	d := newDocuments(t, 7)
	observe(d, 5000, at(4990), "p", stateOf(revisionOf(7), 300*ms))
	if got, want := age(d, at(5100)), 410*ms; got != want {
		t.Errorf("got age %s, want %s", got, want)
	}
	observe(d, 9000, distributor.Unrequested, "p", stateOf(revisionOf(7), 0))
	if got, want := age(d, at(9000)), 4310*ms; got != want {
		t.Errorf("unrequested digest: got age %s, want %s", got, want)
	}
}

func TestPullFailsOverToNextSource(t *testing.T) {
	d := newDocuments(t, 7)
	observe(d, 0, at(0), "a", stateOf(revisionOf(8), 0))
	if got := effectsOf[*almondstep.SendPull](observe(d, 1, at(1), "b", stateOf(revisionOf(8), 0))); len(got) != 0 {
		t.Fatalf("got %d pulls while one is open, want none", len(got))
	}
	out := d.Reduce(at(2), &almondstep.PullEnded{From: "a", Name: almondstep.DocumentConfig}, nil)
	pulls := effectsOf[*almondstep.SendPull](out)
	if len(pulls) != 1 || pulls[0].To != "b" {
		t.Fatalf("got %+v, want a pull from b", pulls)
	}
	// b doesn't answer; c reports the revision later.
	observe(d, 500, at(500), "c", stateOf(revisionOf(8), 0))
	for n := 600; n < 3000; n += 100 {
		pulls = append(pulls, effectsOf[*almondstep.SendPull](d.Tick(at(n), false, nil))...)
	}
	if len(pulls) != 2 || pulls[1].To != "c" {
		t.Errorf("got %+v, want a second pull from c", pulls)
	}
}

func TestFailedPatchFallsBackToFullText(t *testing.T) {
	d := newDocuments(t, 7)
	observe(d, 0, at(0), "a", stateOf(revisionOf(8), 0))
	bad := &almondstep.Patch{Name: almondstep.DocumentConfig, FromHash: revisionOf(7).Hash, Revision: 8, Hash: revisionOf(8).Hash, Body: []byte(`[[0,2]]`)}
	out := d.Reduce(at(1), &almondstep.PullEnded{From: "a", Name: bad.Name, Patch: bad}, nil)
	pulls := effectsOf[*almondstep.SendPull](out)
	if len(pulls) != 1 || pulls[0].Have.Hash != "" {
		t.Fatalf("got %+v, want one pull of the full text", pulls)
	}
	full := &almondstep.Patch{Name: bad.Name, Revision: 8, Hash: revisionOf(8).Hash, Body: revisionOf(8).Body}
	d.Reduce(at(2), &almondstep.PullEnded{From: "a", Name: bad.Name, Patch: full}, nil)
	if got, want := config(d).Hash, revisionOf(8).Hash; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestInvalidRevisionIsRejectedAndNotRequestedAgain(t *testing.T) {
	check := func(body []byte) error {
		if strings.Contains(string(body), `"edit": 8`) {
			return errors.New("no")
		}
		return nil
	}
	d := distributor.New(distributor.Config{Checks: map[almondstep.DocumentName]distributor.Check{almondstep.DocumentConfig: check}})
	for _, r := range []almondstep.Revision{7, 8} {
		d.Reduce(at(0), &almondstep.DocumentRead{Name: almondstep.DocumentConfig, Document: revisionOf(r), RequestedAt: at(0)}, nil)
	}
	if got, want := config(d).Revision, almondstep.Revision(7); got != want {
		t.Fatalf("got revision %d, want %d", got, want)
	}
	if got := effectsOf[*almondstep.SendPull](observe(d, 1, at(1), "a", stateOf(revisionOf(8), 0))); len(got) != 0 {
		t.Errorf("got %d pulls, want none", len(got))
	}
	if got, want := configReads(d.Tick(at(5000), true, nil))[0].After, almondstep.Revision(8); got != want {
		t.Errorf("got a read after %d, want %d", got, want)
	}
}

func TestNewDaemonPrefersPeers(t *testing.T) {
	d := distributor.New(distributor.Config{Seed: 3})
	if got := configReads(d.Tick(at(0), false, nil)); len(got) != 0 {
		t.Fatalf("got %d reads at once, want none", len(got))
	}
	out := observe(d, 100, at(100), "a", stateOf(revisionOf(8), 0))
	pulls := effectsOf[*almondstep.SendPull](out)
	if len(pulls) != 1 || pulls[0].Have.Revision != 0 {
		t.Fatalf("got %+v, want one pull without a held revision", pulls)
	}
	alone := distributor.New(distributor.Config{Seed: 3})
	reads := 0
	for n := 0; n <= 1100; n += 100 {
		reads += len(configReads(alone.Tick(at(n), false, nil)))
	}
	if got, want := reads, 1; got != want {
		t.Errorf("alone: got %d reads, want %d", got, want)
	}
}
