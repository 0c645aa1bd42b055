// Package prober keeps a daemon's view of the other daemons: who lives, who
// vouches for this daemon, and who is gone for good.
//
// Two questions are answered with different care. Where work should be sent is
// answered fast and may be wrong for a moment: random probes, suspicion and
// rumors (member.go, probe.go, rumor.go). Whether this daemon alone may load an
// upstream is answered slowly and may never be wrong: witnesses that vouch for a
// limited time, and a verdict by a quorum of them (witness.go, vouch.go,
// verdict.go). README.md has the argument.
//
// For example, daemon b with deputy a, in a zone of three, after b has crashed:
//
//	0.0 s  b's last renewal reaches a and c
//	1.3 s  a probe of b fails, directly and through c: b is a suspect, and work
//	       for its upstreams goes to a, which sends one request at a time
//	5.3 s  a and c no longer vouch for b and say Gone: a has two of three votes
//	       and may use b's upstreams fully
package prober

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
	"almondstep/ranker"
)

// Times of the protocol.
const (
	// ProbeEvery is the time between two random probes.
	ProbeEvery = time.Second
	// ProbeTimeout bounds a direct probe.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout bounds a probe through another daemon.
	IndirectTimeout = 800 * time.Millisecond
	// SuspectFor is how long a suspect may refute before it counts as dead.
	SuspectFor = 3 * time.Second
	// DeadProbeEvery is the time between two probes of dead daemons, by which
	// the two sides of a healed partition find each other.
	DeadProbeEvery = 5 * time.Second
	// RenewEvery is the time between two renewals with a witness.
	RenewEvery = almondstep.WitnessTTL / 2
	// RetryEvery is the time between two renewals while the quorum is missing.
	RetryEvery = 500 * time.Millisecond
	// GoneMargin covers the last request of a daemon whose vouching has ended,
	// and clocks that run at different rates.
	GoneMargin = almondstep.ColdAttemptTimeout + 250*time.Millisecond
	// PatienceAfterPause is the gap between ticks after which this daemon, as a
	// witness, waits for renewals anew: it was paused, not the others.
	PatienceAfterPause = time.Second
)

// Config says who this daemon is.
type Config struct {
	Self almondstep.DaemonID
	Addr almondstep.Address
	Zone almondstep.ZoneName
	// Epoch is the first epoch, above that of any earlier start under the same
	// id, such as the Unix time in seconds at the start; 0 means 1.
	Epoch uint32
	// Seed drives all random choices.
	Seed uint64
	// Documents gives what digests say of the documents.
	Documents func(now almondstep.Instant) []almondstep.DocumentState
	// Zones gives what answers say of the other zones. A probe says nothing of
	// them: its ages would mean nothing, since it comes unasked.
	Zones func(now almondstep.Instant) []almondstep.ZoneConfirmation
}

// Prober is the membership state of one daemon. Its methods append effects to out.
type Prober struct {
	cfg     Config
	rng     generator
	members map[almondstep.DaemonID]*member
	// all has the members in the order of their names.
	all []*member
	// mates are the listed daemons of the zone, this one included.
	mates *ranker.Ranker
	// witnesses are this daemon's own, itself included if it is one.
	witnesses []almondstep.DaemonID
	// charges are the daemons this one is a witness of.
	charges  []*member
	blockers []almondstep.DaemonID

	fleet       almondstep.Revision
	listed      bool
	listedAt    almondstep.Revision
	admitted    bool
	admittedAt  almondstep.Instant
	incarnation uint64
	left        bool

	// vouchedSince is since when a quorum vouches; 0 while none does.
	vouchedSince almondstep.Instant

	lastTick  almondstep.Instant
	pausedAt  almondstep.Instant
	nextProbe almondstep.Instant
	nextDead  almondstep.Instant
	round     []*member

	queue   rumorQueue
	push    pusher
	lease   zoneLease
	relayed []relayedProbe
	// changed says that routing may have changed; urgent, that a daemon of the
	// zone was unknown before.
	changed bool
	urgent  bool
}

// New gives a prober that knows nobody yet.
func New(cfg Config) *Prober {
	p := &Prober{
		cfg:         cfg,
		rng:         generator{almondstep.NewRandom(cfg.Seed ^ ranker.Hash(string(cfg.Self)))},
		members:     make(map[almondstep.DaemonID]*member),
		incarnation: newEpoch(max(1, uint64(cfg.Epoch))),
		push:        pusher{tokens: pushBurst},
	}
	p.mates = ranker.New(nil)
	return p
}

