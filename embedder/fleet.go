// Package embedder starts a complete fleet in one process, on loopback: a stand-in
// platform, stand-in upstreams in several availability zones, and daemons that
// communicate over their real protocols.
//
// The demo, the load tool and end-to-end tests use it. It is not a simulator: the
// daemons are the ones that cmd/almondstepd runs, with real sockets.
//
//	fleet := &embedder.Fleet{Zones: zones, Shapes: shapes, DaemonsPerZone: 2}
//	err := fleet.Start(ctx)
//	defer fleet.Stop()
package embedder

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/loader"
	"almondstep/standin/platform"
	"almondstep/standin/upstream"
	"almondstep/starter"
	"almondstep/storer"
)

const (
	// CrashText crashes an upstream that gets it in a search.
	CrashText = "crash-me"
	// firstVersion is the snapshot all upstreams serve at the start.
	firstVersion almondstep.Version = 1
	// warmAfter is the number of answers that raise a cold upstream's concurrency limit by one.
	warmAfter = 4
	// crashDowntime is how long a crashed upstream refuses connections.
	crashDowntime = 300 * time.Millisecond
	// interZoneDelay is the one-way delay the daemons expect between zones.
	interZoneDelay = 1500 * time.Microsecond
)

// Fleet is a platform, upstreams and daemons. Set the fields, then call Start.
type Fleet struct {
	Zones          []almondstep.ZoneName
	Shapes         []ServiceShape
	DaemonsPerZone int
	// Cold starts the upstreams cold.
	Cold bool
	Seed uint64
	// TuneDaemon, if set, changes each daemon before it starts.
	TuneDaemon func(d *starter.Daemon)
	Logger     hclog.Logger

	// Platform, Storer and Ledger are set by Start.
	Platform *platform.Server
	Storer   *storer.Client
	Ledger   *upstream.Ledger

	mu              sync.Mutex
	upstreams       []*Upstream
	daemons         []*RunningDaemon
	data            []*upstream.Dataset
	stop            context.CancelFunc
	platformAddress string
	tasks           sync.WaitGroup
	// started counts all daemons started so far; it makes their ids unique.
	started int
}

// Upstream is one stand-in upstream with its zone, shard and replica number.
type Upstream struct {
	*upstream.Server
	vm      almondstep.UpstreamVM
	shard   uint32
	of      uint32
	replica int
}

// Replica numbers the replicas of a shard, from 0.
func (u *Upstream) Replica() int { return u.replica }

// Shard is the index of the shard the upstream serves at the start.
func (u *Upstream) Shard() uint32 { return u.shard }

// VM is the upstream's entry in the platform's list, with the boot ID of its start.
func (u *Upstream) VM() almondstep.UpstreamVM { return u.vm }

// RunningDaemon is one daemon of the fleet.
type RunningDaemon struct {
	*starter.Daemon
	id   almondstep.DaemonID
	zone almondstep.ZoneName
	stop context.CancelFunc
	done chan struct{}
}

// ID is the daemon's id.
func (r *RunningDaemon) ID() almondstep.DaemonID { return r.id }

// Zone is the daemon's availability zone.
func (r *RunningDaemon) Zone() almondstep.ZoneName { return r.zone }

// Start starts the platform, the upstreams and the daemons. The platform holds no
// configuration yet: call Apply.
func (s *Fleet) Start(ctx context.Context) error {
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	ctx, s.stop = context.WithCancel(ctx)
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	if err := s.startUpstreams(); err != nil {
		return err
	}
	for _, zone := range s.Zones {
		for range s.DaemonsPerZone {
			if _, err := s.AddDaemon(zone); err != nil {
				return err
			}
		}
	}
	s.PublishList()
	return nil
}

func (s *Fleet) startPlatform(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "can't listen for the stand-in platform")
	}
	s.platformAddress = l.Addr().String()
	s.Platform = &platform.Server{Listener: l}
	s.Storer = &storer.Client{Base: "http://" + s.platformAddress}
	s.tasks.Go(func() { _ = s.Platform.Run(ctx) })
	return nil
}

