package commander

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/standin/platform"
	"almondstep/standin/upstream"
)

const standinName = "standin"

// standinVerb runs a stand-in for the platform or for an upstream until it is
// interrupted.
type standinVerb struct {
	Platform *standinPlatform `arg:"subcommand:platform" help:"the key-value service and the list of VMs"`
	Upstream *standinUpstream `arg:"subcommand:upstream" help:"one upstream server"`
}

// standinPlatform runs a stand-in for the platform.
type standinPlatform struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7100" help:"address to listen on"`
	Fleet  string `arg:"--fleet" help:"a file with the list of VMs, JSON"`
}

// standinUpstream runs a stand-in for an upstream.
type standinUpstream struct {
	Listen      string        `arg:"--listen" default:"127.0.0.1:7200" help:"address to listen on"`
	Service     string        `arg:"--service,required" help:"the service's canonical name"`
	Holdings    string        `arg:"--holdings,required" help:"versions and shards it serves, such as [{\"version\":1,\"of\":2,\"shards\":[0]}]"`
	Records     int           `arg:"--records" default:"1000" help:"number of records of the whole service"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the records"`
	Slots       int           `arg:"--slots" default:"2" help:"number of requests it runs concurrently"`
	Connections int           `arg:"--connections" default:"12" help:"number of connections it accepts"`
	Base        time.Duration `arg:"--base" default:"3ms" help:"minimum duration of a request"`
	Spread      time.Duration `arg:"--spread" default:"2ms" help:"maximum random time added to the minimum"`
	Cold        bool          `arg:"--cold" help:"start cold"`
	CrashText   string        `arg:"--crash-text" help:"crash on a request with this text"`
}

func newStandin() verb { return &standinVerb{} }

func (v *standinVerb) run(ctx context.Context, env *Env) error {
	switch {
	case v.Platform != nil:
		return v.Platform.run(ctx, env)
	case v.Upstream != nil:
		return v.Upstream.run(ctx, env)
	default:
		return usageError("no stand-in given: name platform or upstream")
	}
}

func (v *standinPlatform) run(ctx context.Context, env *Env) error {
	l, err := net.Listen("tcp", v.Listen)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	s := &platform.Server{Listener: l}
	if v.Fleet != "" {
		fleet, err := readFleet(v.Fleet)
		if err != nil {
			return err
		}
		s.SetFleet(*fleet)
	}
	printf(env.Stdout, "platform answers on %s\n", l.Addr())
	return s.Run(ctx)
}

func readFleet(file string) (*almondstep.Fleet, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	var fleet almondstep.Fleet
	if err := json.Unmarshal(body, &fleet); err != nil {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "%s: %v", file, err)
	}
	return &fleet, nil
}

func (v *standinUpstream) run(ctx context.Context, env *Env) error {
	var holdings []almondstep.Holding
	d := json.NewDecoder(strings.NewReader(v.Holdings))
	d.DisallowUnknownFields()
	if err := d.Decode(&holdings); err != nil {
		return usageError("--holdings: %v", err)
	}
	s := &upstream.Server{
		Address:       v.Listen,
		Data:          &upstream.Dataset{Service: almondstep.ServiceName(v.Service), Seed: v.Seed, Records: v.Records},
		Holdings:      holdings,
		Slots:         v.Slots,
		Connections:   v.Connections,
		Cold:          v.Cold,
		Latency:       upstream.Latency{Base: v.Base, Spread: v.Spread, Seed: v.Seed},
		CrashText:     v.CrashText,
		CrashDowntime: time.Second,
	}
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	printf(env.Stdout, "upstream answers on %s\n", s.Address)
	<-ctx.Done()
	return nil
}
