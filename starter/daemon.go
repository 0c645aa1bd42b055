// Package starter builds a daemon from its settings and runs it.
//
// It only assembles the components: the daemon program, the demo and the load
// tool start the same daemon from here.
//
//	d := &starter.Daemon{Settings: settings, Logger: logger}
//	err := d.Run(ctx) // until ctx ends, then a graceful shutdown
package starter

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/claimer"
	"almondstep/loader"
	"almondstep/messenger"
	"almondstep/recorder"
	"almondstep/runner"
	"almondstep/server"
)

// Daemon is one daemon. Set the fields, call Init, then Run.
type Daemon struct {
	Settings *loader.Settings
	Logger   hclog.Logger
	// NoHedge turns hedges and retries off, for comparison.
	NoHedge bool

	runner    *runner.Runner
	recorder  *recorder.Recorder
	peers     *messenger.Client
	resources *resources
	claims    *claimer.Claimer
	listeners listeners
	messages  *messenger.Server
	callers   *server.Server
	operators *server.Server
	kill      context.CancelCauseFunc
}

// listeners are the daemon's three addresses.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// errKilled is the cause when Kill ends the daemon.
var errKilled = errors.New("killed")

// Init listens on the daemon's addresses and makes its components, so that the
// addresses are known before Run.
func (d *Daemon) Init() error {
	if err := d.listen(); err != nil {
		return err
	}
	return d.assemble()
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		name string
		addr almondstep.Address
		into *net.Listener
	}{
		{"listenCallers", d.Settings.ListenCallers, &d.listeners.callers},
		{"listenOperators", d.Settings.ListenOperators, &d.listeners.operators},
		{"listenPeers", d.Settings.ListenPeers, &d.listeners.peers},
	} {
		var err error
		*l.into, err = net.Listen("tcp", string(l.addr))
		if err != nil {
			return errors.Wrapf(err, "%s", l.name)
		}
	}
	return nil
}

// CallersAddress is where callers' requests are answered.
func (d *Daemon) CallersAddress() almondstep.Address { return address(d.listeners.callers) }

// OperatorsAddress is where operators' requests are answered.
func (d *Daemon) OperatorsAddress() almondstep.Address { return address(d.listeners.operators) }

// PeersAddress is where other daemons' messages are answered.
func (d *Daemon) PeersAddress() almondstep.Address {
	if d.Settings.AdvertisePeers != "" {
		return d.Settings.AdvertisePeers
	}
	return address(d.listeners.peers)
}

func address(l net.Listener) almondstep.Address {
	return almondstep.Address(l.Addr().String())
}

// Frontend takes requests without HTTP.
func (d *Daemon) Frontend() almondstep.Frontend { return d.runner }

// Run serves until ctx ends or Kill is called. When ctx ends, it shuts down
// gracefully and returns when no request is in progress.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancelCause(context.Background())
	d.kill = cancel
	defer cancel(nil)
	var g group
	g.run(cancel, func() error { return d.runner.Run(runCtx) })
	g.run(cancel, func() error { return d.messages.Serve(d.listeners.peers) })
	g.run(cancel, func() error { return d.callers.Serve(d.listeners.callers) })
	g.run(cancel, func() error { return d.operators.Serve(d.listeners.operators) })
	select {
	case <-ctx.Done():
		d.shutdown()
	case <-runCtx.Done():
	}
	d.closeAll()
	cancel(nil)
	d.resources.close()
	return g.wait()
}

// Kill ends the daemon as a crash would: connections are cut and nothing is
// transferred. Call it only while Run runs.
func (d *Daemon) Kill() { d.kill(errKilled) }

// shutdown makes the daemon unready and transfers its upstreams, waits until the
// load balancer has noticed, then lets callers' requests and other daemons' work
// finish.
func (d *Daemon) shutdown() {
	d.Logger.Info("graceful shutdown begins", "readyDelay", d.Settings.ReadyDelay)
	d.runner.Stop()
	time.Sleep(d.Settings.ReadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Logger.Error("callers' requests cut off", "err", err)
	}
	if err := d.messages.Shutdown(ctx); err != nil {
		d.Logger.Error("other daemons' work cut off", "err", err)
	}
	d.Logger.Info("graceful shutdown ends")
}

func (d *Daemon) closeAll() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.messages.Close()
}
