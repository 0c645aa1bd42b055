// Package starter builds a daemon from its settings and runs it.
//
// It only assembles the components. The daemon program, the demo and the load tool
// use it, so that all of them run the same daemon.
//
//	d := &starter.Daemon{Settings: settings, Logger: logger}
//	err := d.Init()
//	...
//	err = d.Run(ctx) // until ctx ends, then a graceful shutdown
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
	// NoHedge turns hedges and retries off, to measure their effect.
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

// listeners are the sockets of the daemon's three addresses.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// errKilled is the cancellation cause after Kill.
var errKilled = errors.New("killed")

// Init listens on the daemon's addresses and creates its components. The addresses
// are known from then on, before Run.
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

// CallersAddress returns the address that serves callers' requests.
func (d *Daemon) CallersAddress() almondstep.Address { return address(d.listeners.callers) }

// OperatorsAddress returns the address that serves operators' requests.
func (d *Daemon) OperatorsAddress() almondstep.Address { return address(d.listeners.operators) }

// PeersAddress returns the address to which other daemons send messages: the setting
// advertisePeers, or the listener's address if it is empty.
func (d *Daemon) PeersAddress() almondstep.Address {
	if d.Settings.AdvertisePeers != "" {
		return d.Settings.AdvertisePeers
	}
	return address(d.listeners.peers)
}

func address(l net.Listener) almondstep.Address {
	return almondstep.Address(l.Addr().String())
}

// Frontend returns the interface for requests from within the same process, which
// need no HTTP.
func (d *Daemon) Frontend() almondstep.Frontend { return d.runner }

// Run serves until ctx ends, Kill is called or a server fails. When ctx ends, it
// shuts down gracefully: it returns when no request is in progress, or cuts off those
// that are left after the setting stopTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancelCause(context.Background())
	d.kill = cancel
	defer cancel(nil)
	var g group
	g.start(cancel, func() error { return d.runner.Run(runCtx) })
	g.start(cancel, func() error { return d.messages.Serve(d.listeners.peers) })
	g.start(cancel, func() error { return d.callers.Serve(d.listeners.callers) })
	g.start(cancel, func() error { return d.operators.Serve(d.listeners.operators) })
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

// Kill ends the daemon as a crash would: it closes all connections and hands over no
// upstreams. Call it only while Run runs.
func (d *Daemon) Kill() { d.kill(errKilled) }

// shutdown makes the daemon unready and hands over its upstreams. It then waits for
// readyDelay, so that the load balancer stops sending requests, and after that for
// the requests of callers and other daemons in progress, for at most stopTimeout.
func (d *Daemon) shutdown() {
	d.Logger.Info("graceful shutdown begins", "readyDelay", d.Settings.ReadyDelay)
	d.runner.Stop(0)
	time.Sleep(d.Settings.ReadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Logger.Error("callers' requests didn't finish in time and are cut off", "err", err)
	}
	if err := d.messages.Shutdown(ctx); err != nil {
		d.Logger.Error("other daemons' requests didn't finish in time and are cut off", "err", err)
	}
	d.Logger.Info("graceful shutdown ends")
}

func (d *Daemon) closeAll() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.messages.Close()
}
