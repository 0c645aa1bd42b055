// Package upstream is a small stand-in for an upstream server, over the HTTP
// protocol described in docs/PROTOCOLS.md.
//
// It gives tests, the demo and load runs upstreams that behave like the real
// ones: few slots, a limit on connections, crashes when overloaded while cold,
// draining, stragglers, crashes on requests with a certain text, and connections
// that stay open without answers. Its counts, such as those of overruns while cold
// and of runs per operation, show whether the query tier keeps its guarantees.
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
	headerTimeout       = 10 * time.Second
	listenRetryInterval = 20 * time.Millisecond
	maxListenTries      = 100
)

// Server is a stand-in for one upstream server. Its fields must be set before
// Start.
type Server struct {
	// Address is where to listen; with port 0 the system chooses the port.
	Address string
	Data    *Dataset
	// Holdings are the shards served; SetHoldings changes them later.
	Holdings []almondstep.Holding
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the number of requests that may wait for a slot; a warm server sheds
	// the others.
	Queue int
	// Connections is the number of connections accepted; 0 means no limit.
	Connections int
	// Cold makes the server start cold.
	Cold bool
	// WarmAfter is the number of requests after which a cold server's capacity grows
	// by one request; it is warm once its capacity exceeds Slots. 0 means 1.
	WarmAfter int
	// ColdFactor multiplies the latency while cold; 0 means 1.
	ColdFactor float64
	// Latency determines how long each request takes.
	Latency Latency
	// CrashText is the text that crashes the server when a request carries it.
	CrashText string
	// CrashDowntime is how long the server refuses connections after a crash.
	CrashDowntime time.Duration
	// Ledger counts the runs of operations; servers may share one. If nil, Start
	// makes one.
	Ledger *Ledger

	mu         sync.Mutex
	listener   net.Listener
	httpServer *http.Server
	conns      map[*conn]struct{}
	state      bootState
	counters   Counters
	falseState *State
	closed     bool
	restart    sync.WaitGroup
}

// bootState is the state of one boot.
type bootState struct {
	boot int
	cold bool
	// served counts the requests that have released a slot, answered or not.
	served   int
	inFlight int
	slots    chan struct{}
	leaving  bool
	refusing bool
	// crashed is closed when the boot ends by a crash or a restart.
	crashed chan struct{}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if s.Ledger == nil {
		s.Ledger = &Ledger{}
	}
	s.httpServer = &http.Server{
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

// listen listens on the address, and keeps the port for later boots. The caller
// holds mu.
func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "stand-in upstream")
	}
	s.Address = ln.Addr().String()
	s.listener = ln
	go func() { _ = s.httpServer.Serve(&limitListener{Listener: ln, server: s}) }()
	return nil
}

// newBoot resets the state for a new boot. The caller holds mu.
func (s *Server) newBoot(cold bool) {
	s.state = bootState{
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
	_ = s.httpServer.Close()
	s.closeConns()
	s.restart.Wait()
}

// Restart ends the boot at once, as a crash does, and starts a cold one after the
// downtime.
func (s *Server) Restart(downtime time.Duration) {
	s.mu.Lock()
	boot := s.state.boot
	s.mu.Unlock()
	s.crash(boot, downtime)
}

// crash closes every connection, ends all running requests, and restarts the
// server cold, with a new boot ID, after the downtime. It does nothing if the
// boot has already ended.
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
	s.closeConns()
	go s.restartAfter(downtime)
}

// restartAfter starts a cold boot after the downtime. If it can't
// listen, it tries again, up to maxListenTries times.
func (s *Server) restartAfter(downtime time.Duration) {
	defer s.restart.Done()
	time.Sleep(downtime)
	for range maxListenTries {
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
		time.Sleep(listenRetryInterval)
	}
}

// closeConns closes all connections.
func (s *Server) closeConns() {
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

// Drain sets the leaving header on each answer and, after the grace period, refuses
// all new requests of this boot. It returns at the end of the grace period or of ctx.
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

// Boot returns the ID of the current boot.
func (s *Server) Boot() almondstep.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID()
}

// bootID returns the ID of the current boot. The caller holds mu.
func (s *Server) bootID() almondstep.BootID {
	return almondstep.BootID(fmt.Sprintf("%s#%d", s.Address, s.state.boot))
}

// SetHoldings replaces the shards served, as the rollout of a version or a
// repartitioning does.
func (s *Server) SetHoldings(h []almondstep.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Holdings = h
}

// SetCold makes the server cold or warm without a restart.
func (s *Server) SetCold(cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.cold = cold
	s.state.served = 0
}

// Counters returns the current counts.
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
