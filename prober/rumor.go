package prober

import (
	"math/bits"
	"slices"
	"time"

	"almondstep"
)

const (
	// maxRumorBytes bounds the rumors in one digest.
	maxRumorBytes = 600
	// rumorRounds times log2 of the number of daemons is how often a rumor is sent.
	rumorRounds = 3
	// maxQueuedRumors bounds the queue; beyond it the rumor sent most often is
	// dropped.
	maxQueuedRumors = 4096
	// pushFanout is the number of daemons that one push goes to.
	pushFanout = 4
	// pushBurst is the number of pushes that may follow each other at once, and
	// pushInterval the time after which one more is allowed.
	pushBurst    = 2
	pushInterval = time.Second
)

// rumorQueue contains the rumors to be sent, those sent least often first.
type rumorQueue struct {
	items []*queuedRumor
}

type queuedRumor struct {
	rumor     almondstep.Rumor
	sendCount int
}

// pusher limits pushes with a token bucket.
type pusher struct {
	wanted bool
	tokens int
	// refill is when the next token is added.
	refill almondstep.Instant
}

// Spread sends a rumor with the next digests; with push, a push is requested too.
func (p *Prober) Spread(r almondstep.Rumor, push bool) {
	p.queue.add(r)
	if push {
		p.Push()
	}
}

// Push requests a push: at the next tick a digest is sent to a few daemons.
func (p *Prober) Push() { p.push.wanted = true }

func (q *rumorQueue) add(r almondstep.Rumor) {
	q.items = slices.DeleteFunc(q.items, func(o *queuedRumor) bool { return sameSubject(&o.rumor, &r) })
	if len(q.items) >= maxQueuedRumors {
		q.items = q.items[:maxQueuedRumors-1]
	}
	q.items = slices.Insert(q.items, 0, &queuedRumor{rumor: r})
}

// dropSuspicions removes the rumors of suspect and dead members.
func (q *rumorQueue) dropSuspicions() {
	q.items = slices.DeleteFunc(q.items, func(o *queuedRumor) bool {
		m := o.rumor.Member
		return o.rumor.Kind == almondstep.RumorMember && (m == almondstep.MemberSuspect || m == almondstep.MemberDead)
	})
}

func sameSubject(a, b *almondstep.Rumor) bool {
	return a.Kind == b.Kind && a.Daemon == b.Daemon && a.Upstream == b.Upstream && a.Fingerprint == b.Fingerprint
}

// take returns the rumors sent least often that fit into a digest, and removes
// those that have been sent limit times.
func (q *rumorQueue) take(limit int) []almondstep.Rumor {
	var rumors []almondstep.Rumor
	left := maxRumorBytes
	for _, o := range q.items {
		n := rumorSize(&o.rumor)
		if n > left {
			break
		}
		left -= n
		o.sendCount++
		rumors = append(rumors, o.rumor)
	}
	if len(rumors) == 0 {
		return nil
	}
	q.items = slices.DeleteFunc(q.items, func(o *queuedRumor) bool { return o.sendCount >= limit })
	slices.SortStableFunc(q.items, func(a, b *queuedRumor) int { return a.sendCount - b.sendCount })
	return rumors
}

// rumorSize estimates the encoded size of a rumor.
func rumorSize(r *almondstep.Rumor) int {
	const fixed = 24
	return fixed + len(r.Daemon) + len(r.Addr) + len(r.Zone) + len(r.Upstream) + len(r.Boot)
}

// sendLimit returns how often a rumor is sent.
func (p *Prober) sendLimit() int {
	return rumorRounds * bits.Len(uint(len(p.all)+1))
}

// pushRumors probes a few random live daemons if a push was requested.
func (p *Prober) pushRumors(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if now >= p.push.refill {
		p.push.refill = now.Add(pushInterval)
		p.push.tokens = min(p.push.tokens+1, pushBurst)
	}
	if !p.push.wanted || p.push.tokens == 0 {
		return out
	}
	p.push.wanted = false
	p.push.tokens--
	for _, m := range p.pick(pushFanout, func(m *member) bool { return m.state == almondstep.MemberAlive && !m.probe.open }) {
		out = p.sendProbe(now, m, false, out)
	}
	return out
}

// pick selects up to n random members for which accept returns true.
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

// coprimeStride returns a random stride that visits every member once.
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
