package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The parameters of the case "refused": the servers and the kind of request are those of
// the small deployment in Curico. The disruption has the doses that fleetbench kinds gives:
// of the requests of one server of eight (share 0.125), greyShare fail for greyFor, once.
const (
	refusedServers  = 8
	refusedSlots    = 3
	refusedWork     = 78 * time.Millisecond
	fastWork        = 48 * time.Millisecond
	refusedDaemons  = 6
	refusedClients  = 12
	refusedDeadline = 2 * time.Second
	greyShare       = 0.4
	greyFor         = 5 * time.Second
	greyFrom        = 4 * time.Second
	refusedEnd      = 16 * time.Second
)

// isGrey reports whether the server fails some of its requests at a time since the start.
func isGrey(since time.Duration) bool { return since >= greyFrom && since < greyFrom+greyFor }

// promises are the statuses by which a daemon promises that a request hasn't run and won't.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// ledger has what was sent, answered and run.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]run
	statuses map[string]int
	orders   map[string][]string
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]run{}, statuses: map[string]int{}, orders: map[string][]string{}}
}

func (l *ledger) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.request] = append(l.runs[r.request], r)
}

func (l *ledger) sent(order, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[order] = append(l.orders[order], request)
}

func (l *ledger) answered(request string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[request] = status
}

// refusedCase shows that the daemon passes on a server's own 503, which doesn't say that
// the request hasn't run.
func refusedCase(f *fleet, trouble bool) (bool, error) {
	l := newLedger()
	servers, err := f.addServers("dispatch-counter", refusedServers, refusedSlots, refusedWork, func(r run) {
		l.ran(r)
		f.record.line("run      %s at %s", r.request, r.server)
	})
	if err != nil {
		return false, err
	}
	f.store.put(f.names.Config, fill("config.json", map[string]any{"Version": 7, "Service": "dispatch-counter", "Kind": "non_idempotent"}))
	if err := f.startDaemons(refusedDaemons); err != nil {
		return false, err
	}
	began := time.Now()
	// Servers of one service differ in speed; the one that fails is the fastest.
	servers[0].work = fastWork
	if trouble {
		servers[0].respond = func(s *server, id string) *response {
			if !isGrey(time.Since(began)) || rand.Float64() >= greyShare {
				return nil
			}
			f.record.line("fails    %s at %s, after it ran", id, s.id)
			return &response{status: http.StatusServiceUnavailable, fields: s.stamped(id), body: "the printer of this counter doesn't answer\n"}
		}
	}
	var clients sync.WaitGroup
	for i := range refusedClients {
		clients.Go(func() { orderClient(f, l, i, func() bool { return time.Since(began) < refusedEnd }) })
	}
	clients.Wait()
	return l.checkRefused(f.record), nil
}

// orderClient sends orders one after the other. It repeats an order, under a new id at
// another daemon, only after a promise that it hasn't run, as the clients of a kind of
// request that may run once do.
func orderClient(f *fleet, l *ledger, number int, more func() bool) {
	c := &client{names: f.names}
	defer c.close()
	for n := 0; more(); n++ {
		order := fmt.Sprintf("c%d-%d", number, n)
		for attempt := range 2 {
			id := fmt.Sprintf("%s-%d", order, attempt+1)
			d := f.daemons[(number+attempt)%len(f.daemons)]
			l.sent(order, id)
			f.record.line("sent     %s to %s", id, d.name)
			a := c.send(d.front, http.MethodPost, host, "/order/"+order, id, refusedDeadline, "pallet of "+order)
			if a.err != nil {
				f.record.line("no answer %s: %v", id, a.err)
				break
			}
			l.answered(id, a.status)
			f.record.line("answered %s %d, %s %q, %s %q", id, a.status, f.names.Stamp, a.header.Get(f.names.Stamp), f.names.NotRun, a.header.Get(f.names.NotRun))
			if !promises(a.status) {
				break
			}
			after, _ := strconv.ParseFloat(a.header.Get(f.names.RetryAfter), 64)
			time.Sleep(time.Duration(after*float64(time.Second)) + 50*time.Millisecond)
		}
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
	}
}

// checkRefused checks the rule REFUSED, and reports whether it was broken.
func (l *ledger) checkRefused(r *record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken, twice := 0, 0
	for id, status := range l.statuses {
		if promises(status) && len(l.runs[id]) > 0 {
			broken++
			r.line("BROKEN   REFUSED: %s was answered %d and ran at %s", id, status, l.runs[id][0].server)
		}
	}
	for order, requests := range l.orders {
		ran := 0
		for _, id := range requests {
			ran += len(l.runs[id])
		}
		if ran > 1 {
			twice++
			r.line("order %s ran %d times", order, ran)
		}
	}
	r.line("requests %d, answered %d, broken promises %d, orders that ran more than once %d", len(l.runs), len(l.statuses), broken, twice)
	return broken > 0
}
