package applier_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
	"almondstep/distributor"
	"almondstep/patcher"
)

// histories is the number of random histories, and parallelGroups the number of
// groups that run in parallel.
const (
	histories      = 20_000
	parallelGroups = 8
)

// zoneCount is the number of entries in the configuration.
const zoneCount = 4

// textOf returns a text whose entry i has the value values[i].
func textOf(values [zoneCount]int) []byte {
	var b strings.Builder
	b.WriteString("{\"zones\": [\n")
	for i, v := range values {
		fmt.Fprintf(&b, "  {\"name\": \"z%d\", \"edit\": %d},\n", i, v)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

// valuesOf parses a text written by textOf.
func valuesOf(text string) [zoneCount]int {
	var values [zoneCount]int
	for i, line := range strings.Split(text, "\n")[1 : zoneCount+1] {
		var name int
		_, _ = fmt.Sscanf(line, "  {\"name\": \"z%d\", \"edit\": %d},", &name, &values[i])
	}
	return values
}

// history is one random history: operators make concurrent edits on a platform that
// loses calls, and daemons read it, pull from each other and restart.
type history struct {
	t       *testing.T
	random  splitmix
	fake    *fakePlatform
	nesting int
	next    int
	now     almondstep.Instant
	daemons [2]*distributor.Documents
	// stale is the key's revision in an earlier answer of the platform that a daemon
	// may still receive.
	stale uint64
	// outcomes has each edit's error, by write id.
	outcomes map[string]error
	// intended has the entry that each edit was to change, and replaced the value
	// that it was to replace, by write id.
	intended map[string]string
	replaced map[string]string
}

func newHistory(t *testing.T, seed int) *history {
	h := &history{
		t: t, random: splitmix(seed), outcomes: make(map[string]error),
		intended: make(map[string]string), replaced: make(map[string]string),
	}
	h.fake = &fakePlatform{random: &h.random, lossPercent: 30, beforeCall: h.runConcurrentSteps}
	for i := range h.daemons {
		h.daemons[i] = distributor.New(distributor.Config{Seed: uint64(i)})
	}
	return h
}

// runConcurrentSteps lets a daemon, and sometimes another operator, act during a call
// to the platform.
func (h *history) runConcurrentSteps() {
	h.now = h.now.Add(time.Duration(h.random.below(300)) * time.Millisecond)
	h.daemonStep(h.random.below(len(h.daemons)))
	if h.nesting < 2 && h.random.below(4) == 0 {
		h.operatorStep()
	}
}

// operatorStep changes one entry of a recently accepted text, which may be outdated,
// and applies the edit.
func (h *history) operatorStep() {
	h.nesting++
	defer func() { h.nesting-- }()
	h.next++
	id := fmt.Sprintf("w%d", h.next)
	var base almondstep.Revision
	var values [zoneCount]int
	if n := len(h.fake.accepted); n > 0 {
		seen := h.fake.accepted[max(0, n-1-h.random.below(3))]
		base, values = seen.Revision, valuesOf(seen.Text)
	}
	entry := h.random.below(zoneCount)
	h.replaced[id] = fmt.Sprintf(`{"name":"z%d","edit":%d}`, entry, values[entry])
	values[entry] = h.next
	h.intended[id] = fmt.Sprintf("zones/z%d", entry)
	a := &applier.Applier{
		Platform: h.fake,
		Who:      "operator",
		Check:    func(text []byte) error { return checkFormat(text) },
		Now:      func() time.Time { return time.Unix(0, 0) },
		NewID:    func() string { return id },
		Attempts: 4,
		Sleep:    func(context.Context) error { h.runConcurrentSteps(); return nil },
	}
	edit := applier.Edit{Text: textOf(values), Base: base, Rebase: h.random.below(2) == 0}
	result, err := a.Apply(context.Background(), edit)
	h.outcomes[id] = err
	if err == nil && result.WriteID != id {
		h.t.Errorf("got a result for %q, want %q", result.WriteID, id)
	}
}

// checkFormat rejects a text that textOf couldn't have written.
func checkFormat(text []byte) error {
	if got := textOf(valuesOf(string(text))); !bytes.Equal(got, text) {
		return errors.Newf("got %q, want %q", got, text)
	}
	return nil
}

// daemonStep lets a daemon read the platform's current or an earlier answer, pull
// from the other daemon, or restart.
func (h *history) daemonStep(i int) {
	d, other := h.daemons[i], h.daemons[1-i]
	before := revisionOf(d)
	switch h.random.below(8) {
	case 0:
		h.daemons[i] = distributor.New(distributor.Config{Seed: uint64(i)})
		return
	case 1, 2:
		key := h.fake.entry.Revision
		if h.random.below(3) == 0 {
			key, h.stale = h.stale, key
		}
		if key > 0 {
			doc := h.fake.accepted[key-1].Document()
			d.Reduce(h.now, &almondstep.DocumentRead{Name: doc.Name, Document: doc, RequestedAt: h.now}, nil)
		}
	case 3, 4:
		h.pull(d, other)
	}
	if got := revisionOf(d); got < before {
		h.t.Errorf("daemon %d: got revision %d, want at least %d", i, got, before)
	}
}

func (h *history) pull(d, other *distributor.Documents) {
	out := d.Observe(h.now, h.now, "other", "a:1", other.States(h.now), nil)
	for _, e := range d.Tick(h.now, false, out) {
		pull, ok := e.(*almondstep.SendPull)
		if !ok || h.random.below(3) == 0 {
			continue
		}
		reply := other.Reduce(h.now, &almondstep.PullArrived{Have: pull.Have}, nil)[0].(*almondstep.ReplyPull)
		d.Reduce(h.now, &almondstep.PullEnded{From: "other", Name: pull.Have.Name, Patch: reply.Patch}, nil)
	}
}

func revisionOf(d *distributor.Documents) almondstep.Revision {
	if doc := d.Document(almondstep.DocumentConfig); doc != nil {
		return doc.Revision
	}
	return 0
}

// check compares the accepted edits with the results that the operators got.
func (h *history) check() {
	accepted := make(map[string]bool)
	before := &applier.Envelope{}
	for _, e := range h.fake.accepted {
		edit := e.History[0]
		if e.Revision <= before.Revision {
			h.t.Errorf("got revision %d after %d, want a higher one", e.Revision, before.Revision)
		}
		if accepted[edit.WriteID] {
			h.t.Errorf("%s came into force twice", edit.WriteID)
		}
		accepted[edit.WriteID] = true
		h.checkStep(before, e)
		before = e
	}
	for id, err := range h.outcomes {
		switch {
		case err == nil && !accepted[id]:
			h.t.Errorf("%s was reported as accepted and isn't", id)
		case err != nil && accepted[id] && !errors.Is(err, applier.ErrOutcomeUnknown):
			h.t.Errorf("%s was accepted and reported as %v", id, err)
		}
	}
	for i, d := range h.daemons {
		h.checkDaemon(i, d)
	}
}

// checkStep checks that an accepted edit changes only the entry that its operator
// changed, and so undoes no edit that was accepted before.
func (h *history) checkStep(before, after *applier.Envelope) {
	id := after.History[0].WriteID
	changes, err := patcher.Diff([]byte(before.Text), []byte(after.Text))
	if err != nil {
		h.t.Fatal(err)
	}
	for _, c := range changes {
		if before.Revision > 0 && c.Address() != h.intended[id] {
			h.t.Errorf("%s changed %s, want only %s", id, c.Address(), h.intended[id])
		}
		if before.Revision > 0 && c.Before() != h.replaced[id] {
			h.t.Errorf("%s replaced %s, want %s", id, c.Before(), h.replaced[id])
		}
	}
	if got, want := after.PrevHash, before.Hash; got != want {
		h.t.Errorf("%s: got previous hash %q, want %q", id, got, want)
	}
	if former, err := after.TextAt(before.Revision); before.Revision > 0 && (err != nil || string(former) != before.Text) {
		h.t.Errorf("%s: got former text %q and %v, want %q", id, former, err, before.Text)
	}
}

// checkDaemon checks that a daemon holds an accepted revision.
func (h *history) checkDaemon(i int, d *distributor.Documents) {
	doc := d.Document(almondstep.DocumentConfig)
	if doc == nil {
		return
	}
	held := slices.ContainsFunc(h.fake.accepted, func(e *applier.Envelope) bool {
		return e.Revision == doc.Revision && e.Text == string(doc.Body)
	})
	if !held {
		h.t.Errorf("daemon %d holds revision %d, which was never accepted", i, doc.Revision)
	}
}

// TestNoHistoryLosesAnEdit runs random histories of concurrent edits, lost and
// delayed writes, lost answers, and daemons that read, pull and restart.
func TestNoHistoryLosesAnEdit(t *testing.T) {
	var all [parallelGroups]map[string]int
	t.Run("group", func(t *testing.T) {
		for g := range parallelGroups {
			all[g] = make(map[string]int)
			t.Run(strconv.Itoa(g), func(t *testing.T) {
				t.Parallel()
				for seed := g; seed < histories; seed += parallelGroups {
					runHistory(t, seed, all[g])
				}
			})
		}
	})
	counts := make(map[string]int)
	for _, group := range all {
		for name, n := range group {
			counts[name] += n
		}
	}
	t.Logf("edits by outcome: %v", counts)
	for _, name := range []string{"accepted", "conflict", "unavailable", "unknown"} {
		if counts[name] == 0 {
			t.Errorf("no edit ended as %q, so the histories don't cover that outcome", name)
		}
	}
}

func runHistory(t *testing.T, seed int, counts map[string]int) {
	h := newHistory(t, seed)
	for range 1 + seed%4 {
		h.operatorStep()
	}
	for len(h.fake.delayed) > 0 {
		h.fake.deliverDelayed()
	}
	h.check()
	for _, err := range h.outcomes {
		counts[outcomeName(err)]++
	}
	if t.Failed() {
		t.Fatalf("seed %d", seed)
	}
}

func outcomeName(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, applier.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, almondstep.ErrConflict):
		return "conflict"
	case errors.Is(err, almondstep.ErrUnavailable):
		return "unavailable"
	default:
		return err.Error()
	}
}
