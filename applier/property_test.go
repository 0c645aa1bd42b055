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

// histories is the number of random histories, and groups in how many parallel
// parts they run.
const (
	histories = 20_000
	groups    = 8
)

// zones is the number of entries that operators edit.
const zones = 4

// textOf gives a text whose entry i has the value values[i].
func textOf(values [zones]int) []byte {
	var b strings.Builder
	b.WriteString("{\"zones\": [\n")
	for i, v := range values {
		fmt.Fprintf(&b, "  {\"name\": \"z%d\", \"edit\": %d},\n", i, v)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

// valuesOf reads what textOf wrote.
func valuesOf(text string) [zones]int {
	var values [zones]int
	for i, line := range strings.Split(text, "\n")[1 : zones+1] {
		var name int
		_, _ = fmt.Sscanf(line, "  {\"name\": \"z%d\", \"edit\": %d},", &name, &values[i])
	}
	return values
}

// history is one random history: operators who race each other over a lossy
// platform, and daemons that read it, pull from each other and restart.
type history struct {
	t       *testing.T
	random  splitmix
	fake    *fake
	depth   int
	next    int
	now     almondstep.Instant
	daemons [2]*distributor.Documents
	// stale is the key's revision in a former answer of the platform that may
	// still reach a daemon.
	stale uint64
	// outcomes has how each edit ended, by write id.
	outcomes map[string]error
	// intended has the entry that each edit meant to change, and replaced what it
	// meant to put another value in the place of.
	intended map[string]string
	replaced map[string]string
}

func newHistory(t *testing.T, seed int) *history {
	h := &history{
		t: t, random: splitmix(seed), outcomes: make(map[string]error),
		intended: make(map[string]string), replaced: make(map[string]string),
	}
	h.fake = &fake{random: &h.random, lossy: 30, before: h.others}
	for i := range h.daemons {
		h.daemons[i] = distributor.New(distributor.Config{Seed: uint64(i)})
	}
	return h
}

// others lets daemons and another operator act inside of a call.
func (h *history) others() {
	h.now = h.now.Add(time.Duration(h.random.below(300)) * time.Millisecond)
	h.daemonActs(h.random.below(len(h.daemons)))
	if h.depth < 2 && h.random.below(4) == 0 {
		h.operatorActs()
	}
}

// operatorActs reads the text in force, as it was at some moment, and applies a
// change of one entry.
func (h *history) operatorActs() {
	h.depth++
	defer func() { h.depth-- }()
	h.next++
	id := fmt.Sprintf("w%d", h.next)
	var base almondstep.Revision
	var values [zones]int
	if n := len(h.fake.accepted); n > 0 {
		seen := h.fake.accepted[max(0, n-1-h.random.below(3))]
		base, values = seen.Revision, valuesOf(seen.Text)
	}
	entry := h.random.below(zones)
	h.replaced[id] = fmt.Sprintf(`{"name":"z%d","edit":%d}`, entry, values[entry])
	values[entry] = h.next
	h.intended[id] = fmt.Sprintf("zones/z%d", entry)
	a := &applier.Applier{
		Platform: h.fake,
		Who:      "operator",
		Check:    func(text []byte) error { return checkShape(text) },
		Now:      func() time.Time { return time.Unix(0, 0) },
		NewID:    func() string { return id },
		Attempts: 4,
		Pause:    func(context.Context) error { h.others(); return nil },
	}
	edit := applier.Edit{Text: textOf(values), Base: base, Rebase: h.random.below(2) == 0}
	result, err := a.Apply(context.Background(), edit)
	h.outcomes[id] = err
	if err == nil && result.WriteID != id {
		h.t.Errorf("got a result for %q, want %q", result.WriteID, id)
	}
}

// checkShape refuses what textOf doesn't write.
func checkShape(text []byte) error {
	if got := textOf(valuesOf(string(text))); !bytes.Equal(got, text) {
		return errors.Newf("got %q, want %q", got, text)
	}
	return nil
}

// daemonActs lets a daemon read the platform's present or a former answer, pull
// from the other, or restart.
func (h *history) daemonActs(i int) {
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
	out := d.Heard(h.now, h.now, "other", "a:1", other.States(h.now), nil)
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

// check compares what came into force with what the operators were told.
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

// checkStep sees to it that an edit changes only what its operator asked for,
// so that it undoes none that was accepted before.
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

// checkDaemon sees to it that a daemon holds something that was accepted.
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

// TestNoHistoryLosesAnEdit runs random histories of racing operators, lost and
// late writes, lost answers, and daemons that read, pull and restart.
func TestNoHistoryLosesAnEdit(t *testing.T) {
	var all [groups]map[string]int
	t.Run("group", func(t *testing.T) {
		for g := range groups {
			all[g] = make(map[string]int)
			t.Run(strconv.Itoa(g), func(t *testing.T) {
				t.Parallel()
				for seed := g; seed < histories; seed += groups {
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
			t.Errorf("no edit ended as %q, so the histories prove too little", name)
		}
	}
}

func runHistory(t *testing.T, seed int, counts map[string]int) {
	h := newHistory(t, seed)
	for range 1 + seed%4 {
		h.operatorActs()
	}
	for len(h.fake.late) > 0 {
		h.fake.deliver()
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
