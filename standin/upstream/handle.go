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

// The headers of the HTTP form.
const (
	headerBoot    = "Almondstep-Boot"
	headerLeaving = "Almondstep-Leaving"
	headerCold    = "Almondstep-Cold"
	headerNotRun  = "Almondstep-Not-Run"
	// headerTimeoutMillis is the time the client still waits, in milliseconds.
	headerTimeoutMillis = "Almondstep-Timeout-Millis"
)

// maxCallBytes bounds a call.
const maxCallBytes = 1 << 20

// callRequest is the body of a call.
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

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var q callRequest
	// The body is read to its end, without which net/http can't notice that
	// the client has gone.
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := deadlineOf(r)
	defer cancel()
	t, verdict := s.begin(ctx, &q)
	s.mark(w)
	if verdict != beginRun {
		s.refuse(w, verdict)
		return
	}
	defer s.end(t)
	if q.Operation != "" {
		// It counts as run from its beginning, whatever becomes of it.
		s.Ledger.run(q.Operation, q.Text)
	}
	if !s.work(ctx, t) {
		s.stopped(w, r, t)
		return
	}
	if s.CrashText != "" && q.Text == s.CrashText {
		s.crash(t.boot, s.CrashDowntime)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, &q)
}

// answer writes what came of the request.
func (s *Server) answer(w http.ResponseWriter, q *callRequest) {
	if q.Operation != "" {
		writeJSON(w, http.StatusOK, callAnswer{Version: q.Version, Total: 1, Records: []almondstep.Record{}})
		return
	}
	shard := almondstep.NewShard(q.Service, q.Shard, q.Of)
	total, records := s.Data.Shard(shard, q.Version, q.Text, q.Limit)
	writeJSON(w, http.StatusOK, callAnswer{Version: q.Version, Total: total, Records: records})
}

// mark writes the headers that every answer carries.
func (s *Server) mark(w http.ResponseWriter) {
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

func (s *Server) refuse(w http.ResponseWriter, v verdict) {
	switch v {
	case beginFell:
		panic(http.ErrAbortHandler)
	case beginWrongVersion:
		w.Header().Set(headerNotRun, "1")
		writeJSON(w, http.StatusConflict, callAnswer{Version: s.newest(), Records: []almondstep.Record{}})
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopped ends a request that was cut off by a crash, that the client gave up
// or that passed its deadline.
func (s *Server) stopped(w http.ResponseWriter, r *http.Request, t *ticket) {
	if isClosed(t.crashed) {
		panic(http.ErrAbortHandler)
	}
	if r.Context().Err() != nil {
		s.count(func(c *Counters) { c.Canceled++ })
		panic(http.ErrAbortHandler)
	}
	s.count(func(c *Counters) { c.Expired++ })
	w.WriteHeader(http.StatusGatewayTimeout)
}

func (s *Server) count(change func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// holds says whether the shard is served at the version. The caller holds mu.
func (s *Server) holds(q *callRequest) bool {
	return slices.ContainsFunc(s.Holdings, func(h almondstep.Holding) bool {
		return h.Version == q.Version && h.Of == q.Of && slices.Contains(h.Shards, q.Shard)
	})
}

func (s *Server) newest() almondstep.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v almondstep.Version
	for _, h := range s.Holdings {
		v = max(v, h.Version)
	}
	return v
}

func deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
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
