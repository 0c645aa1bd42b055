package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on one page.
const pageItems = 500

// store is a stand-in for the platform's metadata store.
type store struct {
	names    *names
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	lastID   uint64
	// silent is closed when the store answers again; nil if it answers.
	silent chan struct{}
}

type item struct {
	Key      string
	Value    string
	Revision uint64
	Created  uint64
	Lease    uint64
	Removed  bool
}

// shown returns the item as the store's answers have it.
func (s *store) shown(it item) map[string]any {
	if it.Removed {
		return map[string]any{"key": it.Key, "revision": it.Revision, s.names.Removed: true}
	}
	return map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create-revision": it.Created, "lease": it.Lease}
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore(n *names, address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{names: n, listener: l, changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	go s.endLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// setSilent makes the store leave all calls without an answer, or answer again. Calls that
// it gets while it is silent are not executed; they end with a reset.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent == (s.silent != nil) {
		return
	}
	if silent {
		s.silent = make(chan struct{})
		// A watch that is waiting is left without an answer too.
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	close(s.silent)
	s.silent = nil
}

// put writes an item as the operator or a server does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Removed: true})
}

func (s *store) write(it item) {
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if held, ok := s.items[it.Key]; ok {
		it.Created = held.Created
	}
	s.items[it.Key] = it
	if it.Removed {
		delete(s.items, it.Key)
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLeases() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		// While the store is silent, leases pause.
		if s.silent == nil {
			for id, l := range s.leases {
				if time.Now().After(l.ends) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.write(item{Key: key, Removed: true})
		}
	}
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.awaitAnswering(r)
	n := s.names
	switch {
	case r.URL.Path == n.KeyPath:
		s.handleKey(w, r)
	case r.URL.Path == n.RangePath:
		s.handleRange(w, r)
	case r.URL.Path == n.WatchPath:
		s.handleWatch(w, r)
	case r.URL.Path == n.TxnPath:
		s.handleTxn(w, r)
	case r.URL.Path == n.LeasePath:
		s.handleLease(w, r)
	case strings.HasPrefix(r.URL.Path, n.KeepPath):
		s.handleKeep(w, r)
	case strings.HasPrefix(r.URL.Path, n.EndPath):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, n.EndPath), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// awaitAnswering returns at once if the store answers. Otherwise it never returns: the
// call ends without an answer.
func (s *store) awaitAnswering(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return
	}
	select {
	case <-silent:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	body := s.shown(it)
	body["current-rev"] = s.revision
	writeJSON(w, http.StatusOK, body)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	items := []any{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.shown(s.items[key]))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.awaitAnswering(r)
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				events = append(events, s.shown(e))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.awaitAnswering(r)
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts    []item
		Deletes []string
	}
	var conditions map[string]json.RawMessage
	var text json.RawMessage
	if json.NewDecoder(r.Body).Decode(&text) != nil || json.Unmarshal(text, &body) != nil || json.Unmarshal(text, &conditions) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var expected []struct {
		Key      string
		Revision uint64
	}
	_ = json.Unmarshal(conditions[s.names.Expectations], &expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []any{}
			for _, e := range expected {
				if it, ok := s.items[e.Key]; ok {
					current = append(current, s.shown(it))
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Removed: true})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var body map[string]int64
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(body["ttl-ms"]) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, s.names.KeepPath), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
