//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	restRate    = 90
	restServers = 3
	restLimit   = 3 * time.Second
	restWork    = 60 * time.Millisecond
	// restSeconds is what the server states in Retry-After, and restTime how long it turns requests
	// away.
	restSeconds = 5
	restTime    = 9 * time.Second
	// restNotice is the time after the first such answer to a machine from which on requests from it
	// count; restAllowed of them are allowed.
	restNotice  = 500 * time.Millisecond
	restAllowed = 2
)

// turnedAway is a request that a server has turned away.
type turnedAway struct {
	request string
	at      time.Duration
}

// serverAtRest lets one of three servers turn all requests away with 503 and Retry-After, and counts
// the requests that it gets from each machine in that time.
func serverAtRest(s *scene) (bool, error) {
	var atRest atomic.Bool
	var mu sync.Mutex
	var turned []turnedAway
	for i, zone := range zones() {
		server := &server{
			names: s.names, record: s.record, store: s.store, ID: fmt.Sprintf("i-%d", i+1), Service: "ledger", Zone: zone,
			Slots: 6, Queue: 24, Work: func() time.Duration { return restWork },
		}
		if i < restServers {
			server.Turns = func(w http.ResponseWriter) bool {
				if !atRest.Load() {
					return false
				}
				id := w.Header().Get(s.names.RequestID)
				at := s.record.addf("%s turned away by %s for %d s", id, server.ID, restSeconds)
				mu.Lock()
				turned = append(turned, turnedAway{request: id, at: at})
				mu.Unlock()
				w.Header().Set(s.names.NotRun, "1")
				w.Header().Set(s.names.RetryAfter, fmt.Sprint(restSeconds))
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}
		s.servers = append(s.servers, server)
	}
	err := s.begin(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "report", "Prefix": "/report/", "Kind": "idempotent", "TimeLimitMillis": restLimit.Milliseconds(), "AimMillis": 300,
			"Service": "ledger", "Attempts": 2,
		}},
		"Services": []map[string]any{{"Name": "ledger", "Connections": 48, "ColdSeconds": 3, "ColdPerSecond": 0}},
	})
	if err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		s.client.sendSteadily(s.machines, restRate, http.MethodGet, "/report/", restLimit, 5*time.Second+restTime+3*time.Second)
	})
	time.Sleep(5 * time.Second)
	if s.trouble {
		atRest.Store(true)
		time.AfterFunc(restTime, func() { atRest.Store(false) })
	}
	sending.Wait()
	s.countFailed(s.client.wait())
	return s.judgeRest(turned), nil
}

// judgeRest reports whether a machine has sent the server more requests than it may while the server
// wants none.
func (s *scene) judgeRest(turned []turnedAway) bool {
	first := make(map[string]time.Duration)
	count := make(map[string]int)
	for _, t := range turned {
		m := s.client.machines[t.request]
		if _, known := first[m]; !known {
			first[m] = t.at
		}
		if since := t.at - first[m]; since > restNotice && since < restSeconds*time.Second {
			count[m]++
		}
	}
	broken := false
	for _, m := range s.machines {
		if at, known := first[m.name]; known {
			s.say("%s: turned away for %d s at %.3f s; later than %v after that and before the end of that time the server gets %d requests from it", m.name, restSeconds, at.Seconds(), restNotice, count[m.name])
		}
		broken = broken || count[m.name] > restAllowed
	}
	return broken
}
