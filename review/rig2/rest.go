//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// restRate is the usual requests per second, and burstRate those of a burst of burstTime: 1.7
	// times as many. The three servers have room for 300.
	restRate  = 240
	burstRate = restRate * 17 / 10
	burstTime = 3 * time.Second
	restLimit = 3 * time.Second
	restWork  = 60 * time.Millisecond
	// restSeconds is what a server states in Retry-After when it is full.
	restSeconds = 2
	// restNotice is the time after such an answer to a machine from which on requests from it
	// count; restAllowed of them are allowed.
	restNotice  = 500 * time.Millisecond
	restAllowed = 2
)

// seen is a request that has reached a server.
type seen struct {
	request string
	at      time.Duration
}

// rests collects what each server has turned away.
type rests struct {
	mu     sync.Mutex
	turned map[string][]seen
}

func (r *rests) add(server, id string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turned[server] = append(r.turned[server], seen{request: id, at: at})
}

// serverAtRest has servers that are full in a burst turn requests away with 503 and Retry-After, and
// counts the requests that each gets from each machine in the time that it has stated.
func serverAtRest(s *scene) (bool, error) {
	all := &rests{turned: make(map[string][]seen)}
	for i, zone := range zones() {
		id := fmt.Sprintf("i-%d", i+1)
		s.servers = append(s.servers, &server{
			names: s.names, record: s.record, store: s.store, ID: id, Service: "ledger", Zone: zone,
			Slots: 6, Queue: 24, Work: func() time.Duration { return restWork },
			RestSeconds: restSeconds,
			OnRest:      func(request string, at time.Duration) { all.add(id, request, at) },
		})
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
	const before, after = 6 * time.Second, 5 * time.Second
	var sending sync.WaitGroup
	sending.Go(func() {
		s.client.sendSteadily(s.machines, restRate, http.MethodGet, "/report/", restLimit, before+burstTime+after)
	})
	time.Sleep(before)
	if s.trouble {
		s.say("at %.3f s a burst begins: %d instead of %d requests a second, for %v", s.record.now().Seconds(), burstRate, restRate, burstTime)
		sending.Go(func() {
			s.client.sendSteadily(s.machines, burstRate-restRate, http.MethodGet, "/report/more", restLimit, burstTime)
		})
	}
	sending.Wait()
	s.countFailed(s.client.wait())
	broken := false
	for _, server := range s.servers {
		broken = s.judgeRest(server, all.turned[server.ID]) || broken
	}
	return broken, nil
}

// judgeRest reports whether a machine has sent a server more requests than it may in the time that
// the server has stated to it. It takes the answer to a machine after which there were most.
func (s *scene) judgeRest(server *server, turned []seen) bool {
	reached := slices.Clone(turned)
	for _, a := range server.arrivedBetween(0, time.Hour) {
		reached = append(reached, seen(a))
	}
	most, machine := 0, ""
	for _, t := range turned {
		n := 0
		for _, a := range reached {
			since := a.at - t.at
			if s.client.machines[a.request] == s.client.machines[t.request] && since > restNotice && since < restSeconds*time.Second {
				n++
			}
		}
		if n > most {
			most, machine = n, s.client.machines[t.request]
		}
	}
	s.say("%s turned away %d requests for %d s; between %v after such an answer to a machine and the end of that time it got up to %d requests from it (%s); %d are allowed",
		server.ID, len(turned), restSeconds, restNotice, most, machine, restAllowed)
	return most > restAllowed
}
