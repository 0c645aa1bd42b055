// Package upstream is a small stand-in for an upstream server, over the HTTP
// form that docs/PROTOCOLS.md describes.
//
// It exists so that tests, the demo and load runs have upstreams with the
// habits of the real ones: few slots, a limit on connections, cold starts that
// fall over when given too much, draining, stragglers, crashes on a marked
// request and connections that go silent. It counts what the promises are
// about, such as overruns while cold and runs per operation.
//
//	data := &upstream.Dataset{Service: "intake-desk", Seed: 1, Records: 4000}
//	s := &upstream.Server{
//		Address: "127.0.0.1:0", Data: data, Slots: 2, Connections: 12,
//		Holdings: []almondstep.Holding{{Version: 7, Of: 20, Shards: []uint32{3, 13}}},
//	}
//	err := s.Start()
package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	headerTimeout = 10 * time.Second
	listenRetry   = 20 * time.Millisecond
	listenTries   = 100
)

// Server is a stand-in for one upstream server. Its fields are set before Start.
type Server struct {
	// Address is where to listen; with port 0 the system chooses one.
	Address string
	Data    *Dataset
	// Holdings are the shards served; SetHoldings changes them later.
	Holdings []almondstep.Holding
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the number of requests that may wait for a slot; the others are shed.
	Queue int
	// Connections is the number of connections accepted; 0 means any.
	Connections int
	// Cold says that the server starts cold.
	Cold bool
	// WarmAfter is the number of answers that raise by one what a cold server
	// bears; 0 means 1.
	WarmAfter int
	// ColdFactor multiplies the latency while cold; 0 means 1.
	ColdFactor float64
	// Latency is the time a request takes.
	Latency Latency
	// CrashText is the text that crashes the server when a request carries it.
	CrashText string
	// CrashDowntime is how long the server refuses connections after a crash.
	CrashDowntime time.Duration
	// Ledger counts the runs of operations; servers may share one. Nil makes one.
	Ledger *Ledger

	mu       sync.Mutex
	listener net.Listener
	web      *http.Server
	conns    map[*conn]struct{}
	state    running
	counters Counters
	told     *State
	closed   bool
	restart  sync.WaitGroup
}

// running is the state of one boot.
type running struct {
	boot     int
	cold     bool
	served   int
	inFlight int
	slots    chan struct{}
	leaving  bool
	refusing bool
	// crashed is closed when the boot ends.
	crashed chan struct{}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if s.Ledger == nil {
		s.Ledger = &Ledger{}
	}
	s.web = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          discardLog(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = map[*conn]struct{}{}
	s.newBoot(s.Cold)
	return s.listen()
}

// listen opens the address, and from then on the same port. The caller holds mu.
func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "stand-in upstream")
	}
	s.Address = ln.Addr().String()
	s.listener = ln
	go func() { _ = s.web.Serve(&limitListener{Listener: ln, server: s}) }()
	return nil
}

// newBoot begins a boot. The caller holds mu.
func (s *Server) newBoot(cold bool) {
	s.state = running{
		boot:    s.state.boot + 1,
		cold:    cold,
		slots:   make(chan struct{}, s.Slots),
		crashed: make(chan struct{}),
	}
}

// Close stops the server at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.web.Close()
	s.drop()
	s.restart.Wait()
}

// Restart ends the boot at once, as a crash would, and begins a cold one after
// the downtime.
func (s *Server) Restart(downtime time.Duration) {
	s.mu.Lock()
	boot := s.state.boot
	s.mu.Unlock()
	s.crash(boot, downtime)
}

// crash drops every connection and all that runs on them, and comes back cold
// with a new boot id after the downtime.
func (s *Server) crash(boot int, downtime time.Duration) {
	s.mu.Lock()
	if s.closed || s.state.boot != boot || isClosed(s.state.crashed) {
		s.mu.Unlock()
		return
	}
	close(s.state.crashed)
	s.counters.Crashes++
	_ = s.listener.Close()
	s.restart.Add(1)
	s.mu.Unlock()
	s.drop()
	go s.comeBack(downtime)
}

func (s *Server) comeBack(downtime time.Duration) {
	defer s.restart.Done()
	time.Sleep(downtime)
	for range listenTries {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		s.newBoot(true)
		err := s.listen()
		s.mu.Unlock()
		if err == nil {
			return
		}
		time.Sleep(listenRetry)
	}
}

// drop closes all connections.
func (s *Server) drop() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Drain marks the server as leaving on each answer, and after the grace
// refuses all new requests.
func (s *Server) Drain(ctx context.Context, grace time.Duration) {
	s.mu.Lock()
	s.state.leaving = true
	boot := s.state.boot
	s.mu.Unlock()
	select {
	case <-time.After(grace):
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.refusing = s.state.boot == boot
}

// Boot is the id of the present boot.
func (s *Server) Boot() almondstep.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID()
}

func (s *Server) bootID() almondstep.BootID {
	return almondstep.BootID(fmt.Sprintf("%s#%d", s.Address, s.state.boot))
}

// SetHoldings replaces the shards served, as a version roll or a repartition does.
func (s *Server) SetHoldings(h []almondstep.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Holdings = h
}

// SetCold turns the server cold without a restart, or warm.
func (s *Server) SetCold(cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.cold = cold
	s.state.served = 0
}

// Counters gives what was counted so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
