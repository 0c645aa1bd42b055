package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const explainName = "explain"

// maxExplanationBytes bounds the response of a daemon.
const maxExplanationBytes = 8 << 20

// explainVerb asks a daemon of the platform's program where a request would go now.
type explainVerb struct {
	Path         string        `arg:"positional,required" help:"the path of the request"`
	Daemon       string        `arg:"--daemon,required" placeholder:"ADDR" help:"a daemon's address for operators, at which it serves metrics"`
	Host         string        `arg:"--host,required" help:"the host of the request"`
	Organisation string        `arg:"--organisation" placeholder:"NAME" help:"the caller's organisation by its name, never a key; default: a caller without a key"`
	Remaining    time.Duration `arg:"--remaining" placeholder:"TIME" help:"how long the caller waits, such as 400ms; default: unknown"`
	JSON         bool          `arg:"--json" help:"print the explanation as JSON"`
}

func newExplain() verb { return &explainVerb{} }

func (v *explainVerb) run(ctx context.Context, env *Env) error {
	if !strings.HasPrefix(v.Path, "/") {
		return usageError("the path %q doesn't start with /", v.Path)
	}
	if v.Remaining < 0 {
		return usageError("the remaining time %s is negative", v.Remaining)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	x, err := v.ask(ctx)
	if err != nil {
		return err
	}
	if v.JSON {
		return writeJSON(env.Stdout, x)
	}
	return writeExplanation(env.Stdout, x)
}

// ask asks the daemon.
func (v *explainVerb) ask(ctx context.Context) (*almondstep.Explanation, error) {
	q := url.Values{"host": {v.Host}, "path": {v.Path}, "organisation": {v.Organisation}}
	if v.Remaining > 0 {
		q.Set("remaining-ms", strconv.FormatInt(max(1, v.Remaining.Milliseconds()), 10))
	}
	target := url.URL{Scheme: "http", Host: v.Daemon, Path: almondstep.ExplainPath, RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, usageError("the daemon's address %q is invalid", v.Daemon)
	}
	client := http.Client{Timeout: queryTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "daemon %s", v.Daemon), almondstep.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "daemon %s", v.Daemon), almondstep.ErrUnavailable)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.Wrapf(almondstep.ErrNotFound, "%s at %s, which isn't a daemon's address for operators", almondstep.ExplainPath, v.Daemon)
	case http.StatusBadRequest:
		return nil, usageError("%s", strings.TrimSpace(string(body)))
	default:
		return nil, errors.Wrapf(almondstep.ErrUnavailable, "daemon %s: %s", v.Daemon, strings.TrimSpace(string(body)))
	}
	x := &almondstep.Explanation{}
	if err := json.Unmarshal(body, x); err != nil {
		return nil, errors.Wrapf(err, "invalid response of daemon %s", v.Daemon)
	}
	return x, nil
}

// writeExplanation prints an explanation as text.
func writeExplanation(out io.Writer, x *almondstep.Explanation) error {
	printf(out, "%s", x.Decision)
	if x.Code != "" {
		printf(out, ": %s, Retry-After %.0f ms", x.Code, x.RetryAfterMillis)
	}
	if x.Short != "" {
		printf(out, ", short of capacity: %s", x.Short)
	}
	printf(out, "\n")
	if x.Route == "" {
		return nil
	}
	printf(out, "route %s of version %d, priority %d\n", x.Route, x.Version, x.Priority)
	switch {
	case x.Organisation != "" && x.Rate > 0:
		printf(out, "organisation %s, limit %g requests/s, burst %g\n", x.Organisation, x.Rate, x.Burst)
	case x.Organisation != "":
		printf(out, "organisation %s, no limit\n", x.Organisation)
	}
	if x.Delegate != "" {
		printf(out, "delegate %s\n", x.Delegate)
	} else if x.NoDelegate != "" {
		printf(out, "no delegate: %s\n", x.NoDelegate)
	}
	if x.RegionalDelegate != "" {
		printf(out, "regional delegate %s for %d shards\n", x.RegionalDelegate, len(x.RegionalShards))
	}
	for i := range x.Shards {
		if err := writeExplainedShard(out, &x.Shards[i]); err != nil {
			return err
		}
	}
	if x.OmittedShards > 0 {
		printf(out, "%d more shards\n", x.OmittedShards)
	}
	return nil
}

// writeExplainedShard prints a shard with its candidates; all times are in milliseconds.
func writeExplainedShard(out io.Writer, s *almondstep.ExplainedShard) error {
	chosen := string(s.Chosen)
	if chosen == "" {
		chosen = "none"
	}
	printf(out, "%s -> %s", s.Service, chosen)
	if s.HedgeAfterMillis > 0 {
		printf(out, ", hedged after %.1f ms", s.HedgeAfterMillis)
	}
	printf(out, "\n")
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	printf(w, "  upstream\tzone\tversion\tcost\tlatency\tfailures\tqueue\toverdue\tcold\tmean\tdeviation\tpace\tbackoff\texcluded\n")
	for _, c := range s.Candidates {
		printf(w, "  %s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\n", c.Upstream, c.Zone, c.Version,
			c.CostMillis, c.LatencyMillis, c.FailuresMillis, c.QueueMillis, c.OverdueMillis, c.ColdMillis,
			c.MeanMillis, c.DeviationMillis, c.PacePercent, c.BackoffMillis, c.Excluded)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if s.OmittedCandidates > 0 {
		printf(out, "  %d more upstreams\n", s.OmittedCandidates)
	}
	return nil
}
