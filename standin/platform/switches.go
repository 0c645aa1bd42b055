package platform

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// maxSwitchBytes bounds a request to the switches.
const maxSwitchBytes = 4 << 10

// Switches are the failures that can be switched on. The zero value is a platform
// without failures.
type Switches struct {
	// Outage answers 503 to every call, waiting watches included; nothing takes effect.
	Outage bool `json:"outage"`
	// SlowMillis is a delay before each call takes effect, in milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LostAnswers closes the connection after a write or lease has taken effect.
	LostAnswers bool `json:"lostAnswers"`
	// Silent never answers a call, nor closes its connection; nothing takes effect.
	Silent bool `json:"silent"`
	// SilentOpen never answers a call on a connection that is open when it is set, even
	// after it is set back. New connections work.
	SilentOpen bool `json:"silentOpen"`
}

// Counts holds the number of calls by kind: get, put, lease, fleet.
type Counts map[string]int

// SetSwitches replaces the switches.
func (s *Server) SetSwitches(sw Switches) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if sw.SilentOpen {
		s.lastSilentConn = s.conns.last.Load()
	}
	s.switches = sw
	close(s.switchesChanged)
	s.switchesChanged = make(chan struct{})
	s.Logger.Info("switches set", "outage", sw.Outage, "slowMillis", sw.SlowMillis,
		"lostAnswers", sw.LostAnswers, "silent", sw.Silent, "silentOpen", sw.SilentOpen)
}

// Switches returns the current switches.
func (s *Server) Switches() Switches {
	s.init()
	sw, _ := s.switchState()
	return sw
}

// Counts returns the number of calls so far, by kind.
func (s *Server) Counts() Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *Server) switchState() (Switches, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches, s.switchesChanged
}

// countCalls counts each call to h, whatever its outcome.
func (s *Server) countCalls(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.counts[kind]++
		s.mu.Unlock()
		h(w, r)
	}
}

// waitChange waits for a change of the watched value or of the switches. It reports
// whether to read the value again; if not, the wait timed out, the request was
// canceled, or the switches prevent an answer.
func (s *Server) waitChange(r *http.Request, changed <-chan struct{}, timeout <-chan time.Time) bool {
	sw, switchesChanged := s.switchState()
	if sw.Outage || sw.Silent {
		return false
	}
	select {
	case <-changed:
		return true
	case <-switchesChanged:
		return true
	case <-timeout:
		return false
	case <-r.Context().Done():
		return false
	}
}

// applyFaults applies outage, slowness and silence to a call that is about to
// take effect. It reports whether the call continues.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	sw, _ := s.switchState()
	if sw.SlowMillis > 0 {
		select {
		case <-time.After(time.Duration(sw.SlowMillis) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
		sw, _ = s.switchState()
	}
	if sw.Silent || s.connSilent(r) {
		<-r.Context().Done()
		return false
	}
	if sw.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// abortLostAnswer closes the connection of a write or lease that has taken effect, if
// LostAnswers is set. It doesn't return then.
func (s *Server) abortLostAnswer() {
	if sw, _ := s.switchState(); sw.LostAnswers {
		panic(http.ErrAbortHandler)
	}
}

// connSilent reports whether SilentOpen applies to the connection of the call.
func (s *Server) connSilent(r *http.Request) bool {
	n, ok := r.Context().Value(connKey{}).(uint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && n <= s.lastSilentConn
}

func (s *Server) getSwitches(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Switches())
}

func (s *Server) putSwitches(w http.ResponseWriter, r *http.Request) {
	var sw Switches
	if readJSON(w, r, maxSwitchBytes, &sw) {
		s.SetSwitches(sw)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func (s *Server) rollback(w http.ResponseWriter, r *http.Request) {
	writes, err := strconv.Atoi(r.URL.Query().Get("writes"))
	if err != nil || !s.Rollback(r.URL.Query().Get("key"), writes) {
		http.Error(w, "no such key, or not so many writes to take back", http.StatusBadRequest)
	}
}

// connKey is the context key of a connection's number.
type connKey struct{}

// connCounter numbers the connections in the order they were accepted, from 1.
type connCounter struct{ last atomic.Uint64 }

func (n *connCounter) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, n.last.Add(1))
}
