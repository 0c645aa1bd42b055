package commander

import (
	"context"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep/experimenter"
	"almondstep/generator"
)

const loadName = "load"

// loadVerb runs a scenario on an embedded fleet.
type loadVerb struct {
	Scenario string  `arg:"positional,required" help:"the scenario file, such as examples/stragglers.jsonc"`
	Shards   int     `arg:"--shards" help:"number of shards, in place of the scenario's"`
	Rate     float64 `arg:"--rate" help:"searches per second, in place of the scenario's"`
	Duration string  `arg:"--duration" help:"duration such as 10s, in place of the scenario's"`
	Seed     uint64  `arg:"--seed" default:"1" help:"seed of arrivals, records and latency"`
	Baseline bool    `arg:"--baseline" help:"also run the naive policies, for comparison"`
	JSON     bool    `arg:"--json" help:"print the results as JSON"`
	Quiet    bool    `arg:"--quiet" help:"show no progress"`
	LogLevel string  `arg:"--log-level" default:"error" help:"trace, debug, info, warn or error"`
}

func newLoad() verb { return &loadVerb{} }

func (v *loadVerb) run(ctx context.Context, env *Env) error {
	scenario, err := v.scenario()
	if err != nil {
		return err
	}
	level := hclog.LevelFromString(v.LogLevel)
	if level == hclog.NoLevel {
		return usageError("--log-level %q is not a log level", v.LogLevel)
	}
	policies := []experimenter.Policy{experimenter.PolicyOurs}
	if v.Baseline {
		policies = append(policies, experimenter.PolicyNoHedge, experimenter.PolicyFlat)
	}
	x := &experimenter.Experimenter{
		Scenario: scenario,
		Policies: policies,
		Seed:     v.Seed,
		Logger:   hclog.New(&hclog.LoggerOptions{Level: level, Output: env.Stderr}),
		Progress: v.progress(env),
	}
	results, err := x.Run(ctx)
	if err != nil {
		return err
	}
	if v.JSON {
		return writeJSON(env.Stdout, loadResults(results))
	}
	return writeResults(env.Stdout, scenario, results)
}

func (v *loadVerb) progress(env *Env) io.Writer {
	if v.Quiet {
		return nil
	}
	return env.Stderr
}

func (v *loadVerb) scenario() (*experimenter.Scenario, error) {
	body, err := os.ReadFile(v.Scenario)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	s, err := experimenter.Parse(body)
	if err != nil {
		return nil, errors.Wrap(err, v.Scenario)
	}
	duration := time.Duration(0)
	if v.Duration != "" {
		duration, err = time.ParseDuration(v.Duration)
		if err != nil {
			return nil, usageError("--duration %q is not a duration like 10s", v.Duration)
		}
	}
	return s, s.Override(v.Shards, v.Rate, duration)
}

// loadResult is one policy's result for one class, as JSON.
type loadResult struct {
	Policy        experimenter.Policy `json:"policy"`
	Class         string              `json:"class"`
	Answers       int                 `json:"answers"`
	Errors        int                 `json:"errors"`
	P50Millis     float64             `json:"p50Millis"`
	P99Millis     float64             `json:"p99Millis"`
	P999Millis    float64             `json:"p999Millis"`
	Coverage      float64             `json:"coverage"`
	ExtraPerMille float64             `json:"extraPerMille"`
	Untrue        int                 `json:"untrue"`
	Overruns      int                 `json:"overruns"`
}

func loadResults(results []*experimenter.Result) []loadResult {
	const p50, p99, p999 = 50, 99, 99.9
	var rows []loadResult
	for _, r := range results {
		for _, c := range r.Report.Classes() {
			rows = append(rows, loadResult{
				Policy:        r.Policy,
				Class:         string(c.Class),
				Answers:       c.Answers(),
				Errors:        c.Errors,
				P50Millis:     inMillis(c.Percentile(p50)),
				P99Millis:     inMillis(c.Percentile(p99)),
				P999Millis:    inMillis(c.Percentile(p999)),
				Coverage:      c.Coverage(),
				ExtraPerMille: c.ExtraPerMille(),
				Untrue:        r.Untrue,
				Overruns:      r.Overruns,
			})
		}
	}
	return rows
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// writeResults prints a table and, if naive policies were run, almondstep's p99
// latency as a fraction of theirs.
func writeResults(out io.Writer, s *experimenter.Scenario, results []*experimenter.Result) error {
	printf(out, "scenario %s\n", s.Name())
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	generator.WriteHeader(w)
	for _, r := range results {
		r.Report.WriteRows(w, string(r.Policy))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		printf(out, "%s: %d untrue answers, %d overruns of cold upstreams, %d requests begun at upstreams\n",
			r.Policy, r.Untrue, r.Overruns, r.Started)
	}
	const p99 = 99
	for _, base := range results[1:] {
		for i, c := range base.Report.Classes() {
			ours := results[0].Report.Classes()[i]
			printf(out, "%s: p99 is %.2f of %s's\n", c.Class,
				float64(ours.Percentile(p99))/float64(c.Percentile(p99)), base.Policy)
		}
	}
	return nil
}
