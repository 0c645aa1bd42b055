//go:build review3

package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"almondstep/platform/standin"
)

const (
	drainBound      = 3 * time.Second
	stabilityWindow = 4 * time.Second
	outageTime      = 6200 * time.Millisecond
	powerLoss       = 2 * time.Second
	shardCount      = 20
	watchSpan       = time.Second
	leaving         = 4
)

// staleOutage: the store is down for some seconds. Long after, half of the machines lose power, among
// them those that read the store, just as some servers leave. The others must send these servers
// nothing later than the drain bound.
func staleOutage(r *rig, trouble bool) (bool, error) {
	second, c, err := r.search()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		r.note("the store is down: it answers 503")
		r.store.SetFaults(standin.StoreFaults{Refuse: http.StatusServiceUnavailable})
		time.Sleep(outageTime)
		r.store.SetFaults(standin.StoreFaults{})
		r.note("the store is back")
	}
	time.Sleep(2*stabilityWindow + watchSpan)
	lost := r.readers()
	for _, d := range r.daemons {
		if len(lost) < len(r.daemons)/2 && !slices.Contains(lost, d) {
			lost = append(lost, d)
		}
	}
	if trouble {
		for _, d := range lost {
			r.note("%s loses power: it falls silent", d.name)
			d.signal(syscall.SIGSTOP)
		}
	}
	left := make(map[*server]time.Time)
	for _, s := range second[:leaving] {
		left[s] = s.leave()
	}
	if trouble {
		time.Sleep(powerLoss)
		for _, d := range lost {
			d.kill()
			if err := d.start(false); err != nil {
				return false, err
			}
			r.note("%s starts again", d.name)
		}
	}
	time.Sleep(drainBound + 2*time.Second)
	c.end()
	calm := func(d *daemon) bool { return !trouble || !slices.Contains(lost, d) }
	return r.judgeDrain(c, left, calm), nil
}

// search starts six daemons, and twenty shards with two servers each, and clients that search at all
// daemons. It returns the second server of each shard.
func (r *rig) search() (second []*server, c *clients, err error) {
	var shards []string
	for i := range shardCount {
		service := fmt.Sprintf("shard%02d", i)
		shards = append(shards, service)
		for n, zone := range []string{"jhb-north", "cpt-central"} {
			s, err := r.addServer(fmt.Sprintf("i-%02d-%d", i, n), service, zone)
			if err != nil {
				return nil, nil, err
			}
			if n == 1 {
				second = append(second, s)
			}
		}
	}
	for _, s := range second[:leaving] {
		if err := s.watch(); err != nil {
			return nil, nil, err
		}
	}
	if err := r.configure(7, shards); err != nil {
		return nil, nil, err
	}
	if err := r.addDaemons("jhb-north", "jhb-north", "cpt-central", "cpt-central", "dbn-coast", "dbn-coast"); err != nil {
		return nil, nil, err
	}
	c = r.newClients()
	for _, d := range r.daemons {
		c.run(d, "/search/", time.Second, 40*time.Millisecond)
	}
	return second, c, nil
}

// readers lists the daemons that have read from the store in the last second.
func (r *rig) readers() []*daemon {
	before := make(map[*daemon]int64)
	for _, d := range r.daemons {
		before[d] = d.proxy.sent.Load()
	}
	time.Sleep(watchSpan)
	var list []*daemon
	for _, d := range r.daemons {
		const callBytes, calls = 100, 2
		if d.proxy.sent.Load()-before[d] >= calls*callBytes {
			r.note("%s reads the store", d.name)
			list = append(list, d)
		}
	}
	return list
}

// judgeDrain reports whether a request reached a server that leaves later than the bound, sent later than
// that by a client, taken from it and sent on by daemons without disruption.
func (r *rig) judgeDrain(c *clients, left map[*server]time.Time, calm func(*daemon) bool) bool {
	broken := 0
	for s, at := range left {
		s.mu.Lock()
		arrivals := slices.Clone(s.arrivals)
		s.mu.Unlock()
		for _, a := range arrivals {
			taken := c.of(a.request)
			if taken == nil || a.from == nil || a.at.Before(at) {
				continue
			}
			late := a.at.Sub(at) > drainBound && taken.at.Sub(at) > drainBound && calm(taken.daemon) && calm(a.from)
			if late {
				broken++
			}
			r.note("request %s, sent to %s %.3f s after %s had left, reached it from %s %.3f s after that; late: %v", a.request,
				taken.daemon.name, taken.at.Sub(at).Seconds(), s.ID, a.from.name, a.at.Sub(at).Seconds(), late)
		}
	}
	r.note("%d requests reached servers later than %s after these had left", broken, drainBound)
	return broken > 0
}
