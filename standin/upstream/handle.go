package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"almondstep"
)

// The header fields of docs/PROTOCOLS.md.
const (
	headerBoot    = "Almondstep-Boot"
	headerLeaving = "Almondstep-Leaving"
	headerCold    = "Almondstep-Cold"
	headerNotRun  = "Almondstep-Not-Run"
	// headerTimeoutMillis is how long the client waits, in milliseconds.
	headerTimeoutMillis = "Almondstep-Timeout-Millis"
)

// maxCallBytes bounds the body of a call.
const maxCallBytes = 1 << 20

// callRequest is the body of a call: one search in a shard, or one operation.
type callRequest struct {
	Service    almondstep.ServiceName `json:"service"`
	Shard      uint32                 `json:"shard"`
	Of         uint32                 `json:"of"`
	Version    almondstep.Version     `json:"version"`
	Text       string                 `json:"text"`
	Limit      int                    `json:"limit"`
	Operation  string                 `json:"operation,omitempty"`
	Idempotent bool                   `json:"idempotent,omitempty"`
}

// callAnswer is the body of the answer to a call.
type callAnswer struct {
	Version almondstep.Version  `json:"version"`
	Total   int                 `json:"total"`
	Records []almondstep.Record `json:"records"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/call":
		s.call(w, r)
	case "GET /v1/state":
		s.getState(w)
	case "PUT /switches":
		s.putSwitches(w, r)
	case "GET /counters":
		writeJSON(w, http.StatusOK, s.Counters())
	default:
		http.Error(w, "no such path", http.StatusNotFound)
	}
}

// call handles one call. If the server crashes or the client has disconnected, it closes
// the connection without an answer.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var q callRequest
	// The body must be read to its end for net/http to notice that the client
	// has closed the connection.
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	t, result := s.begin(ctx, &q)
	s.setStateHeaders(w)
	if result != beginRun {
		s.refuse(w, result)
		return
	}
	defer s.end(t)
	if q.Operation != "" {
		// An operation counts as run from its start, however it ends.
		s.Ledger.recordRun(q.Operation, q.Text)
	}
	if !s.simulateWork(ctx, t) {
		s.failStopped(w, r, t)
		return
	}
	if s.CrashText != "" && q.Text == s.CrashText {
		s.crash(t.boot, s.CrashDowntime)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, &q)
}

// answer writes the result of the request.
func (s *Server) answer(w http.ResponseWriter, q *callRequest) {
	if q.Operation != "" {
		writeJSON(w, http.StatusOK, callAnswer{Version: q.Version, Total: 1, Records: []almondstep.Record{}})
		return
	}
	shard := almondstep.NewShard(q.Service, q.Shard, q.Of)
	total, records := s.Data.Shard(shard, q.Version, q.Text, q.Limit)
	writeJSON(w, http.StatusOK, callAnswer{Version: q.Version, Total: total, Records: records})
}

// setStateHeaders writes the headers that every answer carries.
func (s *Server) setStateHeaders(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(headerBoot, string(s.bootID()))
	if s.state.leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if s.state.cold {
		w.Header().Set(headerCold, "1")
	}
}

// refuse answers a request that doesn't run.
func (s *Server) refuse(w http.ResponseWriter, result beginResult) {
	switch result {
	case beginCrashed:
		panic(http.ErrAbortHandler)
	case beginWrongVersion:
		w.Header().Set(headerNotRun, "1")
		writeJSON(w, http.StatusConflict, callAnswer{Version: s.newestVersion(), Records: []almondstep.Record{}})
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// failStopped ends a request that was stopped by a crash, by the client's disconnecting
// or at its deadline.
func (s *Server) failStopped(w http.ResponseWriter, r *http.Request, t *activeRequest) {
	if isClosed(t.crashed) {
		panic(http.ErrAbortHandler)
	}
	if r.Context().Err() != nil {
		s.updateCounters(func(c *Counters) { c.Canceled++ })
		panic(http.ErrAbortHandler)
	}
	s.updateCounters(func(c *Counters) { c.Expired++ })
	w.WriteHeader(http.StatusGatewayTimeout)
}

func (s *Server) updateCounters(change func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// holds reports whether the shard is served at the version. The caller holds mu.
func (s *Server) holds(q *callRequest) bool {
	return slices.ContainsFunc(s.Holdings, func(h almondstep.Holding) bool {
		return h.Version == q.Version && h.Of == q.Of && slices.Contains(h.Shards, q.Shard)
	})
}

func (s *Server) newestVersion() almondstep.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v almondstep.Version
	for _, h := range s.Holdings {
		v = max(v, h.Version)
	}
	return v
}

// withDeadline returns the request's context, with its deadline if it has one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(headerTimeoutMillis))
	if err != nil || millis <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