func (s *Fleet) startUpstreams() error {
	s.Ledger = &upstream.Ledger{}
	for _, shape := range s.Shapes {
		data := &upstream.Dataset{Service: shape.Service, Seed: s.Seed, Records: shape.Records}
		s.data = append(s.data, data)
		for i, p := range shape.place(s.Zones) {
			if err := s.startUpstream(shape, data, i, p); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Fleet) startUpstream(shape ServiceShape, data *upstream.Dataset, i int, p placedServer) error {
	latency := shape.Latency
	latency.Seed = s.Seed + uint64(i)
	holdings := []almondstep.Holding{holding(firstVersion, shape.shards(len(s.Zones)), p.shard)}
	server := &upstream.Server{
		Address:       "127.0.0.1:0",
		Data:          data,
		Holdings:      holdings,
		Slots:         shape.Slots,
		Connections:   shape.Connections,
		Cold:          s.Cold,
		WarmAfter:     warmAfter,
		Latency:       latency,
		CrashText:     CrashText,
		CrashDowntime: crashDowntime,
		Ledger:        s.Ledger,
	}
	if err := server.Start(); err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, &Upstream{
		Server:  server,
		shard:   p.shard,
		of:      holdings[0].Of,
		replica: p.replica,
		vm: almondstep.UpstreamVM{
			Addr:     almondstep.Address(server.Address),
			Service:  shape.Service,
			Zone:     p.zone,
			Instance: p.instance,
			Boot:     server.Boot(),
			State:    almondstep.VMLive,
			Holdings: holdings,
		},
	})
	return nil
}

// AddDaemon starts one more daemon. Call PublishList to add it to the platform's list.
func (s *Fleet) AddDaemon(zone almondstep.ZoneName) (*RunningDaemon, error) {
	s.mu.Lock()
	s.started++
	id := almondstep.DaemonID(fmt.Sprintf("%s-%d", zone, s.started))
	s.mu.Unlock()
	d := &starter.Daemon{Settings: s.settings(zone, id), Logger: s.Logger.Named(string(id))}
	if s.TuneDaemon != nil {
		s.TuneDaemon(d)
	}
	if err := d.Init(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &RunningDaemon{Daemon: d, id: id, zone: zone, stop: stop, done: make(chan struct{})}
	s.tasks.Go(func() {
		defer close(running.done)
		if err := d.Run(ctx); err != nil {
			s.Logger.Error("daemon ended", "id", id, "err", err)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = append(s.daemons, running)
	return running, nil
}

func (s *Fleet) settings(zone almondstep.ZoneName, id almondstep.DaemonID) *loader.Settings {
	settings := loader.Defaults()
	settings.VM = string(id)
	settings.Zone = zone
	settings.PlatformAddress = almondstep.Address(s.platformAddress)
	settings.ListenCallers = "127.0.0.1:0"
	settings.ListenOperators = "127.0.0.1:0"
	settings.ListenPeers = "127.0.0.1:0"
	settings.ReadyDelay = 0
	// All daemons share the cores of this machine.
	settings.TrafficThreads = max(1, runtime.GOMAXPROCS(0)/max(1, s.DaemonsPerZone*len(s.Zones)))
	settings.Distances = make(map[almondstep.ZoneName]time.Duration, len(s.Zones))
	for _, z := range s.Zones {
		if z != zone {
			settings.Distances[z] = interZoneDelay
		}
	}
	return settings
}

// StopDaemon stops a daemon gracefully and waits for it.
func (s *Fleet) StopDaemon(r *RunningDaemon) {
	s.removeDaemon(r)
	r.stop()
	<-r.done
}

// KillDaemon stops a daemon without a shutdown, like a crash, and waits for it.
func (s *Fleet) KillDaemon(r *RunningDaemon) {
	s.removeDaemon(r)
	r.Kill()
	<-r.done
}

func (s *Fleet) removeDaemon(r *RunningDaemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = slices.DeleteFunc(s.daemons, func(o *RunningDaemon) bool { return o == r })
}

// PlatformAddress is the stand-in platform's address.
func (s *Fleet) PlatformAddress() string { return s.platformAddress }

// Daemons lists the running daemons.
func (s *Fleet) Daemons() []*RunningDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// Upstreams lists the upstreams.
func (s *Fleet) Upstreams() []*Upstream { return s.upstreams }

// Data lists the datasets of the services, in the order of Shapes.
func (s *Fleet) Data() []*upstream.Dataset { return s.data }

// PublishList replaces the platform's list by the current daemons and upstreams and
// returns its revision.
func (s *Fleet) PublishList() almondstep.Revision {
	var fleet almondstep.Fleet
	for _, d := range s.Daemons() {
		fleet.Daemons = append(fleet.Daemons, almondstep.DaemonVM{
			ID:    d.id,
			Addr:  d.PeersAddress(),
			Zone:  d.zone,
			State: almondstep.VMLive,
		})
	}
	for _, u := range s.upstreams {
		vm := u.vm
		vm.Boot = u.Boot()
		fleet.Upstreams = append(fleet.Upstreams, vm)
	}
	return s.Platform.SetFleet(fleet)
}

// Stop stops the daemons, upstreams and platform without a graceful shutdown.
func (s *Fleet) Stop() {
	for _, d := range s.Daemons() {
		s.KillDaemon(d)
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	s.stop()
	s.tasks.Wait()
}
