//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"

	"almondstep/platform/standin"
)

const (
	ledgerShard = "shard00"
	ledgerWork  = 30 * time.Millisecond
	coldTime    = 3 * time.Second
	// coldLimit is what a cold server may get in a second: the rate times cold-burst-factor, and cold-slack.
	coldLimit = ledgerColdRate*1.5 + 5
	// coldCrash is the number of requests in a second that a cold server bears; one more, and it crashes.
	coldCrash = 12
	// coldAfter is the time from the beginning of the outage to that at which the server becomes cold.
	coldAfter = 3 * time.Second
)

// coldAgain: while the store is down, a server becomes cold again, and says so in its answers to status
// checks. It must get no more requests in a second than a cold server may.
func coldAgain(r *rig, trouble bool) (bool, error) {
	var ledgers []*server
	for _, zone := range []string{"jhb-north", "cpt-central", "dbn-coast"} {
		s, err := r.addServer("i-ledger-"+zone, "ledger", zone)
		if err != nil {
			return false, err
		}
		s.Body = func(run standin.Run) string {
			time.Sleep(ledgerWork)
			return records(run.Service, run.Request)
		}
		ledgers = append(ledgers, s)
	}
	if _, err := r.addServer("i-shard", ledgerShard, "jhb-north"); err != nil {
		return false, err
	}
	cold := ledgers[0]
	cold.Downtime = coldTime
	cold.CrashOn = func(standin.Run) bool {
		until := cold.ColdUntil.Load()
		if until == nil || time.Now().After(*until) {
			return false
		}
		since := until.Add(-coldTime)
		if last := time.Now().Add(-time.Second); last.After(since) {
			since = last
		}
		return countSince(cold.Runs(), since) > coldCrash
	}
	cold.OnRestart = func() { r.note("%s has crashed and is back", cold.ID) }
	if err := r.configure(7, []string{ledgerShard}); err != nil {
		return false, err
	}
	if err := r.addDaemons("jhb-north", "jhb-north", "cpt-central", "cpt-central", "dbn-coast", "dbn-coast"); err != nil {
		return false, err
	}
	c := r.newClients()
	for _, d := range r.daemons {
		c.run(d, "/order/", 3*time.Second, 64*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	if trouble {
		r.note("the store is down: it answers 503")
		r.store.SetFaults(standin.StoreFaults{Refuse: http.StatusServiceUnavailable})
	}
	time.Sleep(coldAfter)
	from := time.Now()
	until := from.Add(coldTime)
	cold.ColdUntil.Store(&until)
	r.note("%s is cold again, for %s", cold.ID, coldTime)
	if !trouble {
		cold.write()
	}
	time.Sleep(outageTime - coldAfter)
	r.store.SetFaults(standin.StoreFaults{})
	time.Sleep(2 * time.Second)
	c.end()
	for _, run := range cold.Runs() {
		if taken := c.of(run.Request); taken != nil && run.At.After(from.Add(-time.Second)) && run.At.Before(until) {
			r.note("request %s, sent to %s, ran at %s %.3f s after it became cold", run.Request, taken.daemon.name, cold.ID, run.At.Sub(from).Seconds())
		}
	}
	most := r.mostInASecond(c, cold.Runs(), from, until)
	r.note("the cold server got at most %d requests in a second, where %s are allowed", most, fmt.Sprint(coldLimit))
	return float64(most) > coldLimit, nil
}

// countSince counts the runs since an instant.
func countSince(runs []standin.Run, since time.Time) int {
	n := 0
	for i := len(runs) - 1; i >= 0 && runs[i].At.After(since); i-- {
		n++
	}
	return n
}

// mostInASecond returns the most requests that were sent and ran inside one second between two instants.
func (r *rig) mostInASecond(c *clients, runs []standin.Run, from, until time.Time) int {
	var all []time.Time
	for _, run := range runs {
		taken := c.of(run.Request)
		if taken != nil && taken.at.After(from) && run.At.Before(until) {
			all = append(all, run.At)
		}
	}
	most := 0
	for i := range all {
		n := 0
		for _, at := range all[i:] {
			if at.Sub(all[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
