package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"almondstep"
)

const maxSwitchBytes = 64 << 10

// State is the state that an upstream reports. SetFalseState makes it report a wrong
// one.
type State struct {
	Boot     almondstep.BootID    `json:"boot"`
	Holdings []almondstep.Holding `json:"holdings"`
	Leaving  bool                 `json:"leaving"`
	Cold     bool                 `json:"cold"`
	// Load is the fraction of the slots in use, 0 to 1.
	Load float64 `json:"load"`
}

// Switches are the changes to a server that a test can request.
type Switches struct {
	// DrainMillis starts a drain with this grace period, in milliseconds.
	DrainMillis *int `json:"drainMillis,omitempty"`
	// RestartMillis restarts the server after this downtime, in milliseconds.
	RestartMillis *int `json:"restartMillis,omitempty"`
	// SilenceOpen stops reading and answering on the connections that are open now,
	// without closing them.
	SilenceOpen bool `json:"silenceOpen,omitempty"`
	// Cold makes the server cold or warm without a restart.
	Cold *bool `json:"cold,omitempty"`
	// Holdings replaces the shards served.
	Holdings []almondstep.Holding `json:"holdings,omitempty"`
	// FalseState is reported from now on instead of the true state.
	FalseState *State `json:"falseState,omitempty"`
}

// Apply makes the requested changes.
func (s *Server) Apply(sw Switches) {
	if sw.SilenceOpen {
		s.SilenceOpen()
	}
	if sw.Cold != nil {
		s.SetCold(*sw.Cold)
	}
	if sw.Holdings != nil {
		s.SetHoldings(sw.Holdings)
	}
	if sw.FalseState != nil {
		s.SetFalseState(sw.FalseState)
	}
	if sw.DrainMillis != nil {
		go s.Drain(context.Background(), time.Duration(*sw.DrainMillis)*time.Millisecond)
	}
	if sw.RestartMillis != nil {
		s.Restart(time.Duration(*sw.RestartMillis) * time.Millisecond)
	}
}

// SetFalseState makes the server report st instead of its true state; nil ends
// that.
func (s *Server) SetFalseState(st *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.falseState = st
}

// State returns the true state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Boot:     s.bootID(),
		Holdings: slices.Clone(s.Holdings),
		Leaving:  s.state.leaving,
		Cold:     s.state.cold,
		Load:     float64(s.state.inFlight) / float64(max(1, s.Slots)),
	}
}

func (s *Server) getState(w http.ResponseWriter) {
	st := s.State()
	s.mu.Lock()
	falseState := s.falseState
	s.mu.Unlock()
	s.setStateHeaders(w)
	if falseState != nil {
		st = *falseState
	}
	writeJSON(w, http.StatusOK, st)
}

func (s *Server) putSwitches(w http.ResponseWriter, r *http.Request) {
	var sw Switches
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes)).Decode(&sw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	// The answer must be sent before a restart closes its connection.
	_ = http.NewResponseController(w).Flush()
	s.Apply(sw)
}
