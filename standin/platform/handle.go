package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondstep"
)

// revisionHeader is a key's revision in each answer about it.
const revisionHeader = "Almondstep-Revision"

// maxWait bounds a watch, whatever wait its client asks for.
const maxWait = time.Minute

// maxFleetBytes bounds the body of a call that writes the list of VMs.
const maxFleetBytes = 8 << 20

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	after, wait, ok := parseWatch(w, r)
	if !ok {
		return
	}
	if key == "" {
		http.Error(w, "key is missing", http.StatusBadRequest)
		return
	}
	e, changed := s.store.read(key)
	timeout := time.After(wait)
	for wait > 0 && e.Revision <= after {
		if !s.waitChange(r, changed, timeout) {
			break
		}
		e, changed = s.store.read(key)
	}
	if !s.applyFaults(w, r) {
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(e.Revision, 10))
	switch {
	case e.Revision == 0:
		w.WriteHeader(http.StatusNotFound)
	case wait > 0 && e.Revision == after:
		w.WriteHeader(http.StatusNotModified)
	default:
		_, _ = w.Write(e.Value)
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if key == "" || err != nil {
		http.Error(w, "key and base are needed", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "the value is too large or was cut short", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	revision, swapped := s.store.compareAndSwap(key, base, body)
	s.abortLostAnswer()
	w.Header().Set(revisionHeader, strconv.FormatUint(revision, 10))
	if !swapped {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Server) lease(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ttl, err := strconv.ParseInt(q.Get("ttlMillis"), 10, 64)
	if q.Get("key") == "" || q.Get("holder") == "" || err != nil || ttl <= 0 {
		http.Error(w, "key, holder and a positive ttlMillis are needed", http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	acquired := s.store.acquireLease(q.Get("key"), q.Get("holder"), s.Now(), time.Duration(ttl)*time.Millisecond)
	s.abortLostAnswer()
	if !acquired {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := parseWatch(w, r)
	if !ok {
		return
	}
	f, changed := s.store.readFleet()
	timeout := time.After(wait)
	for wait > 0 && uint64(f.Revision) <= after {
		if !s.waitChange(r, changed, timeout) {
			break
		}
		f, changed = s.store.readFleet()
	}
	if !s.applyFaults(w, r) {
		return
	}
	if wait > 0 && f.Revision != 0 && uint64(f.Revision) == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, f)
}

func (s *Server) putFleet(w http.ResponseWriter, r *http.Request) {
	var f almondstep.Fleet
	if !readJSON(w, r, maxFleetBytes, &f) {
		return
	}
	writeJSON(w, struct {
		Revision almondstep.Revision `json:"revision"`
	}{s.store.setFleet(f)})
}

// parseWatch parses the revision above which a read waits for a change, and how long it
// waits; 0 if it doesn't wait. If they are malformed, it writes the refusal and ok is
// false.
func parseWatch(w http.ResponseWriter, r *http.Request) (after uint64, wait time.Duration, ok bool) {
	q := r.URL.Query()
	if !q.Has("waitMillis") {
		return 0, 0, true
	}
	millis, err := strconv.ParseInt(q.Get("waitMillis"), 10, 64)
	if err == nil {
		after, err = strconv.ParseUint(q.Get("after"), 10, 64)
	}
	if err != nil || millis < 0 {
		http.Error(w, "after and waitMillis must be numbers from 0", http.StatusBadRequest)
		return 0, 0, false
	}
	return after, min(time.Duration(millis)*time.Millisecond, maxWait), true
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
