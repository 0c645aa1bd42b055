package prober

import (
	"math/bits"
	"slices"
	"time"

	"almondstep"
)

const (
	// rumorBytes bounds the rumors in one digest.
	rumorBytes = 600
	// rumorRounds times log2 of the number of daemons is how often a rumor is sent.
	rumorRounds = 3
	// rumorQueueMax bounds the queue; beyond it the most told rumor is dropped.
	rumorQueueMax = 4096
	// pushFanout is the number of daemons that news is pushed to at once.
	pushFanout = 4
	// pushBurst and pushEvery bound the pushes of one daemon.
	pushBurst = 2
	pushEvery = time.Second
)

// rumorQueue holds the rumors still to be told, the least told first.
type rumorQueue struct {
	items []*queued
}

type queued struct {
	rumor almondstep.Rumor
	told  int
}

// pusher bounds the eager pushes with a token bucket.
type pusher struct {
	wanted bool
	tokens int
	refill almondstep.Instant
}

// Spread tells a rumor with the next digests; eager news is pushed at once.
func (p *Prober) Spread(r almondstep.Rumor, eager bool) {
	p.queue.add(r)
	if eager {
		p.Push()
	}
}

// Push sends a digest to a few daemons with the next tick.
func (p *Prober) Push() { p.push.wanted = true }

func (q *rumorQueue) add(r almondstep.Rumor) {
	q.items = slices.DeleteFunc(q.items, func(o *queued) bool { return sameSubject(&o.rumor, &r) })
	if len(q.items) >= rumorQueueMax {
		q.items = q.items[:rumorQueueMax-1]
	}
	q.items = slices.Insert(q.items, 0, &queued{rumor: r})
}

// dropAccusations forgets the suspicions and deaths still to be told.
func (q *rumorQueue) dropAccusations() {
	q.items = slices.DeleteFunc(q.items, func(o *queued) bool {
		m := o.rumor.Member
		return o.rumor.Kind == almondstep.RumorMember && (m == almondstep.MemberSuspect || m == almondstep.MemberDead)
	})
}

func sameSubject(a, b *almondstep.Rumor) bool {
	return a.Kind == b.Kind && a.Daemon == b.Daemon && a.Upstream == b.Upstream && a.Fingerprint == b.Fingerprint
}

// take gives the least told rumors that fit, and drops those told often enough.
func (q *rumorQueue) take(limit int) []almondstep.Rumor {
	var rumors []almondstep.Rumor
	left := rumorBytes
	for _, o := range q.items {
		n := rumorSize(&o.rumor)
		if n > left {
			break
		}
		left -= n
		o.told++
		rumors = append(rumors, o.rumor)
	}
	if len(rumors) == 0 {
		return nil
	}
	q.items = slices.DeleteFunc(q.items, func(o *queued) bool { return o.told >= limit })
	slices.SortStableFunc(q.items, func(a, b *queued) int { return a.told - b.told })
	return rumors
}

// rumorSize estimates a rumor's encoded size.
func rumorSize(r *almondstep.Rumor) int {
	const fixed = 24
	return fixed + len(r.Daemon) + len(r.Addr) + len(r.Zone) + len(r.Upstream) + len(r.Boot)
}

// tellLimit is how often a rumor is told.
func (p *Prober) tellLimit() int {
	return rumorRounds * bits.Len(uint(len(p.all)+1))
}

// pushNews probes a few random live daemons if there is news to be pushed.
func (p *Prober) pushNews(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if now >= p.push.refill {
		p.push.refill = now.Add(pushEvery)
		p.push.tokens = min(p.push.tokens+1, pushBurst)
	}
	if !p.push.wanted || p.push.tokens == 0 {
		return out
	}
	p.push.wanted = false
	p.push.tokens--
	for _, m := range p.pick(pushFanout, func(m *member) bool { return m.state == almondstep.MemberAlive && !m.probe.open }) {
		out = p.send(now, m, false, out)
	}
	return out
}

// pick draws up to n members that accept admits.
func (p *Prober) pick(n int, accept func(*member) bool) []*member {
	var picked []*member
	if len(p.all) == 0 {
		return nil
	}
	start := p.rng.below(len(p.all))
	stride := p.coprimeStride()
	for i := 0; i < len(p.all) && len(picked) < n; i++ {
		m := p.all[(start+i*stride)%len(p.all)]
		if accept(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// coprimeStride draws a step that visits every member once.
func (p *Prober) coprimeStride() int {
	n := len(p.all)
	s := 1 + p.rng.below(n)
	for gcd(s, n) != 1 {
		s++
	}
	return s
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
