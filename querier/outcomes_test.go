package querier_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

// outcomeCase runs the case of one line of docs/OUTCOMES.md.
type outcomeCase func(d *driver)

// TestOutcomesTable checks the table in docs/OUTCOMES.md: each line has a case
// here, each case has a line, and each ends with the outcome of its line.
func TestOutcomesTable(t *testing.T) {
	text, err := os.ReadFile("../docs/OUTCOMES.md")
	if err != nil {
		t.Fatal(err)
	}
	left := outcomeCases()
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 4 || strings.HasPrefix(cells[0], "-") || strings.Contains(cells[0], "Point of") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		name := cells[1] + ": " + cells[0]
		run := left[name]
		delete(left, name)
		t.Run(name, func(t *testing.T) {
			if run == nil {
				t.Fatal("the table has a line without a case")
			}
			checkOutcome(t, run, cells[2], strings.TrimPrefix(cells[3], "-"))
		})
	}
	for name := range left {
		t.Errorf("%q has a case but no line in the table", name)
	}
}

func checkOutcome(t *testing.T, run outcomeCase, outcome, code string) {
	d := newDriver(t, deskFleet(4, 2, 1))
	run(d)
	a := d.last
	if a == nil {
		t.Fatal("no answer")
	}
	if got, want := string(a.Outcome), outcome; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
	if got, want := string(a.Code), code; got != want {
		t.Errorf("code %q, want %q", got, want)
	}
	if a.Code != "" && a.Message == "" {
		t.Errorf("code %q has no message", a.Code)
	}
	if got, want := d.q.Open(), 0; got != want {
		t.Errorf("%d open queries, want %d", got, want)
	}
}

func outcomeCases() map[string]outcomeCase {
	const (
		done, shed = almondstep.ItemDone, almondstep.ItemNotRun
		failed     = almondstep.ItemFailed
	)
	return map[string]outcomeCase{
		"search: none":                          func(d *driver) { d.searchAll(done) },
		"run: none":                             func(d *driver) { d.runAll("", done) },
		"search: no configuration yet":          noConfiguration,
		"search: unknown name":                  func(d *driver) { d.at(0, d.searchWith(func(e *almondstep.SearchArrived) { e.Name = "?" })) },
		"search: ambiguous name":                ambiguousName,
		"search: unknown tenant":                func(d *driver) { d.at(0, d.searchWith(func(e *almondstep.SearchArrived) { e.Tenant = "?" })) },
		"search: unknown class":                 func(d *driver) { d.at(0, d.searchWith(func(e *almondstep.SearchArrived) { e.Class = "?" })) },
		"run: unknown operation":                unknownOperation,
		"search: too many open queries":         tooManyOpen,
		"search: deadline too short":            deadlineTooShort,
		"search: no replica of any shard":       func(d *driver) { d.removeReplicas(4); d.searchAll(done) },
		"run: no replica of the shard":          func(d *driver) { d.removeReplicas(4); d.runAll("", done) },
		"search: no replica of some shards":     func(d *driver) { d.removeReplicas(1); d.searchAll(done) },
		"search: all upstreams shed":            func(d *driver) { d.searchAll(shed) },
		"run: all upstreams shed":               func(d *driver) { d.runAll("", shed) },
		"search: some upstreams shed":           func(d *driver) { d.searchAll(done, shed) },
		"search: owners refuse connections":     func(d *driver) { d.searchFails(true) },
		"run: owner refuses the connection":     func(d *driver) { d.at(0, d.nonIdempotentRun("")); d.failAll(true) },
		"search: owners lost after taking work": func(d *driver) { d.searchFails(false) },
		"run: owner lost after taking work":     func(d *driver) { d.at(0, d.nonIdempotentRun("")); d.failAll(false) },
		"run: owner lost while results are collected": func(d *driver) {
			d.runAll("", almondstep.ItemPending)
			d.failAll(false)
		},
		"run: collect refused by a restarted owner": func(d *driver) {
			d.runAll("", almondstep.ItemPending)
			d.failAll(true)
		},
		"search: soft deadline, enough coverage": softDeadline,
		"search: hard deadline, nothing merged": func(d *driver) {
			d.at(0, search(1, "routine"))
			d.at(400*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHard})
		},
		"run: hard deadline": func(d *driver) {
			d.at(0, d.nonIdempotentRun(""))
			d.at(400*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHard})
		},
		"run: hard deadline while the key is claimed": func(d *driver) {
			d.at(0, d.nonIdempotentRun("k"))
			d.at(400*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHard})
		},
		"run: key taken":                                func(d *driver) { d.claim(almondstep.ClaimTaken) },
		"run: platform unavailable":                     func(d *driver) { d.claim(almondstep.ClaimUnavailable) },
		"search: upstream's program fails":              func(d *driver) { d.searchAll(done, failed) },
		"run: upstream's program fails":                 func(d *driver) { d.runAll("", failed) },
		"search: upstream answers from another version": func(d *driver) { d.searchAll(done, almondstep.ItemWrongVersion) },
		"run: upstream answers from another version":    func(d *driver) { d.runAll("", almondstep.ItemWrongVersion) },
		"search: upstreams crash at the canaries":       func(d *driver) { d.searchAll(almondstep.ItemCrashed) },
		"run: upstream crashes":                         func(d *driver) { d.runAll("", almondstep.ItemCrashed) },
		"search: resend of a quarantined request":       func(d *driver) { d.searchAll(almondstep.ItemCrashed); d.at(time.Second, search(2, "routine")) },
		"search: view says quarantined":                 viewQuarantined,
	}
}

func ambiguousName(d *driver) {
	f := deskFleet(4, 2, 1)
	f.Config.Schemes = append(f.Config.Schemes, "field")
	f.Config.Services = append(f.Config.Services, almondstep.ServiceConfig{
		Name: "counter", Names: map[almondstep.SchemeName]string{"field": "desk"}, DialTime: "1ms",
	})
	d.v = f.view()
	d.at(0, d.searchWith(func(e *almondstep.SearchArrived) { e.Scheme = "" }))
}

func noConfiguration(d *driver) {
	d.v = almondstep.NewView(almondstep.ViewSpec{Self: self, Unready: "no configuration"})
	d.at(0, search(1, "routine"))
}

func unknownOperation(d *driver) {
	e := d.nonIdempotentRun("")
	e.Operation = "?"
	d.at(0, e)
}

func tooManyOpen(d *driver) {
	d.q = querier.New(querier.Config{MaxOpen: 1})
	d.at(0, search(1, "urgent"))
	d.at(0, search(2, "urgent"))
	refusal := d.last
	d.at(ms, &almondstep.CallerGone{ID: 1})
	d.last = refusal
}

// deadlineTooShort fills the digest with latencies longer than the caller's
// deadline.
func deadlineTooShort(d *driver) {
	for id := range almondstep.QueryID(40) {
		d.searchID(id+1, almondstep.ItemDone)
	}
	d.at(time.Second, d.searchWith(func(e *almondstep.SearchArrived) { e.Deadline = ms }))
}

func softDeadline(d *driver) {
	d.at(0, search(1, "urgent"))
	d.at(ms, d.answerTo(d.works()[0], almondstep.ItemDone))
	d.at(2*ms, d.answerTo(d.works()[0], almondstep.ItemDone))
	d.at(40*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerSoft})
}

func viewQuarantined(d *driver) {
	f := deskFleet(4, 2, 1)
	f.Quarantined = []almondstep.Fingerprint{77}
	d.v = f.view()
	d.at(0, search(1, "routine"))
}
