package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The parameters of the case "crasher".
const (
	crashPath = "/order/cart-of-wet-nuts"
	crashDown = 4900 * time.Millisecond
	// crashListed is three intervals of the servers' reports, after which the entry of a
	// silent server is removed.
	crashListed = 3 * 1200 * time.Millisecond
	crashEvery  = time.Second
	// crashServers is the number of servers of the service on the sheet.
	crashServers = 5
	crasherFrom  = 3 * time.Second
	crasherEnd   = 45 * time.Second
	// stability is the stability window of the settings.
	stability = 5 * time.Second
	// crashesKnown is the number of crashes after which the rule counts, and mayFollow the
	// number of retries that may reach servers after that.
	crashesKnown = 3
	mayFollow    = 3
)

// crashes has the times at which servers crashed under the request.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

// crasherCase shows that a request under which servers crash and fall silent is sent on and
// on. With CRASH=loud their connections end as they crash.
func crasherCase(f *fleet, trouble bool) (bool, error) {
	l := newLedger()
	c := &crashes{}
	servers, err := f.addServers("dispatch-counter", crashServers, refusedSlots, refusedWork, l.ran)
	if err != nil {
		return false, err
	}
	for i, s := range servers {
		zone := places()[i%len(places())].zone
		s.crashOn = func(s *server, path string) bool {
			if path != crashPath {
				return false
			}
			f.record.line("run      the request begins to run at %s", s.id)
			if !trouble {
				return false
			}
			c.mu.Lock()
			c.times = append(c.times, time.Now())
			c.mu.Unlock()
			f.record.line("%s crashes under it", s.id)
			if s.crash(os.Getenv("CRASH") == "loud", crashDown, func() {
				f.record.line("%s is back", s.id)
				f.store.put(f.names.Servers+s.id, s.entry(zone, "ready"))
			}) {
				time.AfterFunc(crashListed, func() { f.store.remove(f.names.Servers + s.id) })
			}
			return true
		}
	}
	f.store.put(f.names.Config, fill("config.json", map[string]any{"Version": 7, "Service": "dispatch-counter", "Kind": "idempotent"}))
	if err := f.startDaemons(3); err != nil {
		return false, err
	}
	began := time.Now()
	more := func() bool { return time.Since(began) < crasherEnd }
	var clients sync.WaitGroup
	for i := range refusedClients {
		clients.Go(func() { plainClient(f, i, more) })
	}
	time.Sleep(crasherFrom)
	for n := 0; more(); n++ {
		clients.Go(func() { sendCrasher(f, n) })
		time.Sleep(crashEvery)
	}
	clients.Wait()
	return c.check(f.record), nil
}

// sendCrasher sends the request that crashes servers, under an id of its own.
func sendCrasher(f *fleet, n int) {
	c := &client{names: f.names}
	defer c.close()
	d := f.daemons[n%len(f.daemons)]
	id := fmt.Sprintf("crasher-%d", n)
	f.record.line("sent     %s to %s", id, d.name)
	a := c.send(d.front, http.MethodPost, host, crashPath, id, refusedDeadline, "the same bytes each time")
	f.record.line("answered %s %d %.60q %v", id, a.status, a.body, a.err)
}

// plainClient sends requests that crash nothing.
func plainClient(f *fleet, number int, more func() bool) {
	c := &client{names: f.names}
	defer c.close()
	for n := 0; more(); n++ {
		id := fmt.Sprintf("c%d-%d", number, n)
		a := c.send(f.daemons[number%len(f.daemons)].front, http.MethodPost, host, "/order/"+id, id, refusedDeadline, "pallet of "+id)
		if a.status != http.StatusOK {
			f.record.line("answered %s %d %v", id, a.status, a.err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// check checks the rule BUDGET for the request that crashes servers.
func (c *crashes) check(r *record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < crashesKnown {
		r.line("the request crashed servers %d times", len(c.times))
		return false
	}
	from := c.times[crashesKnown-1].Add(stability)
	later := 0
	for _, at := range c.times {
		if at.After(from) {
			later++
		}
	}
	r.line("the request crashed servers %d times, %d of these later than %v after the third crash; %d may", len(c.times), later, stability, mayFollow)
	return later > mayFollow
}
