// Package experimenter runs scenarios: searches at a steady rate on an embedded fleet,
// with faults and changes, under almondstep's policy and under naive policies, each on
// a new fleet with the same seed.
//
// A scenario is JSON with comments, such as examples/stragglers.jsonc:
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

// ScenarioConfig is the JSON form of a scenario.
type ScenarioConfig struct {
	Name string `json:"name"`
	// Zones and DaemonsPerZone are 3 and 2 if they are left out.
	Zones          int `json:"zones"`
	DaemonsPerZone int `json:"daemonsPerZone"`
	Shards         int `json:"shards"`
	// Replicas is 2 if it is left out.
	Replicas int `json:"replicas"`
	// Rate is the average number of searches per second.
	Rate     float64       `json:"rate"`
	Duration string        `json:"duration"`
	Latency  LatencyConfig `json:"latency"`
	Events   []EventConfig `json:"events"`
}

// LatencyConfig is the latency distribution of an upstream.
type LatencyConfig struct {
	Base            string  `json:"base"`
	Spread          string  `json:"spread"`
	StragglerIn     int     `json:"stragglerIn"`
	StragglerFactor float64 `json:"stragglerFactor"`
}

// EventConfig is a fault or change during the run.
type EventConfig struct {
	At string `json:"at"`
	Do string `json:"do"`
}

// Scenario is a validated scenario.
type Scenario struct {
	config   ScenarioConfig
	duration time.Duration
	latency  upstream.Latency
	events   []event
}

// event runs an action at a time after the start of the run.
type event struct {
	at     time.Duration
	action string
}

// Parse parses and validates a scenario. The error is an almondstep.ErrInvalid and
// lists all problems.
func Parse(body []byte) (*Scenario, error) {
	plain, err := hujson.Standardize(slices.Clone(body))
	if err != nil {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "scenario: %v", err)
	}
	text := ScenarioConfig{Zones: 3, DaemonsPerZone: 2, Replicas: 2}
	d := json.NewDecoder(strings.NewReader(string(plain)))
	d.DisallowUnknownFields()
	if err := d.Decode(&text); err != nil {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "scenario: %v", err)
	}
	c := checker{}
	s := &Scenario{config: text}
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
		c.require(known, "events/%d/do: %q is not one of %s", i, e.Do, strings.Join(actionNames(), ", "))
		s.events = append(s.events, event{at: at, action: e.Do})
	}
	s.checkRanges(&c)
	return s, c.err()
}

// checkRanges checks the limits of a scenario and the order of its events.
func (s *Scenario) checkRanges(c *checker) {
	t := &s.config
	c.require(t.Name != "", "name is missing")
	c.require(t.Shards >= 1 && t.Shards <= maxShards, "shards: %d is not from 1 to %d", t.Shards, maxShards)
	c.require(t.Replicas >= 1 && t.Shards*t.Replicas <= maxServers, "replicas: shards times replicas is not from 1 to %d", maxServers)
	c.require(t.Zones >= 1 && t.Zones <= 6, "zones: %d is not from 1 to 6", t.Zones)
	c.require(t.DaemonsPerZone >= 1 && t.DaemonsPerZone <= 16, "daemonsPerZone: %d is not from 1 to 16", t.DaemonsPerZone)
	c.require(t.Rate > 0 && t.Rate <= maxRate, "rate: %g is not above 0 and at most %d", t.Rate, maxRate)
	c.require(s.duration > 0 && s.duration <= maxDuration, "duration: %s is not above 0 and at most %s", s.duration, maxDuration)
	c.require(slices.IsSortedFunc(s.events, func(a, b event) int { return int(a.at - b.at) }), "events are not sorted by time")
}

// Name is the scenario's name.
func (s *Scenario) Name() string { return s.config.Name }

// Override replaces values with the arguments that aren't 0 and validates the
// scenario again.
func (s *Scenario) Override(shards int, rate float64, duration time.Duration) error {
	if shards != 0 {
		s.config.Shards = shards
	}
	if rate != 0 {
		s.config.Rate = rate
	}
	if duration != 0 {
		s.duration = duration
	}
	c := checker{}
	s.checkRanges(&c)
	return c.err()
}

// checker collects the problems of a scenario.
type checker struct{ problems []string }

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) duration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	c.require(err == nil && d >= 0, "%s: %q is not a duration like 40ms", field, text)
	return d
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.Wrapf(almondstep.ErrInvalid, "scenario: %s", strings.Join(c.problems, "; "))
}
