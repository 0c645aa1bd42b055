//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests, each over a new connection, and records the answers.
type client struct {
	names  *wireNames
	record *record
	host   string

	http     http.Client
	last     atomic.Int64
	mu       sync.Mutex
	outcomes map[string]outcome
	// paths has the path of each request.
	paths map[string]string
	// machines has the name of the machine to which each request was sent.
	machines map[string]string
	open     sync.WaitGroup
}

// outcome is how a request ended for its client.
type outcome struct {
	sentAt, endedAt time.Duration
	// status is 0 if there was no complete answer.
	status int
	stamp  string
}

func newClient(names *wireNames, r *record, host string) *client {
	return &client{
		names: names, record: r, host: host, outcomes: make(map[string]outcome), paths: make(map[string]string), machines: make(map[string]string),
		http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// send sends one request in the background and returns its id.
func (c *client) send(m *machine, method, path string, limit time.Duration) string {
	id := fmt.Sprintf("r%05d", c.last.Add(1))
	c.open.Go(func() {
		o := outcome{sentAt: c.record.addf("%s sent to %s: %s %s", id, m.name, method, path)}
		o.status, o.stamp = c.exchange(m, id, method, path, limit)
		o.endedAt = c.record.addf("%s answered: %d", id, o.status)
		c.mu.Lock()
		c.outcomes[id], c.paths[id], c.machines[id] = o, path, m.name
		c.mu.Unlock()
	})
	return id
}

func (c *client) exchange(m *machine, id, method, path string, limit time.Duration) (status int, proof string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = c.host
	r.Header.Set(c.names.RequestID, id)
	r.Header.Set(c.names.TimeLimit, strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get(c.names.Stamp)
}

// sendSteadily sends requests at a rate to the machines in turn, until the time is over.
func (c *client) sendSteadily(all []*machine, perSecond int, method, path string, limit, span time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(span)
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-ticker.C:
			c.send(all[i%len(all)], method, fmt.Sprintf("%s%d", path, i), limit)
		}
	}
}

// repeatSteadily sends the same request at a rate to the machines in turn, until the time is over.
func (c *client) repeatSteadily(all []*machine, perSecond int, path string, limit, span time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(span)
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-ticker.C:
			c.send(all[i%len(all)], http.MethodGet, path, limit)
		}
	}
}

// wait waits until all requests have ended, and returns how.
func (c *client) wait() map[string]outcome {
	c.open.Wait()
	return c.outcomes
}
