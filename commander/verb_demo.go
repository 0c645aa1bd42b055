package commander

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"almondstep/demonstrator"
)

const demoName = "demo"

// demoVerb runs the demo in this process, on loopback.
type demoVerb struct {
	Scale    float64 `arg:"--scale" default:"0.3" help:"fraction of the roasting service's 108 servers to start, above 0 and at most 1"`
	Seed     uint64  `arg:"--seed" default:"1" help:"seed of the records and of the upstreams' latency"`
	LogLevel string  `arg:"--log-level" default:"error" help:"trace, debug, info, warn or error"`
}

func newDemo() verb { return &demoVerb{} }

func (v *demoVerb) run(ctx context.Context, env *Env) error {
	if v.Scale <= 0 || v.Scale > 1 {
		return usageError("--scale %g is not above 0 and at most 1", v.Scale)
	}
	level := hclog.LevelFromString(v.LogLevel)
	if level == hclog.NoLevel {
		return usageError("--log-level %q is not a log level", v.LogLevel)
	}
	d := &demonstrator.Demo{
		Out:    env.Stdout,
		Scale:  v.Scale,
		Seed:   v.Seed,
		Logger: hclog.New(&hclog.LoggerOptions{Level: level, Output: env.Stderr}),
	}
	return d.Run(ctx)
}
