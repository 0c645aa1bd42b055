package distributor_test

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
	"almondstep/distributor"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a sequence of events at one daemon.
type session struct {
	// About describes the session.
	About string `json:"about"`
	Relay bool   `json:"relay"`
	Steps []step `json:"steps"`
}

// step is one event. Besides At, exactly one field is set. Revision r of the
// configuration is revisionOf(r).
type step struct {
	At   string `json:"at"`
	Tick bool   `json:"tick,omitempty"`
	// Read is the answer to the last read.
	Read *struct {
		Revision  almondstep.Revision `json:"revision,omitempty"`
		Unchanged bool                `json:"unchanged,omitempty"`
		Err       string              `json:"err,omitempty"`
	} `json:"read,omitempty"`
	// Observed is the document state in a peer's digest that was requested at Sent.
	Observed *struct {
		From     almondstep.DaemonID `json:"from"`
		Sent     string              `json:"sent"`
		Revision almondstep.Revision `json:"revision"`
		Age      string              `json:"age"`
	} `json:"heard,omitempty"`
	// Pulled is the answer to a pull: the full text from a peer.
	Pulled *struct {
		From     almondstep.DaemonID `json:"from"`
		Revision almondstep.Revision `json:"revision"`
	} `json:"pulled,omitempty"`
	// Pull is a pull by a peer that holds revision Have.
	Pull *struct {
		Have almondstep.Revision `json:"have"`
	} `json:"pull,omitempty"`
}

// player replays a session.
type player struct {
	t           *testing.T
	d           *distributor.Documents
	relay       bool
	requestedAt almondstep.Instant
}

// TestGoldenSessions replays each session and compares the log of its effects with the
// golden file.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*/events.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d sessions and %v, want some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			got := play(t, file)
			golden := filepath.Join(filepath.Dir(file), "effects.log")
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

func play(t *testing.T, file string) string {
	t.Helper()
	body, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var s session
	if err := json.Unmarshal(body, &s); err != nil {
		t.Fatal(err)
	}
	p := &player{t: t, d: distributor.New(distributor.Config{Seed: 1}), relay: s.Relay}
	var log strings.Builder
	for _, step := range s.Steps {
		now := p.instant(step.At)
		description, out := p.apply(now, step)
		fmt.Fprintf(&log, "%s %s\n", step.At, description)
		for _, e := range out {
			if line := p.line(e); line != "" {
				fmt.Fprintf(&log, "    %s\n", line)
			}
		}
		state := p.d.States(now)[0]
		age := state.Age.String()
		if state.Age == almondstep.AgeUnknown {
			age = "unknown"
		}
		fmt.Fprintf(&log, "    holds revision %d, age %s\n", state.Revision, age)
	}
	return log.String()
}

func (p *player) instant(text string) almondstep.Instant {
	d, err := time.ParseDuration(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return almondstep.Instant(time.Hour + d)
}

func (p *player) apply(now almondstep.Instant, s step) (string, []almondstep.Effect) {
	const name = almondstep.DocumentConfig
	switch {
	case s.Tick:
		return "tick", p.d.Tick(now, p.relay, nil)
	case s.Read != nil:
		e := &almondstep.DocumentRead{Name: name, Unchanged: s.Read.Unchanged, Err: s.Read.Err, RequestedAt: p.requestedAt}
		if s.Read.Revision > 0 {
			e.Document = revisionOf(s.Read.Revision)
		}
		return fmt.Sprintf("read: %+v", *s.Read), p.d.Reduce(now, e, nil)
	case s.Observed != nil:
		age, _ := time.ParseDuration(s.Observed.Age)
		states := []almondstep.DocumentState{stateOf(revisionOf(s.Observed.Revision), age)}
		return fmt.Sprintf("heard: %+v", *s.Observed), p.d.Observe(now, p.instant(s.Observed.Sent), s.Observed.From, "far:1", states, nil)
	case s.Pulled != nil:
		doc := revisionOf(s.Pulled.Revision)
		patch := &almondstep.Patch{Name: name, Revision: doc.Revision, Hash: doc.Hash, Body: doc.Body}
		return fmt.Sprintf("pulled: %+v", *s.Pulled), p.d.Reduce(now, &almondstep.PullEnded{From: s.Pulled.From, Name: name, Patch: patch}, nil)
	default:
		have := almondstep.DocumentState{Name: name, Revision: s.Pull.Have}
		if s.Pull.Have > 0 {
			have.Hash = revisionOf(s.Pull.Have).Hash
		}
		return fmt.Sprintf("pull: %+v", *s.Pull), p.d.Reduce(now, &almondstep.PullArrived{From: "asker", Have: have}, nil)
	}
}

// line formats an effect; it is empty for a read of the list of VMs.
func (p *player) line(e almondstep.Effect) string {
	switch e := e.(type) {
	case *almondstep.ReadDocument:
		if e.Name != almondstep.DocumentConfig {
			return ""
		}
		p.requestedAt = e.RequestedAt
		return fmt.Sprintf("readDocument after %d, wait %s", e.After, e.Wait)
	case *almondstep.SendPull:
		return fmt.Sprintf("sendPull to %s, have %d", e.To, e.Have.Revision)
	case *almondstep.ReplyPull:
		switch {
		case e.Patch == nil:
			return "replyPull: nothing newer"
		case e.Patch.FromHash == "":
			return fmt.Sprintf("replyPull: revision %d, full text of %d bytes", e.Patch.Revision, len(e.Patch.Body))
		}
		return fmt.Sprintf("replyPull: revision %d, patch %s", e.Patch.Revision, e.Patch.Body)
	case *almondstep.Report:
		return "report on " + e.Subject + ": " + e.Message
	}
	return e.Kind()
}
