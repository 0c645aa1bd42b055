//go:build review3

package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"almondstep/platform/standin"
)

// heartbeat is the interval at which a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is a server of a service, with its entry in the store.
type server struct {
	*standin.Server
	rig  *rig
	zone string

	mu    sync.Mutex
	seq   int
	state string
	ended bool
	// front is the address of the entry if the server is watched; arrivals has what came there.
	front    net.Listener
	arrivals []arrival
}

// The states in an entry; stateNone means that there is none.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateNone     = ""
)

// records is the body of the answer to a request: records of 16 bytes.
func records(service, request string) string {
	text := ""
	for i := range 5 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, request, i))
		text += string(sum[:16])
	}
	return text
}

// addServer starts a server and writes its entry.
func (r *rig) addServer(id, service, zone string) (*server, error) {
	s := &server{rig: r, zone: zone, state: stateReady, Server: &standin.Server{
		ID: id, Service: service, Body: func(run standin.Run) string { return records(run.Service, run.Request) },
	}}
	if err := s.Start(""); err != nil {
		return nil, err
	}
	r.servers = append(r.servers, s)
	s.write()
	go s.beat()
	return s, nil
}

// beat writes the entry again and again, as long as there is one.
func (s *server) beat() {
	time.Sleep(rand.N(heartbeat))
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return
		}
		s.write()
	}
}

func (s *server) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.state == stateNone {
		return
	}
	s.seq++
	entry := s.Entry(s.zone, s.state)
	entry["seq"] = s.seq
	if until := s.ColdUntil.Load(); until != nil {
		entry[s.rig.names.ColdLeft] = max(0, time.Until(*until).Milliseconds())
	}
	if s.front != nil {
		entry["address"] = s.front.Addr().String()
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.rig.store.Put(s.rig.names.ServerPrefix+s.ID, text)
}

// leave removes the server's entry, as a server does that doesn't say before that it drains; the
// server goes on serving. It returns when the store has confirmed that.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stateNone
	s.rig.store.Remove(s.rig.names.ServerPrefix + s.ID)
	s.rig.note("server %s of %s in %s leaves: its entry is removed, confirmed by the store", s.ID, s.Service, s.zone)
	return time.Now()
}

func (s *server) stop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if s.front != nil {
		_ = s.front.Close()
	}
	s.Crash()
}
