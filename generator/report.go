package generator

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondstep"
)

const (
	// Latencies are recorded from 1 us to 60 s with three significant digits.
	minMicros  = 1
	maxMicros  = 60_000_000
	sigFigures = 3
	perMille   = 1000
)

// Report is the result of a run.
type Report struct {
	sent     atomic.Int64
	answered atomic.Int64
	began    time.Time
	ended    time.Time

	mu      sync.Mutex
	classes map[almondstep.ClassName]*ClassReport
	points  []Point
}

// ClassReport is the result of a run for one class.
type ClassReport struct {
	Class    almondstep.ClassName
	Outcomes map[almondstep.Outcome]int
	// Errors is the number of requests without an answer.
	Errors int
	// Attempts is the number of sub-requests sent, and Needed the number needed
	// without hedges and retries.
	Attempts int
	Needed   int
	// Included and Wanted count the shards of all answers.
	Included int
	Wanted   int
	// Missing counts the missing shards by reason.
	Missing map[almondstep.Reason]int

	latency *hdrhistogram.Histogram
}

// Point is one answer in the time series of a run. At is its request's scheduled time
// since the start, and Took its latency from then on.
type Point struct {
	At       time.Duration
	Took     time.Duration
	Coverage float64
}

func newReport(began time.Time) *Report {
	return &Report{began: began, classes: make(map[almondstep.ClassName]*ClassReport)}
}

func (r *Report) add(k Kind, a *almondstep.Answer, err error, due, now time.Time) {
	r.answered.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(k.Class)
	if err != nil {
		c.Errors++
		return
	}
	took := now.Sub(due)
	_ = c.latency.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
	c.Outcomes[a.Outcome]++
	c.Attempts += a.Attempts
	c.Needed += a.Needed
	c.Included += a.Coverage.Included
	c.Wanted += a.Coverage.Wanted
	for _, m := range a.Coverage.Missing {
		c.Missing[m.Reason]++
	}
	r.points = append(r.points, Point{At: due.Sub(r.began), Took: took, Coverage: share(a.Coverage.Included, a.Coverage.Wanted)})
}

// class returns the report of a class and creates it if needed; the caller holds
// mu.
func (r *Report) class(name almondstep.ClassName) *ClassReport {
	c, ok := r.classes[name]
	if !ok {
		c = &ClassReport{
			Class:    name,
			Outcomes: make(map[almondstep.Outcome]int),
			Missing:  make(map[almondstep.Reason]int),
			latency:  hdrhistogram.New(minMicros, maxMicros, sigFigures),
		}
		r.classes[name] = c
	}
	return c
}

// Classes lists the classes' reports, sorted by name.
func (r *Report) Classes() []*ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*ClassReport
	for _, c := range r.classes {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *ClassReport) int {
		return strings.Compare(string(a.Class), string(b.Class))
	})
	return all
}

// Points lists all answers, sorted by scheduled time.
func (r *Report) Points() []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	points := slices.Clone(r.points)
	slices.SortFunc(points, func(a, b Point) int { return int(a.At - b.At) })
	return points
}

// Sent is the number of requests sent.
func (r *Report) Sent() int { return int(r.sent.Load()) }

// Took is the duration of the run, including the wait for the last answers.
func (r *Report) Took() time.Duration { return r.ended.Sub(r.began) }

// Answers is the number of answers of the class.
func (c *ClassReport) Answers() int {
	n := 0
	for _, count := range c.Outcomes {
		n += count
	}
	return n
}

// Percentile is the p-th percentile of the latency.
func (c *ClassReport) Percentile(p float64) time.Duration {
	return time.Duration(c.latency.ValueAtPercentile(p)) * time.Microsecond
}

// Coverage is the fraction of the wanted shards that was included, from 0 to 1.
func (c *ClassReport) Coverage() float64 { return share(c.Included, c.Wanted) }

// ExtraPerMille is the number of sub-requests beyond those needed, per 1,000
// needed.
func (c *ClassReport) ExtraPerMille() float64 {
	return (share(c.Attempts, c.Needed) - 1) * perMille
}

// share returns n as a fraction of all, or 1 if all is 0.
func share(n, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(n) / float64(all)
}
