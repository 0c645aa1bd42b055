package main

import (
	"fmt"
	"os"
	"time"
)

// host is the host of all routes.
const host = "lots.example"

// fleet is a small deployment: a store, servers and daemons.
type fleet struct {
	names   *names
	record  *record
	folder  string
	store   *store
	servers []*server
	daemons []*daemon
}

func newFleet(recordPath string) (*fleet, error) {
	n, err := loadNames()
	if err != nil {
		return nil, err
	}
	f := &fleet{names: n}
	if f.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	f.store, err = newStore(n, "127.0.0.1:0")
	return f, err
}

// close ends all processes that the fleet started, and its stand-ins.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	for _, s := range f.servers {
		s.end()
	}
	if f.store != nil {
		f.store.close()
	}
	f.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// addServers starts servers of a service, spread over the zones, and lists them.
func (f *fleet) addServers(service string, count, slots int, work time.Duration, onRun func(r run)) ([]*server, error) {
	var added []*server
	for i := range count {
		s := &server{names: f.names, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, slots: slots, work: work, onRun: onRun}
		if err := s.start("127.0.0.1:0"); err != nil {
			return nil, err
		}
		f.store.put(f.names.Servers+s.id, s.entry(places()[i%len(places())].zone, "ready"))
		added = append(added, s)
	}
	f.servers = append(f.servers, added...)
	return added, nil
}

// startDaemons starts daemons and waits until they are ready.
func (f *fleet) startDaemons(count int) error {
	for i := range count {
		d, err := newDaemon(f.names, f.folder, i, f.store.address())
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		if err := d.start(f.names); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
		f.record.line("%s is ready at %s", d.name, d.front)
	}
	return nil
}
