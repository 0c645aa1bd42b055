package upstream

import (
	"maps"
	"sync"
	"time"

	"almondstep"
)

// Counters are a server's counts over all its boots.
type Counters struct {
	Started      int `json:"started"`
	Shed         int `json:"shed"`
	Refused      int `json:"refused"`
	WrongVersion int `json:"wrongVersion"`
	// Canceled is the number of requests stopped because the client had closed
	// the connection.
	Canceled int `json:"canceled"`
	// Expired is the number of requests stopped at their deadline.
	Expired int `json:"expired"`
	// Crashes is the number of crashes and restarts.
	Crashes int `json:"crashes"`
	// Overruns is how often the requests in flight exceeded the cold server's
	// capacity.
	Overruns int `json:"overruns"`
	// PeakOverCold is the largest number of requests in flight above the cold
	// server's capacity.
	PeakOverCold       int `json:"peakOverCold"`
	PeakInFlight       int `json:"peakInFlight"`
	Connections        int `json:"connections"`
	PeakConnections    int `json:"peakConnections"`
	ConnectionsRefused int `json:"connectionsRefused"`
}

// Latency is how long requests take: Base plus a uniformly distributed time of
// up to Spread. One request in StragglerIn takes StragglerFactor times as long.
// With the same seed, the nth request to begin always takes the same time.
type Latency struct {
	Base            time.Duration
	Spread          time.Duration
	StragglerIn     int
	StragglerFactor float64
	Seed            uint64
}

// forRequest returns how long the request with a number takes.
func (l Latency) forRequest(number int) time.Duration {
	x := almondstep.HashUint64(l.Seed ^ almondstep.HashUint64(uint64(number)))
	d := l.Base
	if l.Spread > 0 {
		d += time.Duration(x % uint64(l.Spread))
	}
	if l.StragglerIn > 0 && almondstep.HashUint64(x)%uint64(l.StragglerIn) == 0 {
		d = time.Duration(float64(d) * l.StragglerFactor)
	}
	return d
}

// Ledger counts the runs of operations by name and text, so that a test can check that
// none ran twice.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *Ledger) recordRun(operation, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[operation+" "+text]++
}

// Runs returns the number of runs, keyed by the operation's name and text with a space
// between them.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