// Tick moves the clock: it probes, renews, lets suspicions and vouching lapse,
// and pushes news.
func (p *Prober) Tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if now.Sub(p.lastTick) > PatienceAfterPause {
		p.pausedAt = now
	}
	p.lastTick = now
	p.expireSuspects(now)
	p.lapseCharges(now)
	p.reconsiderSelf(now)
	p.noteQuorum(now)
	out = p.renew(now, out)
	out = p.greet(now, out)
	out = p.inquire(now, out)
	out = p.probeNext(now, out)
	out = p.takeLease(now, out)
	return p.pushNews(now, out)
}

// TakeUrgent says whether the daemons that may hold a grant have become other
// ones since it was last asked.
func (p *Prober) TakeUrgent() bool {
	u := p.urgent
	p.urgent = false
	return u
}

// TakeChanged says whether routing has changed since it was last asked.
func (p *Prober) TakeChanged() bool {
	c := p.changed
	p.changed = false
	return c
}

// SetFleet takes a newer list of VMs. A daemon that has vanished from the list
// is forgotten after it can have no grant left.
func (p *Prober) SetFleet(now almondstep.Instant, f *almondstep.Fleet) {
	p.fleet = f.Revision
	for _, m := range p.all {
		m.listed = false
	}
	wasListed := p.listed
	p.listed = false
	for _, vm := range f.Daemons {
		if vm.ID == p.cfg.Self {
			p.listed = true
			continue
		}
		p.list(now, vm)
	}
	if p.listed && !wasListed {
		p.listedAt = f.Revision
	}
	p.forget(now)
	p.rankZone(now)
	p.changed = true
	p.urgent = true
}

func (p *Prober) list(now almondstep.Instant, vm almondstep.DaemonVM) {
	m := p.ensure(now, vm.ID, vm.Addr, vm.Zone)
	m.addr, m.zone = vm.Addr, vm.Zone
	m.listed = true
	m.listLeaving = m.listLeaving || vm.State == almondstep.VMLeaving
	m.unlistedAt = 0
}

// forget drops members that are no longer listed, once they can't hold a grant.
func (p *Prober) forget(now almondstep.Instant) {
	kept := p.all[:0]
	for _, m := range p.all {
		if !m.listed && m.unlistedAt == 0 {
			m.unlistedAt = now + 1
		}
		if !m.listed && m.everListed && now.Sub(m.unlistedAt) > forgetAfter {
			delete(p.members, m.id)
			continue
		}
		m.everListed = m.everListed || m.listed
		kept = append(kept, m)
	}
	p.all = kept
}

// rankZone finds anew who vouches for whom.
func (p *Prober) rankZone(now almondstep.Instant) {
	var ids []almondstep.DaemonID
	for _, m := range p.all {
		if m.listed && m.zone == p.cfg.Zone {
			ids = append(ids, m.id)
		}
	}
	if p.listed {
		ids = append(ids, p.cfg.Self)
	}
	p.mates = ranker.New(ids)
	p.witnesses = p.witnessesOf(p.cfg.Self)
	p.charges = p.charges[:0]
	for _, m := range p.all {
		if m.zone != p.cfg.Zone {
			continue
		}
		w := p.witnessesOf(m.id)
		if !slices.Equal(w, m.witnesses) {
			m.witnesses = w
			m.witnessesAt = now
		}
		if p.listed && m.listed && slices.Contains(w, p.cfg.Self) {
			p.charges = append(p.charges, m)
		}
	}
}

// ensure finds a member, or begins one that was just heard of.
func (p *Prober) ensure(now almondstep.Instant, id almondstep.DaemonID, addr almondstep.Address, zone almondstep.ZoneName) *member {
	if m := p.members[id]; m != nil {
		return m
	}
	m := &member{id: id, addr: addr, zone: zone, knownAt: now, goneBy: make(map[almondstep.DaemonID]statement)}
	p.members[id] = m
	i, _ := slices.BinarySearchFunc(p.all, id, func(m *member, id almondstep.DaemonID) int { return cmp.Compare(m.id, id) })
	p.all = slices.Insert(p.all, i, m)
	p.changed = true
	p.urgent = p.urgent || zone == p.cfg.Zone
	return m
}
