package loader_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/loader"
)

const requiredSettings = `"zone": "z", "platformAddress": "127.0.0.1:1"`

func TestPrintedSettingsLoadAsDefaults(t *testing.T) {
	var b bytes.Buffer
	if err := loader.Print(&b); err != nil {
		t.Fatal(err)
	}
	got, err := loader.Parse("printed", b.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	want := loader.Defaults()
	if got.StopTimeout != want.StopTimeout || got.ListenPeers != want.ListenPeers || got.LogLevel != want.LogLevel {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got.Zone == "" || got.PlatformAddress == "" {
		t.Errorf("got %+v, want examples for what is required", got)
	}
}

func TestValues(t *testing.T) {
	s, err := loader.Parse("f", []byte(`{`+requiredSettings+`, "distances": {"y": "1.5ms"}, "logJson": true, "trafficThreads": 4}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Distances["y"], 1500*time.Microsecond; got != want {
		t.Errorf("got distance %s, want %s", got, want)
	}
	if got, want := s.TrafficThreads, 4; got != want {
		t.Errorf("got %d threads, want %d", got, want)
	}
	if !s.LogJSON {
		t.Error("got logJson false, want true")
	}
	if got, want := s.Advertised(), s.ListenPeers; got != want {
		t.Errorf("got advertised %q, want %q", got, want)
	}
}

func TestAllBadSettingsAtOnce(t *testing.T) {
	body := `{
  "platformAddress": "localhost:1",
  "stopTimeout": "30",
  "readyDelay": "2h",
  "trafficThreads": 1000,
  "logLevel": "loud",
  "logJson": 1,
  "zoen": "z",
  "distances": {"y": 3},
  "certFile": "c",
  "tlsPeers": true,
  "vm": "a b",
}`
	_, err := loader.Parse("d.jsonc", []byte(body))
	if !errors.Is(err, almondstep.ErrInvalid) {
		t.Fatalf("got %v, want ErrInvalid", err)
	}
	wants := []string{
		`d.jsonc:1:1: zone is missing`,
		`d.jsonc:2:22: platformAddress "localhost:1" is no address`,
		`d.jsonc:3:18: stopTimeout "30" is no duration`,
		`d.jsonc:4:17: readyDelay is 2h0m0s`,
		`d.jsonc:5:21: trafficThreads is 1000`,
		`d.jsonc:6:15: logLevel "loud" doesn't exist`,
		`d.jsonc:7:14: logJson: a number instead of true or false`,
		`d.jsonc:8:3: unknown key "zoen"`,
		`d.jsonc:9:22: distances/y: a number instead of a duration`,
		`d.jsonc:10:15: certFile and keyFile belong together`,
		`d.jsonc:11:15: tlsPeers needs caFile`,
		`d.jsonc:12:9: vm "a b" is no name`,
	}
	got := strings.Split(err.Error(), "\n")
	if len(got) != len(wants) {
		t.Fatalf("got %d problems, want %d:\n%v", len(got), len(wants), err)
	}
	for i, want := range wants {
		if !strings.HasPrefix(got[i], want) {
			t.Errorf("got %s, want %s", got[i], want)
		}
	}
}

// The example settings are valid and use different listen addresses.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/daemon-*.jsonc")
	if err != nil || len(files) != 3 {
		t.Fatalf("got %d files and %v, want 3", len(files), err)
	}
	taken := make(map[almondstep.Address]string)
	for _, file := range files {
		s, err := loader.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range []almondstep.Address{s.ListenCallers, s.ListenOperators, s.ListenPeers} {
			if first, ok := taken[a]; ok {
				t.Errorf("%s listens on %s, as does %s", file, a, first)
			}
			taken[a] = file
		}
		if _, ok := s.Distances[s.Zone]; ok || len(s.Distances) != 2 {
			t.Errorf("%s: got distances %v, want those to the two other zones", file, s.Distances)
		}
	}
}
