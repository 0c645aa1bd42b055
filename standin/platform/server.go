// Package platform is a small stand-in for the platform: its key-value service
// and its list of VMs, over the HTTP protocol that docs/PROTOCOLS.md describes.
//
// Tests and the demo use it to simulate failures of the platform: an outage,
// slowness, lost answers, connections without answers and older data. It keeps
// everything in memory, in one process.
//
//	ln, _ := net.Listen("tcp", "127.0.0.1:0")
//	s := &platform.Server{Listener: ln}
//	go s.Run(ctx)
//	s.SetSwitches(platform.Switches{Outage: true})
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// headerTimeout bounds the time a client takes to send its request header.
const headerTimeout = 5 * time.Second

// Server is a stand-in for the platform. Its fields are set before Run, or
// before it is first used as an http.Handler.
type Server struct {
	// Listener is the listener that Run serves; Run closes it.
	Listener net.Listener
	// Logger receives a line for each change of the switches; nil discards them.
	Logger hclog.Logger
	// Now is the clock for the expiry of leases; nil is time.Now.
	Now func() time.Time

	once  sync.Once
	store *store
	conns connCounter
	mux   *http.ServeMux

	mu       sync.Mutex
	switches Switches
	// lastSilentConn is the highest number of a connection on which no call is answered
	// any more.
	lastSilentConn uint64
	// switchesChanged is closed at the next change of the switches.
	switchesChanged chan struct{}
	counts          Counts
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       s.conns.connContext,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "stand-in platform")
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.mux.ServeHTTP(w, r)
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Logger == nil {
			s.Logger = hclog.NewNullLogger()
		}
		if s.Now == nil {
			s.Now = time.Now
		}
		s.store = newStore()
		s.switchesChanged = make(chan struct{})
		s.counts = Counts{}
		s.mux = http.NewServeMux()
		s.route()
	})
}

func (s *Server) route() {
	s.mux.HandleFunc("GET /v1/kv", s.countCalls("get", s.get))
	s.mux.HandleFunc("PUT /v1/kv", s.countCalls("put", s.put))
	s.mux.HandleFunc("PUT /v1/lease", s.countCalls("lease", s.lease))
	s.mux.HandleFunc("GET /v1/fleet", s.countCalls("fleet", s.fleet))
	s.mux.HandleFunc("PUT /v1/fleet", s.putFleet)
	s.mux.HandleFunc("GET /switches", s.getSwitches)
	s.mux.HandleFunc("PUT /switches", s.putSwitches)
	s.mux.HandleFunc("POST /rollback", s.rollback)
	s.mux.HandleFunc("GET /counts", s.getCounts)
}

// SetFleet replaces the list of VMs and returns its new revision.
func (s *Server) SetFleet(f almondstep.Fleet) almondstep.Revision {
	s.init()
	return s.store.setFleet(f)
}

// Fleet returns the current list of VMs.
func (s *Server) Fleet() almondstep.Fleet {
	s.init()
	f, _ := s.store.readFleet()
	return f
}

// Entry reads a key without HTTP; the switches don't affect it.
func (s *Server) Entry(key string) almondstep.Entry {
	s.init()
	e, _ := s.store.read(key)
	return e
}

// Rollback undoes the last writes of a key, revision included, as if the platform had
// been restored from an older backup. It reports whether the key had that many writes
// in its history; if not, it changes nothing.
func (s *Server) Rollback(key string, writes int) bool {
	s.init()
	return s.store.rollback(key, writes)
}
