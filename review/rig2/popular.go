//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// reportRate and statusRate are the requests per second on the first route and on the one that
	// is added later.
	reportRate = 40
	statusRate = 180
	// popularLimit is the clients' time limit.
	popularLimit = 3 * time.Second
	popularWork  = 60 * time.Millisecond
	// allDown is how long all servers of the service are down.
	allDown = 3100 * time.Millisecond
	// settleTime is how long after their return the requests are counted, and judgeTime for how
	// long.
	settleTime = 12 * time.Second
	judgeTime  = 15 * time.Second
	// leastRequests and leastShare are those of the rule.
	leastRequests = 20
	leastShare    = 0.25
)

// popularRequest lets all servers of a service crash once while many clients send the same
// request, and counts how often it is served after their return.
func popularRequest(s *scene) (bool, error) {
	for i, zone := range zones() {
		s.servers = append(s.servers, s.reportServer(fmt.Sprintf("i-%d", i+1), zone))
	}
	first := map[string]any{
		"Name": "report", "Prefix": "/report/", "Kind": "idempotent", "TimeLimitMillis": popularLimit.Milliseconds(), "AimMillis": 300,
		"Service": "ledger", "Attempts": 2,
	}
	later := map[string]any{
		"Name": "status", "Prefix": "/status/", "Kind": "idempotent", "TimeLimitMillis": popularLimit.Milliseconds(), "AimMillis": 300,
		"Service": "ledger", "Attempts": 2,
	}
	services := []map[string]any{{"Name": "ledger", "Connections": 48, "ColdSeconds": 3, "ColdPerSecond": 0}}
	if err := s.begin(map[string]any{"Version": 1, "Routes": []map[string]any{first}, "Services": services}); err != nil {
		return false, err
	}
	s.configure(map[string]any{"Version": 4, "Routes": []map[string]any{first, later}, "Services": services, "Host": host})
	time.Sleep(5 * time.Second)

	const before = 8 * time.Second
	total := before + allDown + settleTime + judgeTime
	var sending sync.WaitGroup
	sending.Go(func() {
		s.client.sendSteadily(s.machines, reportRate, http.MethodGet, "/report/", popularLimit, total)
	})
	sending.Go(func() { s.client.repeatSteadily(s.machines, statusRate, "/status/window", popularLimit, total) })
	time.Sleep(before)
	crashedAt := s.record.now()
	if s.trouble {
		s.crashAll()
	} else {
		time.Sleep(allDown)
	}
	from := s.record.now() + settleTime
	sending.Wait()
	s.client.wait()
	s.sayShare("before the crash", 0, crashedAt)
	return s.judgeLater(from, from+judgeTime), nil
}

// reportServer returns a server of the service.
func (s *scene) reportServer(id, zone string) *server {
	return &server{
		names: s.names, record: s.record, store: s.store, ID: id, Service: "ledger", Zone: zone, Slots: 6, Queue: 24,
		Work: func() time.Duration { return popularWork },
	}
}

// crashAll crashes all servers at once, and starts as many new ones after allDown.
func (s *scene) crashAll() {
	old := s.servers
	s.say("at %.3f s all servers of the service crash, for %v", s.record.now().Seconds(), allDown)
	for _, server := range old {
		server.crash()
	}
	time.Sleep(allDown)
	for _, server := range old {
		s.store.Remove(s.names.ServerPrefix + server.ID)
		again := s.reportServer(server.ID+"b", server.Zone)
		if again.start() == nil {
			s.servers = append(s.servers, again)
		}
	}
	s.say("at %.3f s all servers are back", s.record.now().Seconds())
}

// shares returns the numbers of requests that were sent in a span, and of those served, on the first
// route and on the later one.
func (s *scene) shares(from, to time.Duration) (first, firstServed, later, laterServed int) {
	for id, o := range s.client.outcomes {
		if o.sentAt < from || o.sentAt >= to {
			continue
		}
		served := 0
		if o.status == http.StatusOK {
			served = 1
		}
		if strings.HasPrefix(s.client.paths[id], "/status/") {
			later, laterServed = later+1, laterServed+served
			continue
		}
		first, firstServed = first+1, firstServed+served
	}
	return first, firstServed, later, laterServed
}

func (s *scene) sayShare(when string, from, to time.Duration) {
	first, firstServed, later, laterServed := s.shares(from, to)
	s.say("%s: %d of %d requests served on the first route, %d of %d on the later one", when, firstServed, first, laterServed, later)
}

// judgeLater reports whether the requests on the later route were served less than a quarter as
// often as those on the first one.
func (s *scene) judgeLater(from, to time.Duration) bool {
	s.sayShare(fmt.Sprintf("from %.1f s to %.1f s", from.Seconds(), to.Seconds()), from, to)
	first, firstServed, later, laterServed := s.shares(from, to)
	if first == 0 || later < leastRequests {
		return false
	}
	return float64(laterServed)/float64(later) < leastShare*float64(firstServed)/float64(first)
}
