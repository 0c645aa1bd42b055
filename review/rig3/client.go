//go:build review3

package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to daemons at a steady rate, each on a kept connection.
type clients struct {
	rig  *rig
	next atomic.Int64
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	sent     map[string]*sent
	statuses map[string]int
}

// sent is a request: when and to which daemon it was sent.
type sent struct {
	at     time.Time
	daemon *daemon
}

func (r *rig) newClients() *clients {
	return &clients{rig: r, stop: make(chan struct{}), sent: make(map[string]*sent), statuses: make(map[string]int)}
}

// run sends requests for a path to a daemon until the clients are stopped.
func (c *clients) run(d *daemon, path string, deadline, interval time.Duration) {
	c.wg.Go(func() {
		h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: deadline}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			c.wg.Go(func() { c.send(h, d, path, deadline) })
		}
	})
}

func (c *clients) send(h *http.Client, d *daemon, path string, deadline time.Duration) {
	id := fmt.Sprintf("q%08d", c.next.Add(1))
	req, err := http.NewRequest(http.MethodGet, "http://"+d.address(frontPort)+path+id, nil)
	if err != nil {
		panic(err)
	}
	req.Host = "lots.example"
	req.Header.Set(c.rig.names.RequestID, id)
	req.Header.Set(c.rig.names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	c.mu.Lock()
	c.sent[id] = &sent{at: time.Now(), daemon: d}
	c.mu.Unlock()
	resp, err := h.Do(req)
	status := "no answer"
	if err == nil {
		status = fmt.Sprint(resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[d.name+": "+status]++
}

// end stops the clients and writes how their requests were answered.
func (c *clients) end() {
	close(c.stop)
	c.wg.Wait()
	for _, name := range slices.Sorted(maps.Keys(c.statuses)) {
		c.rig.note("answers of %s: %d", name, c.statuses[name])
	}
}

// of returns when and where a request was sent.
func (c *clients) of(id string) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
