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
	fetchRate  = 140
	fetchWork  = 200 * time.Millisecond
	// Of fetchServers servers, shedServers turn shedShare of their requests away for shedTime, and
	// slowServers work slowFactor times as long for slowTime, from slowAfter later on.
	fetchServers = 7
	shedServers  = 5
	shedShare    = 0.6
	shedTime     = 9 * time.Second
	slowServers  = 2
	slowFactor   = 12
	slowTime     = 8 * time.Second
	slowAfter    = 7 * time.Second
	// drainAfter is when, after servers became slow, one of them announces that it is
	// draining. drainTime is the bound of the settings. The server serves on for serveOn at least and
	// maxServeOn at most, and ends exitDelay after the next request began to run.
	drainAfter = time.Second
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

// leavingServer lets one of seven servers drain and leave while others turn requests away or are
// slow, and counts the requests that reach it later than it may get any.
func leavingServer(s *scene) (bool, error) {
	var shedding, slow atomic.Bool
	for i := range fetchServers {
		s.servers = append(s.servers, &server{
			names: s.names, record: s.record, store: s.store, ID: fmt.Sprintf("i-%d", i+1), Service: "calibration", Zone: zones()[i%len(zones())],
			Slots: 6, Queue: 24,
			Sheds: func() bool { return i < shedServers && shedding.Load() && rand.Float64() < shedShare },
			Work: func() time.Duration {
				if slow.Load() && i >= fetchServers-1-slowServers && i < fetchServers-1 {
					return slowFactor * fetchWork
				}
				return fetchWork
			},
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
		shedding.Store(true)
		time.AfterFunc(shedTime, func() { shedding.Store(false) })
		s.say("at %.3f s %d of %d servers begin to turn %.0f%% of their requests away, for %v", s.record.now().Seconds(), shedServers, fetchServers, 100*shedShare, shedTime)
	}
	time.Sleep(slowAfter)
	if s.trouble {
		slow.Store(true)
		time.AfterFunc(slowTime, func() { slow.Store(false) })
		s.say("at %.3f s %d of %d servers begin to work %d times as long, for %v", s.record.now().Seconds(), slowServers, fetchServers, slowFactor, slowTime)
	}
	time.Sleep(drainAfter)
	leaving := s.servers[fetchServers-1]
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
