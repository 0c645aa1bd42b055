package querier_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a complete session: a fleet and its events in order.
type session struct {
	// About describes the session for readers.
	About string `json:"about"`
	// Shards, Owners and Copies describe the fleet as deskFleet makes it.
	Shards int    `json:"shards"`
	Owners int    `json:"owners"`
	Copies int    `json:"copies"`
	Steps  []step `json:"steps"`
}

// step is one event. Besides At, one field is set; only Change and DrainedZone, which
// change the view, may be set together.
type step struct {
	At          string                    `json:"at"`
	Search      *almondstep.SearchArrived `json:"search,omitempty"`
	Run         *almondstep.RunArrived    `json:"run,omitempty"`
	Claim       *almondstep.ClaimAnswered `json:"claim,omitempty"`
	Timer       *almondstep.QueryTimer    `json:"timer,omitempty"`
	Gone        *almondstep.CallerGone    `json:"gone,omitempty"`
	Failed      *almondstep.WorkFailed    `json:"failed,omitempty"`
	Answer      *shortAnswer              `json:"answer,omitempty"`
	Change      []server                  `json:"change,omitempty"`
	DrainedZone almondstep.ZoneName       `json:"zoneOut,omitempty"`
}

// shortAnswer answers an attempt. Shards not listed are done; an item with a
// final outcome in an earlier answer is omitted unless it is listed. An outcome
// may have a reason: "notRun shed".
type shortAnswer struct {
	ID       almondstep.QueryID   `json:"id"`
	Attempt  almondstep.AttemptID `json:"attempt"`
	Outcomes map[string]string    `json:"outcomes,omitempty"`
}

// outcomeNames are the names of item outcomes in sessions.
var outcomeNames = map[string]almondstep.ItemOutcome{
	"done":         almondstep.ItemDone,
	"pending":      almondstep.ItemPending,
	"notRun":       almondstep.ItemNotRun,
	"failed":       almondstep.ItemFailed,
	"unknown":      almondstep.ItemUnknown,
	"wrongVersion": almondstep.ItemWrongVersion,
	"crashed":      almondstep.ItemCrashed,
}

// settledItem is an item with a final outcome in an earlier answer.
type settledItem struct {
	id      almondstep.QueryID
	attempt almondstep.AttemptID
	item    almondstep.Item
}

// replayer replays a session and writes its log.
type replayer struct {
	t       *testing.T
	q       *querier.Queries
	fleet   *fleet
	view    *almondstep.View
	sent    map[almondstep.QueryID][]*almondstep.SendWork
	settled map[settledItem]bool
	lines   []string
}

// TestGoldenSessions replays each session in testdata and compares the log with
// the golden file.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*/events.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d sessions, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			got := replay(t, file)
			golden := filepath.Join(filepath.Dir(file), "effects.json")
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

func replay(t *testing.T, file string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var s session
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		t.Fatal(err)
	}
	p := &replayer{
		t:       t,
		q:       querier.New(querier.Config{Seed: 1}),
		fleet:   deskFleet(s.Shards, s.Owners, s.Copies),
		sent:    map[almondstep.QueryID][]*almondstep.SendWork{},
		settled: map[settledItem]bool{},
	}
	p.view = p.fleet.view()
	for i := range s.Steps {
		p.step(&s.Steps[i])
	}
	if got, want := p.q.Open(), 0; got != want {
		t.Errorf("%d queries open at the end, want %d", got, want)
	}
	return []byte("[\n" + strings.Join(p.lines, ",\n") + "\n]\n")
}

func (p *replayer) step(s *step) {
	at, err := time.ParseDuration(s.At)
	if err != nil {
		p.t.Fatal(err)
	}
	e := p.event(s)
	p.write(s.At, "event", e.Kind(), e)
	for _, effect := range p.q.Reduce(almondstep.Instant(at), p.view, e, nil) {
		if send, ok := effect.(*almondstep.SendWork); ok {
			p.sent[send.Work.Query] = append(p.sent[send.Work.Query], send)
		}
		p.write(s.At, "effect", effect.Kind(), effect)
	}
}

func (p *replayer) event(s *step) almondstep.Event {
	switch {
	case s.Search != nil:
		return s.Search
	case s.Run != nil:
		return s.Run
	case s.Claim != nil:
		return s.Claim
	case s.Timer != nil:
		return s.Timer
	case s.Gone != nil:
		return s.Gone
	case s.Failed != nil:
		s.Failed.Owner = p.sent[s.Failed.ID][s.Failed.Attempt-1].Owner
		return s.Failed
	case s.Answer != nil:
		return p.answer(s.Answer)
	}
	p.change(s)
	return &almondstep.ViewChanged{}
}

func (p *replayer) answer(s *shortAnswer) almondstep.Event {
	sends := p.sent[s.ID]
	if int(s.Attempt) > len(sends) {
		p.t.Fatalf("query %d has sent %d attempts, not %d", s.ID, len(sends), s.Attempt)
	}
	send := sends[s.Attempt-1]
	a := &almondstep.WorkAnswered{ID: s.ID, Attempt: s.Attempt, Owner: send.Owner, Version: send.Work.Version}
	for _, item := range send.Work.Items {
		name, named := s.Outcomes[item.Shard.String()]
		key := settledItem{id: s.ID, attempt: s.Attempt, item: item}
		if p.settled[key] && !named {
			continue
		}
		name, reason, _ := strings.Cut(name, " ")
		ia := almondstep.ItemAnswer{Item: item, Took: 3 * time.Millisecond, Outcome: outcomeNames[name], Reason: almondstep.Reason(reason)}
		if ia.Outcome == almondstep.ItemDone {
			ia.Total = 1
			a.Records = append(a.Records, almondstep.Record{Key: item.Shard.String()})
			a.Sources = append(a.Sources, uint32(len(a.Items)))
		}
		p.settled[key] = ia.Outcome != almondstep.ItemPending
		a.Items = append(a.Items, ia)
	}
	return a
}

// change builds the next view: the given servers replace those of the fleet with
// the same address, or are added to it.
func (p *replayer) change(s *step) {
	for _, c := range s.Change {
		found := false
		for i := range p.fleet.Servers {
			if p.fleet.Servers[i].Addr == c.Addr {
				p.fleet.Servers[i] = c
				found = true
			}
		}
		if !found {
			p.fleet.Servers = append(p.fleet.Servers, c)
		}
	}
	for i := range p.fleet.Config.Zones {
		z := &p.fleet.Config.Zones[i]
		z.Drained = z.Drained || z.Name == s.DrainedZone
	}
	p.view = p.fleet.view()
}

// write appends one line to the log.
func (p *replayer) write(at, what, kind string, value any) {
	line := struct {
		At    string `json:"at"`
		What  string `json:"what"`
		Kind  string `json:"kind"`
		Value any    `json:"value"`
	}{At: at, What: what, Kind: kind, Value: value}
	text, err := json.Marshal(line)
	if err != nil {
		p.t.Fatal(err)
	}
	p.lines = append(p.lines, string(text))
}
