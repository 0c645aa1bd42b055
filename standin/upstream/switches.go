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

// State is what an upstream says of itself. It may lag or be wrong.
type State struct {
	Boot     almondstep.BootID    `json:"boot"`
	Holdings []almondstep.Holding `json:"holdings"`
	Leaving  bool                 `json:"leaving"`
	Cold     bool                 `json:"cold"`
	// Load is the part of the slots in use, 0 to 1.
	Load float64 `json:"load"`
}

// Switches asks for things to happen to a server.
type Switches struct {
	// DrainMillis starts a drain with this grace, in milliseconds.
	DrainMillis *int `json:"drainMillis,omitempty"`
	// RestartMillis restarts the server, with this downtime in milliseconds.
	RestartMillis *int `json:"restartMillis,omitempty"`
	// SilenceOpen makes the connections open now silent for good.
	SilenceOpen bool `json:"silenceOpen,omitempty"`
	// Cold turns the server cold, or warm, without a restart.
	Cold *bool `json:"cold,omitempty"`
	// Holdings replaces the shards served.
	Holdings []almondstep.Holding `json:"holdings,omitempty"`
	// FalseState is told from now on in place of the true state.
	FalseState *State `json:"falseState,omitempty"`
}

// Apply does what the switches ask.
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
		s.Tell(sw.FalseState)
	}
	if sw.DrainMillis != nil {
		go s.Drain(context.Background(), time.Duration(*sw.DrainMillis)*time.Millisecond)
	}
	if sw.RestartMillis != nil {
		s.Restart(time.Duration(*sw.RestartMillis) * time.Millisecond)
	}
}

// Tell makes the server tell a state of itself that isn't true; nil ends it.
func (s *Server) Tell(st *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = st
}

// State is the true state.
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
	told := s.told
	s.mu.Unlock()
	s.mark(w)
	if told != nil {
		st = *told
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
	// The answer goes out before a restart cuts its connection.
	_ = http.NewResponseController(w).Flush()
	s.Apply(sw)
}
