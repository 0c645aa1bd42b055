package allocator_test

import (
	"slices"
	"time"

	"almondstep"
)

// reference is one token bucket for all daemons, without any surplus.
type reference struct {
	rate, burst, content float64
	at                   time.Duration
	admits               map[almondstep.QueryID]bool
}

func (r *reference) ask(now time.Duration, id almondstep.QueryID) {
	r.content = min(r.burst, r.content+r.rate*(now-r.at).Seconds())
	r.at = now
	if r.content >= 1 {
		r.content--
		r.admits[id] = true
	}
}

// ask asks for quota at a random daemon among the given ones, if there are any.
func (m *model) ask(o almondstep.OrganisationName, at []*node) {
	if len(at) == 0 {
		return
	}
	m.lastID++
	if m.reference != nil {
		m.reference.ask(m.now, m.lastID)
	}
	m.reduce(at[m.rng.IntN(len(at))], &almondstep.RequestQuota{ID: m.lastID, Organisation: o})
}

// load asks for an organisation's quota at random times, at a mean rate per second.
func (m *model) load(o almondstep.OrganisationName, rate float64, at func() []*node) {
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		m.ask(o, at())
		m.load(o, rate, at)
	})
}

// everywhere lists the daemons that run.
func (m *model) everywhere() []*node {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return n.down })
}

// mostInWindow returns the largest number of granted requests in any window.
func (m *model) mostInWindow(o almondstep.OrganisationName) int {
	most, first := 0, 0
	for i, at := range m.granted[o] {
		for m.granted[o][first] <= at-m.cfg.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
