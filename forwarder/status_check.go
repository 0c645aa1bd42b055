package forwarder

import (
	"maps"
	"strconv"
	"time"

	"almondstep"
)

const (
	// minCheckInterval is the least time between two status checks of an upstream by this daemon, and
	// maxChecksPerSecond the most checks of it by all daemons together.
	minCheckInterval   = time.Second
	maxChecksPerSecond = 10
	// checkMethod is the method of a status check, and checkTimeout bounds it.
	checkMethod  = "GET"
	checkTimeout = 500 * time.Millisecond
)

// statusChecks holds the status checks of upstreams. They are made beside calls while the registry
// doesn't answer, and only of upstreams that are limited while they are cold: an upstream may become
// cold at any moment, and says so in its entry and in its answers to checks only.
type statusChecks struct {
	pending map[almondstep.CallID]*almondstep.Upstream
	// sentAt has when each upstream was last checked.
	sentAt map[almondstep.UpstreamID]almondstep.Instant
}

// due reports whether an upstream is to be checked now, by one of several daemons.
func (c *statusChecks) due(now almondstep.Instant, u almondstep.UpstreamID, daemons int) bool {
	interval := max(minCheckInterval, time.Duration(daemons)*time.Second/maxChecksPerSecond)
	last, checked := c.sentAt[u]
	return !checked || now.Sub(last) >= interval
}

func (c *statusChecks) add(now almondstep.Instant, u *almondstep.Upstream, call almondstep.CallID) {
	if c.pending == nil {
		c.pending = make(map[almondstep.CallID]*almondstep.Upstream)
		c.sentAt = make(map[almondstep.UpstreamID]almondstep.Instant)
	}
	c.pending[call] = u
	c.sentAt[u.ID] = now
}

// retain forgets the upstreams that are no longer listed.
func (c *statusChecks) retain(d *almondstep.Directory) {
	if len(c.sentAt) == 0 {
		return
	}
	listed := d.UpstreamsByID()
	maps.DeleteFunc(c.sentAt, func(id almondstep.UpstreamID, _ almondstep.Instant) bool { return listed[id] == nil })
}

// checkStatus sends a status check to an upstream that a call of r goes to, if one is due.
func (f *Forwarder) checkStatus(now almondstep.Instant, r *request, u *almondstep.Upstream, out *[]almondstep.Effect) {
	if f.view.DirectoryFresh(now) {
		return
	}
	service, _ := r.directory.Routes().Service(u.Service)
	if service.ColdPerSecond <= 0 || service.HealthPath == "" || !f.checks.due(now, u.ID, r.directory.Daemons()) {
		return
	}
	f.lastCall++
	f.checks.add(now, u, f.lastCall)
	*out = append(*out, &almondstep.SendCall{
		Call:     f.lastCall,
		Upstream: u,
		Request: &almondstep.RequestMessage{
			Key: "check-" + strconv.FormatUint(uint64(f.lastCall), 10), Method: checkMethod,
			Target: service.HealthPath, Path: service.HealthPath, Host: string(u.Addr),
		},
		Timeout:     checkTimeout,
		UsefulFor:   checkTimeout,
		Connections: f.connections(r, u.Service),
		StatusCheck: true,
	})
}

// checkEnded takes over what an upstream says in its answer to a status check.
func (f *Forwarder) checkEnded(now almondstep.Instant, u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	delete(f.checks.pending, e.Call)
	if e.ColdFor > 0 && !f.picker.Cold(now, u) {
		out = append(out, &almondstep.Report{
			Level: almondstep.ReportInfo, Message: "upstream is cold again", Subject: string(u.ID),
			Cause: "for " + e.ColdFor.String() + ", by its status check",
		})
	}
	f.picker.Checked(now, u, e)
	if e.Leaving {
		out = f.addLeaving(now, u.Run(), "for its status", out)
	}
	return f.observePause(now, "for its status", u, e, out)
}
