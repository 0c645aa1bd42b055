//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// coldPerSecond is the configured rate that a cold server takes. coldFactor and coldSlack are
	// the bounds of the settings.
	coldPerSecond = 5
	coldFactor    = 1.5
	coldSlack     = 5
	// coldTime is how long a server is cold.
	coldTime = 3 * time.Second
	// coldNotice is how long after the store has its entry a server that is cold again isn't
	// judged; the rule itself has no such time.
	coldNotice = time.Second
	// coldCrash is the number of requests in a second, well above coldPerSecond, at which a cold
	// server crashes.
	coldCrash = 25
	// coldRestart is how long a server that has crashed is away.
	coldRestart = 3 * time.Second
	coldWork    = 60 * time.Millisecond
)

// coldAgain makes one of three servers cold again while it runs, and counts the requests that it
// gets in a second.
func coldAgain(s *scene) (bool, error) {
	const rate, limit, before, after = 120, 3 * time.Second, 8 * time.Second, 25 * time.Second
	for i, zone := range zones() {
		s.servers = append(s.servers, s.bookingServer(fmt.Sprintf("i-%d", i+1), zone))
	}
	err := s.begin(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "book", "Prefix": "/book/", "Kind": "non_idempotent", "TimeLimitMillis": limit.Milliseconds(), "AimMillis": 300,
			"Service": "ledger", "Attempts": 2,
		}},
		"Services": []map[string]any{{"Name": "ledger", "Connections": 48, "ColdSeconds": coldTime.Seconds(), "ColdPerSecond": coldPerSecond}},
	})
	if err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	sending.Go(func() { s.client.sendSteadily(s.machines, rate, http.MethodPost, "/book/", limit, before+after) })
	time.Sleep(before)
	victim := s.servers[0]
	span := coldSpan{server: victim, from: s.record.now(), until: s.record.now() + coldTime}
	if s.trouble {
		span = s.coolDown(victim)
	}
	sending.Wait()
	outcomes := s.client.wait()
	broken := s.judgeCold(span)
	for _, later := range s.servers[len(zones()):] {
		s.say("for comparison: %s, which started cold, got at most %d requests in a second while cold", later.ID, later.most(later.startedAt(s), later.startedAt(s)+coldTime))
	}
	s.countFailed(outcomes)
	return broken, nil
}

// bookingServer returns a server of the service.
func (s *scene) bookingServer(id, zone string) *server {
	return &server{
		names: s.names, record: s.record, store: s.store, ID: id, Service: "ledger", Zone: zone, Slots: 6, Queue: 24,
		Work: func() time.Duration { return coldWork },
	}
}

// coldSpan is the time for which a server was cold.
type coldSpan struct {
	server      *server
	from, until time.Duration
}

// coolDown makes a server cold again, which crashes if it gets far too many requests later than
// coldNotice, and starts again cold.
func (s *scene) coolDown(victim *server) coldSpan {
	var once sync.Once
	span := coldSpan{server: victim, from: s.record.now(), until: s.record.now() + coldTime}
	victim.OnArrival = func(at time.Duration) {
		if at < span.from+coldNotice || at >= span.until {
			return
		}
		recent := victim.arrivedBetween(max(span.from+coldNotice, at-time.Second), at+1)
		if len(recent) >= coldCrash {
			once.Do(func() { go s.crashCold(victim) })
		}
	}
	victim.becomeCold(coldTime)
	s.say("at %.3f s %s is cold again for %v; the store has its entry", span.from.Seconds(), victim.ID, coldTime)
	return span
}

// crashCold crashes a cold server and starts it again under a new id.
func (s *scene) crashCold(victim *server) {
	victim.crash()
	s.say("at %.3f s the cold server %s crashes: %d requests in a second", s.record.now().Seconds(), victim.ID, coldCrash)
	time.Sleep(coldRestart)
	s.store.Remove(s.names.ServerPrefix + victim.ID)
	again := s.bookingServer(victim.ID+"b", victim.Zone)
	again.coldUntil = time.Now().Add(coldTime)
	if again.start() == nil {
		s.servers = append(s.servers, again)
	}
}

// startedAt is when a server started, on the record's clock.
func (s *server) startedAt(sc *scene) time.Duration { return s.born.Sub(sc.record.began) }

// most is the most requests in any second of a span.
func (s *server) most(from, to time.Duration) int {
	most, all := 0, s.arrivedBetween(from, to)
	for i := range all {
		n := 0
		for _, a := range all[i:] {
			if a.at < all[i].at+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// judgeCold reports whether the server got more requests in a second than a cold one may get.
func (s *scene) judgeCold(span coldSpan) bool {
	const bound = coldPerSecond*coldFactor + coldSlack
	if !s.trouble {
		s.say("no server was cold")
		return false
	}
	most := span.server.most(span.from+coldNotice, span.until)
	s.say("cold server %s: at most %d requests in a second, later than %v after its entry was written; the bound is %.1f", span.server.ID, most, coldNotice, float64(bound))
	return float64(most) > bound
}

// countFailed says how many requests had no success.
func (s *scene) countFailed(outcomes map[string]outcome) {
	failed := make(map[int]int)
	for _, o := range outcomes {
		if o.status != http.StatusOK {
			failed[o.status]++
		}
	}
	s.say("%d requests, without success by status (0: no answer): %v", len(outcomes), failed)
}
