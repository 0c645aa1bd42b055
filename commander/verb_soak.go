package commander

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep/platform/soaker"
)

const soakName = "soak"

// soakVerb runs the fault-injection soak test with each seed in turn.
type soakVerb struct {
	Seed    uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds   int           `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	Entry   string        `arg:"--entry" help:"path of the daemon's executable [default: almondstep-entry beside this program]"`
	Daemons int           `arg:"--daemons" default:"6" help:"number of daemons, each a process"`
	Clients int           `arg:"--clients" default:"12" help:"number of clients that send requests concurrently"`
	Storm   time.Duration `arg:"--storm" default:"12s" help:"how long faults are injected"`
	Calm    time.Duration `arg:"--calm" default:"16s" help:"how long only planned changes are made after the faults"`
	Keep    string        `arg:"--keep" help:"directory for the daemons' logs"`
	Verbose bool          `arg:"-v,--verbose" help:"print each fault when it begins"`
}

func newSoak() verb { return &soakVerb{} }

func (v *soakVerb) run(ctx context.Context, env *Env) error {
	entry, err := v.entry()
	if err != nil {
		return err
	}
	failed := 0
	for i := range v.Seeds {
		s := &soaker.Soak{
			Seed: v.Seed + uint64(i), Entry: entry, Daemons: v.Daemons, Clients: v.Clients,
			Storm: v.Storm, Calm: v.Calm, Keep: v.Keep,
		}
		if v.Verbose {
			s.Out = env.Stdout
		}
		r, err := s.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", s.Seed)
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "seed %d was interrupted", s.Seed)
		}
		if !writeSoakReport(env, r) {
			failed++
		}
	}
	printf(env.Stdout, "%d passed, %d failed\n", v.Seeds-failed, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

// entry returns the path of the daemon's executable.
func (v *soakVerb) entry() (string, error) {
	if v.Entry != "" {
		return v.Entry, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "can't find the daemon's executable; set --entry")
	}
	sibling := filepath.Join(filepath.Dir(self), "almondstep-entry")
	if _, err := os.Stat(sibling); err != nil {
		return "", errors.Mark(errors.Wrap(err, "can't find the daemon's executable; set --entry"), errUsage)
	}
	return sibling, nil
}

// writeSoakReport prints the report of a seed and reports whether it has no violations.
func writeSoakReport(env *Env, r *soaker.Report) bool {
	state := "held"
	if len(r.Violations) > 0 {
		state = "BROKEN"
	}
	printf(env.Stdout, "seed %d: %s  %d requests, %d complete, %d without an answer, %d faults and changes\n",
		r.Seed, state, r.Requests, r.Complete, r.Lost, len(r.Faults))
	if len(r.Violations) == 0 {
		return true
	}
	for _, v := range r.Violations {
		printf(env.Stdout, "    %s\n", v)
	}
	printf(env.Stdout, "  faults: %s\n  logs: %s\n", strings.Join(r.Faults, "; "), r.Logs)
	return false
}
