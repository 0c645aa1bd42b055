//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fetchLimit is the clients' time limit and the route's.
	fetchLimit = 10 * time.Second
	fetchAim   = time.Second
	fetchRate  = 110
	fetchWork  = 200 * time.Millisecond
	// fetchServers is the number of servers, of which hangServers leave hangShare of their requests
	// unanswered for hangTime.
	fetchServers = 7
	hangServers  = 5
	hangShare    = 0.6
	hangTime     = 9 * time.Second
	// drainAfter is when, after the servers begin to hang, one of them announces that it is
	// draining. drainTime is the bound of the settings. The server serves on for serveOn at least and
	// maxServeOn at most, and ends exitDelay after the next request began to run.
	drainAfter = 6 * time.Second
	drainTime  = 3 * time.Second
	serveOn    = 3 * time.Second
	maxServeOn = 6 * time.Second
	exitDelay  = 50 * time.Millisecond
)

// drainAndEnd lets a server announce that it is draining, serve on and end. It returns when the store
// had the server's entry.
func (s *scene) drainAndEnd(leaving *server) time.Duration {
	leaving.drain()
	drainedAt := s.record.now()
	s.say("at %.3f s %s is draining; the store has its entry", drainedAt.Seconds(), leaving.ID)
	time.Sleep(drainTime + serveOn)
	began := make(chan struct{}, 1)
	leaving.onNextRun(func() { began <- struct{}{} })
	select {
	case <-began:
		time.Sleep(exitDelay)
	case <-time.After(maxServeOn - serveOn):
	}
	leaving.crash()
	s.store.Remove(s.names.ServerPrefix + leaving.ID)
	s.say("at %.3f s %s ends", s.record.now().Seconds(), leaving.ID)
	return drainedAt
}

// leavingServer lets one of seven servers drain and leave while five of them leave a part of their
// requests unanswered, and counts the requests that reach it later than it may get any.
func leavingServer(s *scene) (bool, error) {
	var hanging atomic.Bool
	for i := range fetchServers {
		s.servers = append(s.servers, &server{
			names: s.names, record: s.record, store: s.store, ID: fmt.Sprintf("i-%d", i+1), Service: "calibration", Zone: zones()[i%len(zones())],
			Slots: 6, Queue: 24, Work: func() time.Duration { return fetchWork },
			Hangs: func() bool { return i < hangServers && hanging.Load() && rand.Float64() < hangShare },
		})
	}
	err := s.begin(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "fetch", "Prefix": "/fetch/", "Kind": "idempotent", "TimeLimitMillis": fetchLimit.Milliseconds(), "AimMillis": fetchAim.Milliseconds(),
			"Service": "calibration", "Attempts": 2,
		}},
		"Services": []map[string]any{{"Name": "calibration", "Connections": 64, "ColdSeconds": 3, "ColdPerSecond": 0}},
	})
	if err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		s.client.sendSteadily(s.machines, fetchRate, http.MethodGet, "/fetch/", fetchLimit, 32*time.Second)
	})
	time.Sleep(6 * time.Second)
	if s.trouble {
		hanging.Store(true)
		time.AfterFunc(hangTime, func() { hanging.Store(false) })
		s.say("at %.3f s %d of %d servers begin to leave %.0f%% of their requests unanswered, for %v", s.record.now().Seconds(), hangServers, fetchServers, 100*hangShare, hangTime)
	}
	time.Sleep(drainAfter)
	leaving := s.servers[1]
	drainedAt := s.drainAndEnd(leaving)
	sending.Wait()
	outcomes := s.client.wait()
	late := leaving.arrivedBetween(drainedAt+drainTime, time.Hour)
	s.say("%d requests reach %s later than %v after the store has that it is draining", len(late), leaving.ID, drainTime)
	lost := 0
	const shown = 5
	for i, a := range late {
		if outcomes[a.request].status != http.StatusOK {
			lost++
		}
		if i < shown || outcomes[a.request].status != http.StatusOK {
			s.say("  %s, sent at %.3f s, reaches it at %.3f s, %.3f s after that; answered %d", a.request, outcomes[a.request].sentAt.Seconds(),
				a.at.Seconds(), (a.at - drainedAt).Seconds(), outcomes[a.request].status)
		}
	}
	s.say("%d of these had no success", lost)
	s.countFailed(outcomes)
	return len(late) > 0, nil
}
