//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of one service. Set the fields up to Work, then call start.
type server struct {
	names   *wireNames
	record  *record
	store   entryStore
	ID      string
	Service string
	Zone    string
	Slots   int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Work returns how long a request takes.
	Work func() time.Duration
	// OnArrival, if set, is called with the time of each request that begins to run.
	OnArrival func(at time.Duration)
	// RestSeconds is what the server states in Retry-After when it turns a request away; 0 if it
	// states nothing. OnRest, if set, is called with each request that it turns away so.
	RestSeconds int
	OnRest      func(id string, at time.Duration)
	// Sheds, if set, reports whether the server turns the request that has arrived away.
	Sheds func() bool

	born     time.Time
	listener net.Listener
	http     *http.Server
	slots    chan struct{}

	mu        sync.Mutex
	state     string
	seq       int
	waiting   int
	coldUntil time.Time
	limit     string
	arrivals  []arrival
	// nextRun, if set, is called once, when the next request begins to run.
	nextRun func()
	done    chan struct{}
}

// entryStore is where servers write their entries.
type entryStore interface {
	Put(key string, value []byte)
	Remove(key string)
}

// arrival is a request that began to run at a server.
type arrival struct {
	request string
	at      time.Duration
}

// beatInterval is the interval at which a server writes its entry.
const beatInterval = 1200 * time.Millisecond

// start listens on a free port and writes the server's entry.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.born, s.state = l, time.Now(), "ready"
	s.slots = make(chan struct{}, s.Slots)
	s.done = make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go s.beatOn()
	s.record.addf("server %s of %s in %s starts", s.ID, s.Service, s.Zone)
	return nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	data := map[string]any{
		"Service": s.Service, "Address": s.listener.Addr().String(), "Zone": s.Zone, "Slots": s.Slots, "State": s.state,
		"ColdLeftMillis": s.coldLeft().Milliseconds(), "Seq": s.seq, "Born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.store.Put(s.names.ServerPrefix+s.ID, render("entry.json", data))
}

func (s *server) beatOn() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.beat()
		}
	}
}

// coldLeft is how much longer the server is cold. The caller holds mu.
func (s *server) coldLeft() time.Duration { return max(0, time.Until(s.coldUntil)) }

// becomeCold makes the server cold for a time and writes its entry.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.beat()
}

// drain makes the server say in its entry that it is draining; it serves on.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
}

// onNextRun has f called when the next request begins to run.
func (s *server) onNextRun(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextRun = f
}

// crash closes the listener and all connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return
	default:
	}
	close(s.done)
	_ = s.http.Close()
}

// arrivedBetween returns the requests that began to run in a span of time.
func (s *server) arrivedBetween(from, to time.Duration) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []arrival
	for _, a := range s.arrivals {
		if a.at >= from && a.at < to {
			found = append(found, a)
		}
	}
	return found
}

// ServeHTTP answers one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(s.names.AnsweringServer, s.ID)
	id := r.Header.Get(s.names.RequestID)
	if id != "" {
		h.Set(s.names.RequestID, id)
	}
	s.mu.Lock()
	h.Set(s.names.Load, fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting, s.Slots))
	if left := s.coldLeft(); left > 0 && r.URL.Path == s.names.HealthPath {
		h.Set(s.names.ColdFor, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if s.limit != "" {
		h.Set(s.names.Limit, s.limit)
	}
	s.mu.Unlock()
	switch {
	case r.URL.Path == s.names.HealthPath:
		return
	case r.Header.Get(s.names.ExpectedServer) != s.ID:
		h.Set(s.names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.Sheds != nil && s.Sheds() {
		s.turnAway(w, id)
		return
	}
	ctx, cancel := s.limitTime(r)
	defer cancel()
	if !s.takeSlot(ctx) {
		s.turnAway(w, id)
		return
	}
	defer func() { <-s.slots }()
	s.run(ctx, w, id)
}

// limitTime returns a context that ends with the request's time limit or its connection.
func (s *server) limitTime(r *http.Request) (context.Context, context.CancelFunc) {
	n, err := strconv.ParseInt(r.Header.Get(s.names.TimeLimit), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(n)*time.Millisecond)
}

// takeSlot waits for a slot, if the queue has room.
func (s *server) takeSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.Queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// turnAway refuses a request that hasn't run.
func (s *server) turnAway(w http.ResponseWriter, id string) {
	at := s.record.addf("%s turned away by %s", id, s.ID)
	w.Header().Set(s.names.NotRun, "1")
	if s.RestSeconds > 0 {
		w.Header().Set(s.names.RetryAfter, strconv.Itoa(s.RestSeconds))
	}
	if s.OnRest != nil {
		s.OnRest(id, at)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// arrived records a request that begins to run.
func (s *server) arrived(id string) {
	at := s.record.addf("%s runs at %s", id, s.ID)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{request: id, at: at})
	s.mu.Unlock()
	if s.OnArrival != nil {
		s.OnArrival(at)
	}
}

// run works on a request and answers it.
func (s *server) run(ctx context.Context, w http.ResponseWriter, id string) {
	s.arrived(id)
	s.mu.Lock()
	nextRun := s.nextRun
	s.nextRun = nil
	s.mu.Unlock()
	if nextRun != nil {
		nextRun()
	}
	select {
	case <-time.After(s.Work()):
	case <-s.done:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		w.Header().Set(s.names.Stamp, stamp(s, id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(s.names.Stamp, stamp(s, id))
	_, _ = io.WriteString(w, "answer of "+s.ID+" to "+id)
}

// stamp is the server's proof that it has run a request.
func stamp(s *server, id string) string { return s.Service + "~" + s.ID + "~" + id }
