//go:build review2

// Command rig2 plays the scenarios of the second independent review. Each starts daemons as
// separate processes, with a store, servers and clients as stand-ins.
//
//	rig2 SCENARIO ENTRY RECORD
//
// ENTRY is the daemon's program and RECORD the file for what was observed. The exit code is 1 if
// the rule was broken, 0 if it held, and 2 if the scenario couldn't run. TROUBLE=0 in the
// environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep/platform/standin"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scene is what each scenario has: a store, machines, servers and a client.
type scene struct {
	names    *wireNames
	record   *record
	store    *standin.Store
	machines []*machine
	servers  []*server
	client   *client
	trouble  bool
}

const host = "records.example"

// scenarios maps the names of the scenarios to them. Each reports whether the rule was broken.
func scenarios() map[string]func(s *scene) (bool, error) {
	return map[string]func(s *scene) (bool, error){
		"cold":    coldAgain,
		"leaving": leavingServer,
		"popular": popularRequest,
		"rest":    serverAtRest,
	}
}

func main() {
	const args = 4
	if len(os.Args) != args || scenarios()[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO ENTRY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a scenario and returns the exit code.
func play(scenario, executable, file string) int {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stdout, err)
		return exitNotRun
	}
	s := &scene{names: loadNames(), record: newRecord(), trouble: os.Getenv("TROUBLE") != "0"}
	go s.closeOnSignal()
	broken, err := s.playIn(directory, executable, scenarios()[scenario])
	s.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(directory)
	}
	if writeErr := s.record.write(file); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stdout, "couldn't run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// closeOnSignal ends all processes if the scenario is stopped from outside.
func (s *scene) closeOnSignal() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	<-stopped
	for _, m := range s.machines {
		m.stop()
	}
	os.Exit(exitNotRun)
}

// perZone is the number of machines in each zone, as in the smallest deployment.
const perZone = 2

func (s *scene) playIn(directory, executable string, scenario func(s *scene) (bool, error)) (bool, error) {
	s.store = &standin.Store{}
	if err := s.store.Start("127.0.0.1:0"); err != nil {
		return false, errors.Wrap(err, "start the store")
	}
	s.client = newClient(s.names, s.record, host)
	var err error
	if s.machines, err = startMachines(s.names, directory, executable, s.store.Address(), perZone); err != nil {
		return false, errors.Wrap(err, "start the machines")
	}
	return scenario(s)
}

// begin writes the configuration, starts the servers and waits until the machines are ready and
// have seen them.
func (s *scene) begin(config map[string]any) error {
	for _, server := range s.servers {
		if err := server.start(); err != nil {
			return err
		}
	}
	config["Host"] = host
	s.configure(config)
	const readyTimeout = 15 * time.Second
	if err := waitReady(s.names, s.machines, readyTimeout); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// configure writes a version of the configuration, as the operator does.
func (s *scene) configure(config map[string]any) {
	s.store.Put(s.names.ConfigKey, render("config.json", config))
	s.record.addf("the operator writes version %v of the configuration", config["Version"])
}

// close ends all processes and stand-ins.
func (s *scene) close() {
	for _, m := range s.machines {
		m.stop()
	}
	for _, server := range s.servers {
		if server.done != nil {
			server.crash()
		}
	}
	if s.store != nil {
		s.store.Close()
	}
}

// say prints a line and records it.
func (s *scene) say(format string, values ...any) {
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", values...)
	s.record.addf(format, values...)
}
