package starter

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/applier"
	"almondstep/claimer"
	"almondstep/controller"
	"almondstep/dialer"
	"almondstep/gatherer"
	"almondstep/limiter"
	"almondstep/messenger"
	"almondstep/querier"
	"almondstep/ranker"
	"almondstep/recorder"
	"almondstep/reducer"
	"almondstep/runner"
	"almondstep/server"
	"almondstep/storer"
)

// resources holds the clients and the goroutine that end with the daemon, after its
// servers.
type resources struct {
	platform   *storer.Client
	dialer     *dialer.Client
	stopClaims context.CancelFunc
	claimsDone sync.WaitGroup
}

func (r *resources) close() {
	r.stopClaims()
	r.claimsDone.Wait()
	r.platform.Close()
	r.dialer.Close()
}

// assemble creates the daemon's clients, the runner with its reducers and the three
// servers.
func (d *Daemon) assemble() error {
	certs, err := newCertificates(d.Settings)
	if err != nil {
		return err
	}
	d.recorder = recorder.New()
	d.peers = &messenger.Client{Sent: d.recorder.ControlSent}
	if d.Settings.TLSPeers {
		d.peers.TLS = certs.client()
	}
	d.makeResources()
	d.makeRunner()
	return d.makeServers(certs)
}

func (d *Daemon) makeResources() {
	ctx, cancel := context.WithCancel(context.Background())
	d.resources = &resources{
		platform:   &storer.Client{Base: "http://" + string(d.Settings.PlatformAddress), Recorder: d.recorder},
		dialer:     &dialer.Client{Logger: d.Logger.Named("dialer")},
		stopClaims: cancel,
	}
	d.claims = &claimer.Claimer{Platform: d.resources.platform, Logger: d.Logger.Named("claimer")}
	d.resources.claimsDone.Go(func() { d.claims.Run(ctx) })
}

func (d *Daemon) makeRunner() {
	self := almondstep.DaemonID(d.Settings.VM)
	d.runner = &runner.Runner{
		Self:    self,
		Zone:    d.Settings.Zone,
		Control: d.controlReducer(self),
		Traffic: d.trafficReducers(self),
		Documents: &runner.PlatformReader{
			Platform:     d.resources.platform,
			ConfigKey:    applier.Key,
			DecodeConfig: applier.DecodeDocument,
		},
		Platform:     d.resources.platform,
		Upstreams:    d.resources.dialer,
		Peers:        d.peers,
		LocalClaimer: d.claims,
		Recorder:     d.recorder,
		Logger:       d.Logger.Named("runner"),
	}
	d.runner.Claimer = &runner.ClaimRouter{
		Local:        d.claims,
		BucketWriter: bucketWriter,
		View:         d.runner.View,
		Peers:        d.peers,
	}
	d.runner.Init(context.Background())
}

// bucketWriter chooses, for the bucket of an idempotency key, one daemon among those
// of all zones, so that one daemon batches all writes of a bucket.
func bucketWriter(v *almondstep.View, key string) almondstep.DaemonID {
	k, err := claimer.ParseKey(key)
	if err != nil {
		return v.Self()
	}
	ids := []almondstep.DaemonID{v.Self()}
	for id := range v.Peers() {
		if id != v.Self() {
			ids = append(ids, id)
		}
	}
	anyDaemon := func(almondstep.DaemonID) bool { return true }
	return ranker.New(ids).BucketWriter(strconv.Itoa(k.Bucket()), anyDaemon)
}

func (d *Daemon) controlReducer(self almondstep.DaemonID) *reducer.Reducer {
	return &reducer.Reducer{Control: controller.New(controller.Config{
		Self:      self,
		Addr:      d.PeersAddress(),
		Zone:      d.Settings.Zone,
		Distances: d.Settings.Distances,
		Epoch:     uint32(time.Now().Unix()),
		Seed:      d.seed(self),
	})}
}

// seed returns the seed of a daemon's random generators. It includes the clock, so
// that a restarted daemon makes other random choices than before.
func (d *Daemon) seed(self almondstep.DaemonID) uint64 {
	return uint64(d.Settings.Seed) ^ ranker.Hash(string(self)) ^ uint64(time.Now().UnixNano())
}

func (d *Daemon) trafficReducers(self almondstep.DaemonID) []*reducer.Reducer {
	n := d.Settings.TrafficThreads
	if n == 0 {
		n = runtime.GOMAXPROCS(0)
	}
	reducers := make([]*reducer.Reducer, n)
	for i := range reducers {
		seed := d.seed(self) + uint64(i)
		reducers[i] = &reducer.Reducer{
			Queries: querier.New(querier.Config{Seed: seed, Partitions: n, NoExtra: d.NoHedge}),
			Gathers: gatherer.New(gatherer.Config{}),
			Upstreams: limiter.New(limiter.Config{
				Seed:        seed,
				InPartition: func(a almondstep.Address) bool { return runner.ThreadOf(a, n) == i },
			}),
		}
	}
	return reducers
}

func (d *Daemon) makeServers(certs *certificates) error {
	connections := d.Logger.Named("messenger").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	d.messages = &messenger.Server{Peer: d.runner, Sent: d.recorder.ControlSent, ErrorLog: connections}
	body := int64(d.Settings.MaxBodyBytes)
	d.callers = &server.Server{Name: "callers", Routes: server.CallerRoutes(d.runner, body), MaxBodyBytes: body}
	operators := &server.OperatorHandler{
		Frontend:     d.runner,
		Self:         d.runner.Status,
		Peers:        d.peers,
		WriteMetrics: d.recorder.WritePrometheus,
	}
	d.operators = &server.Server{Name: "operators", Routes: operators.Routes(), MaxBodyBytes: body}
	if d.Settings.TLSPeers {
		d.messages.TLS = certs.server()
	}
	if d.Settings.TLSCallers {
		d.callers.TLS = certs.server()
	}
	if d.Settings.TLSOperators {
		d.operators.TLS = certs.server()
	}
	d.messages.Init()
	if err := d.callers.Init(); err != nil {
		return err
	}
	if err := d.operators.Init(); err != nil {
		return err
	}
	// The first Init of a server in the process resets go-zero's log writer.
	RedirectLogs(d.Logger)
	return nil
}
