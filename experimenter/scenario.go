// Package experimenter runs scenarios: an embedded set under a steady rate of
// searches while things fail, beside the naive policy on the same upstreams.
//
// A scenario is a text of JSON with comments, such as examples/stragglers.jsonc:
//
//	{
//	  "name": "stragglers", "shards": 1200, "replicas": 2, "rate": 8, "duration": "10s",
//	  "latency": {"base": "3ms", "spread": "2ms", "stragglerIn": 1000, "stragglerFactor": 10},
//	  "events": [{"at": "5s", "do": "loseReplica"}]
//	}
package experimenter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"almondstep"
	"almondstep/standin/upstream"
)

// Limits of a scenario.
const (
	maxShards   = 2_000
	maxServers  = 4_000
	maxRate     = 20_000
	maxDuration = 10 * time.Minute
)

// ScenarioText is a scenario as it is written.
type ScenarioText struct {
	Name string `json:"name"`
	// Zones and DaemonsPerZone size the tier; 0 means 3 and 2.
	Zones          int `json:"zones"`
	DaemonsPerZone int `json:"daemonsPerZone"`
	Shards         int `json:"shards"`
	Replicas       int `json:"replicas"`
	// Rate is the searches per second.
	Rate     float64     `json:"rate"`
	Duration string      `json:"duration"`
	Latency  LatencyText `json:"latency"`
	Events   []EventText `json:"events"`
}

// LatencyText is how long an upstream takes.
type LatencyText struct {
	Base            string  `json:"base"`
	Spread          string  `json:"spread"`
	StragglerIn     int     `json:"stragglerIn"`
	StragglerFactor float64 `json:"stragglerFactor"`
}

// EventText is something that happens during the run.
type EventText struct {
	At string `json:"at"`
	Do string `json:"do"`
}

// Scenario is a checked scenario.
type Scenario struct {
	text     ScenarioText
	duration time.Duration
	latency  upstream.Latency
	events   []event
}

// event is something that happens a time after the start.
type event struct {
	at   time.Duration
	what string
}

// Parse reads and checks a scenario. The error is an almondstep.ErrInvalid and
// lists all that is wrong.
func Parse(body []byte) (*Scenario, error) {
	plain, err := hujson.Standardize(slices.Clone(body))
	if err != nil {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "scenario: %v", err)
	}
	text := ScenarioText{Zones: 3, DaemonsPerZone: 2, Replicas: 2}
	d := json.NewDecoder(strings.NewReader(string(plain)))
	d.DisallowUnknownFields()
	if err := d.Decode(&text); err != nil {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "scenario: %v", err)
	}
	c := checker{}
	s := &Scenario{text: text}
	s.duration = c.duration("duration", text.Duration)
	s.latency = upstream.Latency{
		Base:            c.duration("latency/base", text.Latency.Base),
		Spread:          c.duration("latency/spread", text.Latency.Spread),
		StragglerIn:     text.Latency.StragglerIn,
		StragglerFactor: text.Latency.StragglerFactor,
	}
	for i, e := range text.Events {
		at := c.duration(fmt.Sprintf("events/%d/at", i), e.At)
		_, known := actions[e.Do]
		c.that(known, "events/%d/do: %q is none of %s", i, e.Do, strings.Join(actionNames(), ", "))
		s.events = append(s.events, event{at: at, what: e.Do})
	}
	s.checkRanges(&c)
	return s, c.err()
}

func (s *Scenario) checkRanges(c *checker) {
	t := &s.text
	c.that(t.Name != "", "name is missing")
	c.that(t.Shards >= 1 && t.Shards <= maxShards, "shards: %d is not from 1 to %d", t.Shards, maxShards)
	c.that(t.Replicas >= 1 && t.Shards*t.Replicas <= maxServers, "replicas: shards times replicas is not from 1 to %d", maxServers)
	c.that(t.Zones >= 1 && t.Zones <= 6, "zones: %d is not from 1 to 6", t.Zones)
	c.that(t.DaemonsPerZone >= 1 && t.DaemonsPerZone <= 16, "daemonsPerZone: %d is not from 1 to 16", t.DaemonsPerZone)
	c.that(t.Rate > 0 && t.Rate <= maxRate, "rate: %g is not above 0 and at most %d", t.Rate, maxRate)
	c.that(s.duration > 0 && s.duration <= maxDuration, "duration: %s is not above 0 and at most %s", s.duration, maxDuration)
	c.that(slices.IsSortedFunc(s.events, func(a, b event) int { return int(a.at - b.at) }), "events are not in the order of time")
}

// Name is the scenario's name.
func (s *Scenario) Name() string { return s.text.Name }

// Override replaces what isn't 0 and checks the scenario again.
func (s *Scenario) Override(shards int, rate float64, duration time.Duration) error {
	if shards != 0 {
		s.text.Shards = shards
	}
	if rate != 0 {
		s.text.Rate = rate
	}
	if duration != 0 {
		s.duration = duration
	}
	c := checker{}
	s.checkRanges(&c)
	return c.err()
}

// checker collects what is wrong.
type checker struct{ problems []string }

func (c *checker) that(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) duration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	c.that(err == nil && d >= 0, "%s: %q is not a time like 40ms", field, text)
	return d
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.Wrapf(almondstep.ErrInvalid, "scenario: %s", strings.Join(c.problems, "; "))
}
